#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Fleet/Actions.h>
#include <Sessions/Statement.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace Chervilpin::Fleet {

/// How long a proxy may use a primary after the store confirmed its record, at most. A promotion
/// waits this long for a proxy that can't be reached. Longer bridges longer outages of the store,
/// shorter shortens a failover that meets a proxy which is cut off.
constexpr Core::Duration leaseDuration{11'000};

enum class ReplacementReason {
    Failed,  ///< The primary answers nobody, or left the directory.
    Leaving, ///< The primary is draining.
};

[[nodiscard]] const char *toString(ReplacementReason);

/// What the plan looks at each time; all of the group.
struct PlanInputs
{
    /// Whether every member adopted the replacing record, or lost its lease by time.
    bool isFenced = false;
    /// Databases that could be promoted: listed, ready, not the old primary.
    std::vector<Core::DatabaseName> candidates;
    /// Whether the old primary is still listed and doesn't leave, so that it may go on.
    bool canRestoreOldPrimary = false;
    /// The highest mark that any proxy saw of the old primary.
    Core::LogMark highestMark;
};

/// The replacement of one group's primary by the leader: claim, fence, choose, order, publish.
///
/// 1. The record is set to Replacing, which ends the giving of leases.
/// 2. Every member has stopped using the old primary, or its lease has lapsed.
/// 3. The record names the candidate with the longest log, which is then ordered to take over.
///    Another is chosen only if the order was answered with NotRunning.
/// 4. Once the candidate says itself that it is the primary, the record names it as Active.
///
/// If the old primary answers before an order was given, the record names it as Active again.
class PromotionPlan
{
public:
    PromotionPlan(PrimaryRecord old, Revision, ReplacementReason, Core::NodeName self);

    /// Looks at what can be done now. \a nextCall gives ids for calls.
    std::vector<Action> advance(const PlanInputs &, CallId &nextCall, Core::Instant now);
    void writeEnded(CallId, WriteOutcome, Revision, Core::Instant now);
    void orderEnded(CallId, OrderOutcome, Core::Instant now);
    void statusAnswered(const Core::DatabaseName &, const Sessions::DatabaseStatus &,
                        Core::Instant now);

    [[nodiscard]] bool isFinished() const { return step_ == Step::Finished; }
    [[nodiscard]] bool isClaimed() const { return claimRevision_ != 0; }
    /// The revision that members have to adopt, and when it was written at the earliest.
    [[nodiscard]] Revision claimRevision() const { return claimRevision_; }
    [[nodiscard]] Core::Instant claimedAt() const { return claimedAt_; }
    [[nodiscard]] ReplacementReason reason() const { return reason_; }
    [[nodiscard]] const Core::DatabaseName &oldPrimary() const { return record_.database; }
    /// When advance() is to be called again without other news.
    [[nodiscard]] Core::Instant nextStepAt() const { return nextStepAt_; }

private:
    enum class Step {
        Claim,
        Fence,
        Choose,
        Announce,
        Order,
        Verify,
        Publish,
        Finished,
    };

    std::vector<Action> claim(CallId &nextCall, Core::Instant now);
    std::vector<Action> choose(const PlanInputs &, CallId &nextCall, Core::Instant now);
    std::vector<Action> order(CallId &nextCall, Core::Instant now);
    [[nodiscard]] bool isOldPrimaryServing(const PlanInputs &) const;
    std::vector<Action> announce(CallId &nextCall, Core::Instant now);
    [[nodiscard]] WriteRecord makeWrite(PrimaryPhase, CallId &nextCall, Core::Instant now);
    std::vector<Action> verify(Core::Instant now);
    std::vector<Action> publish(CallId &nextCall, Core::Instant now);
    std::vector<Action> queryStatuses(const PlanInputs &, Core::Instant now);
    [[nodiscard]] bool mayOrder(const PlanInputs &, Core::Instant now) const;
    [[nodiscard]] std::optional<Core::DatabaseName> bestCandidate(const PlanInputs &) const;
    [[nodiscard]] Event event(const char *name) const;

    PrimaryRecord record_; ///< The old primary.
    Revision revision_;    ///< Of the record in the store, as far as known.
    ReplacementReason reason_;
    Core::NodeName self_;
    Step step_ = Step::Claim;
    CallId call_ = 0; ///< The one that is not answered yet.
    Core::Instant callSentAt_;
    Revision claimRevision_ = 0;
    Core::Instant claimedAt_; ///< When the claim was known to be written.
    Core::Instant choosingSince_;
    Core::Instant statusesQueriedAt_;
    Core::Instant nextStepAt_;
    Core::Instant retryAt_; ///< Nothing is done before, after a call failed.
    std::map<Core::DatabaseName, Sessions::DatabaseStatus> statuses_;
    std::set<Core::DatabaseName> notRunning_;
    Revision replaces_;            ///< The record that named the old primary as active.
    Core::DatabaseName candidate_; ///< Chosen by this plan, or by the one that it resumes.
    std::uint64_t attempt_ = 0;
};

} // namespace Chervilpin::Fleet
