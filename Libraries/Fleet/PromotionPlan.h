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

/// How long a proxy may use a primary after the store last confirmed its record. A promotion waits
/// this long for a proxy that can't be reached. A longer lease bridges longer outages of the store;
/// a shorter one shortens a failover during which a proxy is isolated.
constexpr Core::Duration leaseDuration{11'000};

enum class ReplacementReason {
    Failed,     ///< The primary answers no proxy, or was removed from the directory.
    Leaving,    ///< The primary is draining.
    Evacuating, ///< The operators are evacuating the primary's data centre.
};

[[nodiscard]] const char *toString(ReplacementReason);

/// The state of the group that PromotionPlan::advance() decides on.
struct PlanInputs
{
    /// Whether every member has adopted the record that replaces the old primary, or its lease has
    /// expired.
    bool isFenced = false;
    /// Databases that can be promoted: listed, ready, not the old primary and not in a data centre
    /// that is being evacuated. If there is none, the first listed database outside such data
    /// centres, whatever its state.
    std::vector<Core::DatabaseName> candidates;
    /// Whether the old primary is still listed, not draining and not being evacuated, so that it
    /// may stay the primary.
    bool canRestoreOldPrimary = false;
    /// The number of replicas that have a commit when it is acknowledged; empty while the
    /// configuration is not known.
    std::optional<std::uint32_t> synchronousReplicas;
    /// The databases that may have received commits of the old primary: all listed ones but itself.
    std::vector<Core::DatabaseName> receivers;
    /// Those of the receivers that are draining. They go on receiving until they end.
    std::vector<Core::DatabaseName> drainingReceivers;
    /// The highest log position of the old primary that any proxy has seen.
    Core::LogMark highestMark;
    /// Whether a member whose leases may still be valid is out of the leader's reach, so that the
    /// log position that it saw is not known.
    bool isAnyMemberSilent = false;
    /// Whether one of these has not stopped using the old primary. A member may show that it has in
    /// its record, before the leader hears it again.
    bool isAnySilentMemberUnfenced = false;
};

/// Replaces the primary of one group on behalf of the leader: claim, fence, choose, order, publish.
///
/// 1. The record is set to Replacing. No leases are granted from then on.
/// 2. Every member has stopped using the old primary, or its lease has expired.
/// 3. The record names the candidate with the longest log, which is then ordered to take over.
///    Another candidate is chosen only if the order was answered with NotRunning. If the group has
///    synchronous replicas, the log has to be known to have every acknowledged commit.
/// 4. Once the candidate reports that it leads a new term, the record names it as Active. The role
///    alone proves nothing: a superseded primary keeps it until it steps down.
///
/// If the old primary answers before an order was sent, the record names it as Active again. After
/// a partition it is given time for that: the proxies on its side may have gone on writing to it.
class PromotionPlan
{
public:
    PromotionPlan(PrimaryRecord old, Revision, ReplacementReason, Core::NodeName self);

    /// Returns the actions that can be taken now. \a nextCall supplies call ids.
    std::vector<Action> advance(const PlanInputs &, CallId &nextCall, Core::Instant now);
    void writeEnded(CallId, WriteOutcome, Revision, Core::Instant now);
    void orderEnded(CallId, OrderOutcome, Core::Instant now);
    /// Whether this call was not answered yet.
    [[nodiscard]] bool isAwaiting(CallId call) const { return call_ == call; }
    void statusAnswered(const Core::DatabaseName &, const Sessions::DatabaseStatus &,
                        Core::Instant now);

    [[nodiscard]] bool isFinished() const { return step_ == Step::Finished; }
    [[nodiscard]] bool isClaimed() const { return claimRevision_ != 0; }
    /// The revision that members have to adopt, and the time at which this proxy learned that it
    /// was written.
    [[nodiscard]] Revision claimRevision() const { return claimRevision_; }
    [[nodiscard]] Core::Instant claimedAt() const { return claimedAt_; }
    [[nodiscard]] ReplacementReason reason() const { return reason_; }
    /// Whether another database may have been ordered to take over without the record showing it,
    /// since the store came back from a copy. Then the databases themselves show which one leads.
    [[nodiscard]] bool isUnverified() const { return record_.isUnverified; }
    [[nodiscard]] const Core::DatabaseName &oldPrimary() const { return record_.database; }
    /// The revision of the group's record as the plan last knew it.
    [[nodiscard]] Revision revision() const { return revision_; }
    /// Whether the plan ended with the old primary as the primary again.
    [[nodiscard]] bool hasRestoredOldPrimary() const
    {
        return isFinished() && candidate_ == record_.database;
    }
    /// When advance() has to be called again if nothing else happens.
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
    /// Whether the database still acts as the primary of a term that another one has superseded.
    [[nodiscard]] bool isSuperseded(const Sessions::DatabaseStatus &) const;
    /// Whether the candidate's status proves that the order to take over has taken effect.
    [[nodiscard]] bool hasTakenOver(const Sessions::DatabaseStatus &, Core::Instant now) const;
    /// Whether a status of the first database is preferred to one of the second for a candidate.
    [[nodiscard]] bool isPreferred(const Sessions::DatabaseStatus &,
                                   const Sessions::DatabaseStatus &) const;
    [[nodiscard]] bool mayOrder(const PlanInputs &, Core::Instant now) const;
    /// Whether the longest known log has every acknowledged commit. An acknowledged commit is on as
    /// many replicas as the group requires, so fewer than these may be unknown. There has to be a
    /// candidate.
    [[nodiscard]] bool areAcknowledgedCommitsKnown(const PlanInputs &) const;
    /// Whether the database's status is known as of a time at which nobody used the old primary.
    [[nodiscard]] bool isStatusFinal(const Core::DatabaseName &) const;
    /// Whether promoting this candidate now would discard commits of an old primary that a
    /// partition had hidden and that may soon answer.
    [[nodiscard]] bool isOldPrimaryAwaited(const PlanInputs &, const Core::DatabaseName &candidate,
                                           Core::Instant now) const;
    [[nodiscard]] std::optional<Core::DatabaseName> bestCandidate(const PlanInputs &) const;
    [[nodiscard]] std::optional<Core::DatabaseName>
        bestOf(std::span<const Core::DatabaseName>) const;
    [[nodiscard]] Event event(const char *name) const;

    PrimaryRecord record_; ///< The old primary.
    Revision revision_;    ///< Of the record in the store, as last known.
    ReplacementReason reason_;
    Core::NodeName self_;
    Step step_ = Step::Claim;
    CallId call_ = 0; ///< The unanswered call, or 0.
    Core::Instant callSentAt_;
    Revision claimRevision_ = 0;
    Core::Instant claimedAt_;     ///< When this proxy learned that the claim was written.
    Core::Instant choosingSince_; ///< When the fence was complete, or the last candidate refused.
    /// Whether the fence had to wait for members out of the leader's reach.
    bool wasPartitioned_ = false;
    Core::Instant statusesQueriedAt_;
    Core::Instant nextStepAt_;
    Core::Instant retryAt_;    ///< No action is taken before this, after a failed call.
    Core::Instant acceptedAt_; ///< When the last order was accepted.
    std::map<Core::DatabaseName, Sessions::DatabaseStatus> statuses_;
    /// Candidates that answered an order with NotRunning.
    std::set<Core::DatabaseName> notRunning_;
    Revision replaces_; ///< The revision of the record that named the old primary as Active.
    /// Chosen by this plan, or by the plan of an earlier leader that it resumes.
    Core::DatabaseName candidate_;
    /// The highest term that any database of the group is known to have reported.
    Core::Term newestTerm_ = 0;
    /// The candidate has taken over if it leads a higher term; 0 if not known.
    Core::Term orderedAboveTerm_ = 0;
    std::uint64_t attempt_ = 0; ///< Of the last write; see PrimaryRecord.
    bool isWaitLogged_ = false; ///< Whether the wait for acknowledged commits was logged.
};

} // namespace Chervilpin::Fleet
