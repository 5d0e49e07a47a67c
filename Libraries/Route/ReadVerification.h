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
    Core::Duration maximumAge; ///< The stated age; zero if none was stated.
    SampleOrigin origin = SampleOrigin::Earlier;
};

enum class ReadVerdict {
    Release, ///< The answer is proved fresh enough.
    Confirm, ///< Strong: to be released once Confirm has proved the answer's mark.
    Reject,  ///< Not proved; the read must go again, elsewhere or with a new sample.
};

/// How much of the demand is checked. All but On are for tests and baselines.
enum class ReadGuard {
    On,
    WithoutCurrency, ///< The sampled primary is believed to be the only one.
    WithoutTerms,    ///< Only positions are compared.
    Off,
};

/// Judges an answer by its status. \a asked is the stamp of the sending of the read. The view must
/// have observed that status already. After Confirm has confirmed a read it is to be judged once
/// more, since its age may have passed meanwhile.
[[nodiscard]] ReadVerdict verifyRead(const ReadDemand &demand, const Upstream::Status &status,
                                     const Stamp &asked, const GroupView &view, Core::Instant now,
                                     ReadGuard guard = ReadGuard::On);

/// The part of the demanded mark that the guard leaves; what a database is asked to hold.
[[nodiscard]] Core::LogMark markToCheck(const ReadDemand &demand, ReadGuard guard);

/// The mark that a released Strong read adds to its session's token: it covers every write of the
/// session acknowledged before the read arrived, and is held by a majority.
[[nodiscard]] Core::LogMark coveredMark(const ReadDemand &demand, const Upstream::Status &status);

} // namespace Chervilpin::Route
