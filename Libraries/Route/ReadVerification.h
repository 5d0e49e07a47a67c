#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Engine/CallerMessages.h>
#include <Route/GroupView.h>
#include <Route/Stamp.h>
#include <Upstream/Messages.h>

namespace Chervilpin::Route {

/// Where the knowledge of the primary's position comes from.
enum class SampleOrigin {
    Earlier,   ///< From a sample that was taken before the read was sent.
    OwnAnswer, ///< The answer comes from the primary and is itself the sample.
};

/// What the answer to a read must prove before the caller sees it.
struct ReadDemand
{
    /// Strong also stands for a session read without a usable token.
    Engine::Freshness freshness = Engine::Freshness::Strong;
    Core::LogMark mark;        ///< The database must contain this.
    Core::Term term = 0;       ///< Strong and StatedAge: the term of the sample or primary.
    Stamp arrived;             ///< When the read came in.
    Core::Instant sampledAt;   ///< When the sample behind `mark` was asked for.
    Core::Duration maximumAge; ///< StatedAge only.
    SampleOrigin origin = SampleOrigin::Earlier;
};

enum class ReadVerdict {
    Release, ///< The answer is proved fresh enough.
    Confirm, ///< Strong: to be released once Confirm has proved the answer's mark.
    Reject,  ///< Not proved; the read must go again, elsewhere or with a new sample.
};

/// Whether the demand is checked at all. Off only in tests and baselines.
enum class ReadGuard {
    On,
    Off,
};

/// Judges an answer by its status. \a asked is the stamp of the sending of the read. The view must
/// have observed that status already.
[[nodiscard]] ReadVerdict verifyRead(const ReadDemand &demand, const Upstream::Status &status,
                                     const Stamp &asked, const GroupView &view, Core::Instant now,
                                     ReadGuard guard = ReadGuard::On);

} // namespace Chervilpin::Route
