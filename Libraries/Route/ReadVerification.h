#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Engine/CallerMessages.h>
#include <Route/GroupView.h>
#include <Route/Stamp.h>
#include <Upstream/Messages.h>

namespace Chervilpin::Route {

/// The source of the primary's position against which a read is verified.
enum class SampleOrigin {
    Earlier,   ///< A sample taken before the read was sent.
    OwnAnswer, ///< The read's own answer, which comes from the primary.
};

/// The conditions that the answer to a read must meet before it is released to the caller.
struct ReadDemand
{
    /// Strong also stands for a session read without a usable token.
    Engine::Freshness freshness = Engine::Freshness::Strong;
    Core::LogMark mark;        ///< The database must contain this mark.
    Core::Term term = 0;       ///< Strong and StatedAge: the term of the sample or primary.
    Stamp arrived;             ///< When the read was received.
    Core::Instant sampledAt;   ///< When the sample that gave `mark` was requested.
    Core::Duration maximumAge; ///< The stated age; zero if none was stated.
    SampleOrigin origin = SampleOrigin::Earlier;
};

enum class ReadVerdict {
    Release, ///< The answer is proved to be fresh enough.
    Confirm, ///< Strong: release it once Confirm has proved the answer's mark.
    Reject,  ///< Not proved; retry the read on another database or with a new sample.
};

/// Which parts of a ReadDemand are checked. All values but On are for tests and baselines.
enum class ReadGuard {
    On,
    WithoutCurrency, ///< The sampled primary is assumed to be the only one.
    WithoutTerms,    ///< Only positions are compared.
    Off,
};

/// Verifies an answer by its status. \a asked is the stamp taken when the read was sent. The view
/// must already have observed the status. After Confirm has confirmed a read, verify it once more,
/// since it may have exceeded its maximum age meanwhile.
[[nodiscard]] ReadVerdict verifyRead(const ReadDemand &demand, const Upstream::Status &status,
                                     const Stamp &asked, const GroupView &view, Core::Instant now,
                                     ReadGuard guard = ReadGuard::On);

/// The part of the demanded mark that the guard checks, which a database is required to hold.
[[nodiscard]] Core::LogMark markToCheck(const ReadDemand &demand, ReadGuard guard);

/// The mark that a released Strong read adds to its session's token: it covers every write of the
/// session acknowledged before the read arrived, and is held by a majority.
[[nodiscard]] Core::LogMark coveredMark(const ReadDemand &demand, const Upstream::Status &status);

} // namespace Chervilpin::Route
