#pragma once

#include <Core/Milliseconds.h>

#include <cstddef>
#include <cstdint>

/// Estimates how long a statement waits for a slot of a database.
///
/// Answers the load of callers who compete for too few slots: a statement that cannot start in time
/// is refused when it arrives, so that its caller can go elsewhere, and not when its time is up.
namespace Chervilpin::Sessions::WaitEstimate {

/// The load of one database, as its pooler sees it.
struct SlotLoad
{
    unsigned slots = 1;
    unsigned outstanding = 0;       ///< Statements that were sent to the database and not answered.
    std::size_t ahead = 0;          ///< Statements in the queue that go first.
    double serviceMilliseconds = 0; ///< The average time that a statement takes a slot.
};

/// Returns the expected time until the next statement can start.
[[nodiscard]] Core::Duration expectedWait(const SlotLoad &);

/// Whether a statement that may wait for \a allowed is expected not to start in time. The estimate
/// is an average, so there is some tolerance.
[[nodiscard]] bool isUnmeetable(Core::Duration expected, Core::Duration allowed);

/// Returns after which time a caller that is refused now can expect to be served. Callers that are
/// refused together get different times, in the order of \a number, so that they do not return
/// together.
[[nodiscard]] Core::Duration retryDelay(const SlotLoad &, Core::Duration allowed,
                                        std::uint64_t number);

} // namespace Chervilpin::Sessions::WaitEstimate
