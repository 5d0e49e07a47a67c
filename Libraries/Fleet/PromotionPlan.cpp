#include <Fleet/PromotionPlan.h>

#include <algorithm>
#include <utility>

namespace Chervilpin::Fleet {

using namespace Core::Literals;

namespace {

/// Interval of status queries to a database; a promotion takes hundreds of milliseconds.
constexpr Core::Duration statusQueryInterval = 60_ms;
/// Interval of status queries while proxies still have to stop using the old primary.
constexpr Core::Duration fenceStatusQueryInterval = 400_ms;
/// Maximum time to wait for the statuses of all candidates. A database that answers takes tens of
/// milliseconds.
constexpr Core::Duration statusTimeout = 300_ms;
/// Maximum time to wait until a draining primary's last commits have reached the candidate.
constexpr Core::Duration catchUpTimeout = 1'500_ms;
/// Maximum time to wait, after a partition, for an old primary that has commits which no candidate
/// has. A connection that is opened again after a lost packet takes a second.
constexpr Core::Duration oldPrimaryTimeout = 1'500_ms;
/// Delay before a failed call is retried.
constexpr Core::Duration retryInterval = 250_ms;
/// A write that wasn't answered within this is made again.
constexpr Core::Duration callTimeout = 1'500_ms;
/// After the store came back from a copy, an order that was sent before has taken effect within
/// this: the timeout of the call and the time that a database takes.
constexpr Core::Duration eraSettleDelay = 3'000_ms;
/// An order has taken effect within this after it was accepted, which the platform does within some
/// hundred milliseconds. An order for the present primary has no effect.
constexpr Core::Duration takeOverSettleDelay = 1'500_ms;
/// An accepted order without effect within this is sent again.
constexpr Core::Duration takeOverTimeout = 4'000_ms;

} // namespace

const char *toString(ReplacementReason reason)
{
    switch (reason) {
    case ReplacementReason::Failed:
        return "failed";
    case ReplacementReason::Leaving:
        return "leaving";
    case ReplacementReason::Evacuating:
        break;
    }
    return "evacuating";
}

PromotionPlan::PromotionPlan(PrimaryRecord old, Revision revision, ReplacementReason reason,
                             Core::NodeName self)
    : record_(std::move(old))
    , revision_(revision)
    , reason_(reason)
    , self_(std::move(self))
    , replaces_(record_.phase == PrimaryPhase::Active ? revision : record_.replaces)
    , candidate_(record_.phase == PrimaryPhase::Ordered ? record_.candidate : Core::DatabaseName())
    , newestTerm_(record_.term)
    , orderedAboveTerm_(record_.phase == PrimaryPhase::Ordered ? record_.term : 0)
    , attempt_(record_.attempt)
{ }

std::vector<Action> PromotionPlan::advance(const PlanInputs &inputs, CallId &nextCall,
                                           Core::Instant now)
{
    nextStepAt_ = now + statusQueryInterval;
    // An order may wait for earlier ones before it is sent, and always ends.
    const bool isCallAwaited =
        call_ != 0 && (step_ == Step::Order || now < callSentAt_ + callTimeout);
    if (now < retryAt_ || isCallAwaited)
        return {};
    call_ = 0;
    switch (step_) {
    case Step::Claim:
        return claim(nextCall, now);
    case Step::Fence:
        // No order was sent yet, so the old primary may stay as soon as it answers, even if some
        // proxies have not stopped using it.
        if (candidate_.isEmpty() && isOldPrimaryServing(inputs)) {
            candidate_ = record_.database;
            step_ = Step::Publish;
            return publish(nextCall, now);
        }
        wasPartitioned_ |= inputs.isAnySilentMemberUnfenced;
        if (!inputs.isFenced || (isUnverified() && now < claimedAt_ + eraSettleDelay))
            return queryStatuses(inputs, now);
        choosingSince_ = now;
        // An order of an earlier leader may still take effect, so the same order is sent again.
        if (!candidate_.isEmpty()) {
            step_ = Step::Order;
            return order(nextCall, now);
        }
        step_ = Step::Choose;
        statusesQueriedAt_ = Core::Instant();
        [[fallthrough]];
    case Step::Choose:
        return choose(inputs, nextCall, now);
    case Step::Announce:
        return announce(nextCall, now);
    case Step::Order:
        return order(nextCall, now);
    case Step::Verify:
        return verify(now);
    case Step::Publish:
        return publish(nextCall, now);
    case Step::Finished:
        break;
    }
    return {};
}

std::vector<Action> PromotionPlan::claim(CallId &nextCall, Core::Instant now)
{
    const auto phase = candidate_.isEmpty() ? PrimaryPhase::Replacing : PrimaryPhase::Ordered;
    return {event("promotion_claim"), makeWrite(phase, nextCall, now)};
}

std::vector<Action> PromotionPlan::queryStatuses(const PlanInputs &inputs, Core::Instant now)
{
    if (now < statusesQueriedAt_
            + (step_ == Step::Fence ? fenceStatusQueryInterval : statusQueryInterval))
        return {};
    statusesQueriedAt_ = now;
    std::vector<Action> actions;
    for (const auto &database : inputs.candidates)
        actions.emplace_back(QueryStatus{record_.group, database});
    if (inputs.synchronousReplicas != 0U) {
        for (const auto &database : inputs.receivers) {
            if (std::ranges::find(inputs.candidates, database) == inputs.candidates.end())
                actions.emplace_back(QueryStatus{record_.group, database});
        }
    }
    if (inputs.canRestoreOldPrimary || inputs.synchronousReplicas != 0U)
        actions.emplace_back(QueryStatus{record_.group, record_.database});
    return actions;
}

std::optional<Core::DatabaseName> PromotionPlan::bestCandidate(const PlanInputs &inputs) const
{
    auto best = bestOf(inputs.candidates);
    if (inputs.synchronousReplicas == 0U)
        return best;
    // A draining database is promoted, and soon replaced, if only it has the last commits.
    const auto draining = bestOf(inputs.drainingReceivers);
    const bool isDrainingBetter =
        draining && (!best || isPreferred(statuses_.at(*draining), statuses_.at(*best)));
    return isDrainingBetter ? draining : best;
}

std::optional<Core::DatabaseName>
PromotionPlan::bestOf(std::span<const Core::DatabaseName> databases) const
{
    std::optional<Core::DatabaseName> best;
    for (const auto &database : databases) {
        const auto status = statuses_.find(database);
        if (status == statuses_.end() || notRunning_.contains(database))
            continue;
        if (best && !isPreferred(status->second, statuses_.at(*best)))
            continue;
        best = database;
    }
    return best;
}

bool PromotionPlan::isSuperseded(const Sessions::DatabaseStatus &status) const
{
    return status.role == Sessions::DatabaseRole::Primary && status.term < newestTerm_;
}

bool PromotionPlan::isPreferred(const Sessions::DatabaseStatus &status,
                                const Sessions::DatabaseStatus &other) const
{
    // A superseded primary may have commits that the group has discarded.
    if (isSuperseded(status) != isSuperseded(other))
        return isSuperseded(other);
    return status.received > other.received;
}

bool PromotionPlan::hasTakenOver(const Sessions::DatabaseStatus &status, Core::Instant now) const
{
    if (status.role != Sessions::DatabaseRole::Primary || isSuperseded(status))
        return false;
    if (orderedAboveTerm_ != 0 && status.term > orderedAboveTerm_)
        return true;
    // It may have been the primary already. Otherwise an accepted order would have taken effect.
    return step_ == Step::Verify && now >= acceptedAt_ + takeOverSettleDelay
        && status.queriedAt >= acceptedAt_;
}

bool PromotionPlan::isStatusFinal(const Core::DatabaseName &database) const
{
    const auto status = statuses_.find(database);
    return status != statuses_.end() && status->second.queriedAt >= choosingSince_;
}

bool PromotionPlan::areAcknowledgedCommitsKnown(const PlanInputs &inputs) const
{
    if (!inputs.synchronousReplicas)
        return false;
    if (*inputs.synchronousReplicas == 0)
        return true;
    // The old primary has every commit, if it still answers.
    const auto candidate = bestCandidate(inputs);
    if (!isUnverified() && isStatusFinal(record_.database)) {
        const auto &old = statuses_.at(record_.database);
        if (old.role == Sessions::DatabaseRole::Primary && !isSuperseded(old)
            && statuses_.at(*candidate).received >= old.received)
            return true;
    }
    const auto unknown = std::ranges::count_if(
        inputs.receivers, [&](const auto &database) { return !isStatusFinal(database); });
    if (std::cmp_greater_equal(unknown, *inputs.synchronousReplicas))
        return false;
    // A receiver that can't be promoted may be ahead of those that can.
    const auto best = bestOf(inputs.receivers);
    return !best || !isPreferred(statuses_.at(*best), statuses_.at(*candidate));
}

bool PromotionPlan::mayOrder(const PlanInputs &inputs, Core::Instant now) const
{
    const auto candidate = bestCandidate(inputs);
    if (!candidate || !areAcknowledgedCommitsKnown(inputs))
        return false;
    // A primary that is replaced as planned goes on until its last commits have arrived.
    const bool isCommitsAwaited = reason_ != ReplacementReason::Failed || isUnverified();
    if (isCommitsAwaited && now < choosingSince_ + catchUpTimeout)
        return statuses_.at(*candidate).received >= inputs.highestMark;
    if (isOldPrimaryAwaited(inputs, *candidate, now))
        return false;
    const bool areAllStatusesKnown =
        std::ranges::all_of(inputs.candidates, [&](const auto &database) {
            return statuses_.contains(database) || notRunning_.contains(database);
        });
    return areAllStatusesKnown || now >= choosingSince_ + statusTimeout;
}

bool PromotionPlan::isOldPrimaryAwaited(const PlanInputs &inputs,
                                        const Core::DatabaseName &candidate,
                                        Core::Instant now) const
{
    const bool hasPartitionEnded = wasPartitioned_ && !inputs.isAnySilentMemberUnfenced;
    const bool mayLackCommits =
        inputs.isAnyMemberSilent || statuses_.at(candidate).received < inputs.highestMark;
    // Its directory entry may have expired during the partition, so it need not be listed yet.
    return hasPartitionEnded && mayLackCommits && notRunning_.empty()
        && now < choosingSince_ + oldPrimaryTimeout;
}

bool PromotionPlan::isOldPrimaryServing(const PlanInputs &inputs) const
{
    const auto status = statuses_.find(record_.database);
    return inputs.canRestoreOldPrimary && status != statuses_.end()
        && status->second.role == Sessions::DatabaseRole::Primary && !isSuperseded(status->second);
}

std::vector<Action> PromotionPlan::choose(const PlanInputs &inputs, CallId &nextCall,
                                          Core::Instant now)
{
    if (notRunning_.empty() && isOldPrimaryServing(inputs)) {
        candidate_ = record_.database;
        step_ = Step::Publish;
        return publish(nextCall, now);
    }
    if (!mayOrder(inputs, now)) {
        // All reachable candidates refused the order; one of them may have recovered by now.
        if (!inputs.candidates.empty() && notRunning_.size() >= inputs.candidates.size())
            notRunning_.clear();
        auto actions = queryStatuses(inputs, now);
        const bool isWaiting = !bestCandidate(inputs) || !areAcknowledgedCommitsKnown(inputs);
        if (isWaiting && !std::exchange(isWaitLogged_, true))
            actions.emplace_back(event("promotion_awaits_commits"));
        return actions;
    }
    candidate_ = *bestCandidate(inputs);
    newestTerm_ = std::max(newestTerm_, inputs.highestMark.term);
    orderedAboveTerm_ = newestTerm_;
    step_ = Step::Announce;
    return announce(nextCall, now);
}

std::vector<Action> PromotionPlan::announce(CallId &nextCall, Core::Instant now)
{
    return {event("promotion_announce"), makeWrite(PrimaryPhase::Ordered, nextCall, now)};
}

WriteRecord PromotionPlan::makeWrite(PrimaryPhase phase, CallId &nextCall, Core::Instant now)
{
    PrimaryRecord changed = record_;
    changed.phase = phase;
    changed.replaces = phase == PrimaryPhase::Active ? 0 : replaces_;
    if (phase == PrimaryPhase::Ordered) {
        changed.candidate = candidate_;
        changed.term = orderedAboveTerm_;
    }
    if (phase == PrimaryPhase::Active) {
        changed.database = candidate_;
        changed.candidate = Core::DatabaseName();
        const auto status = statuses_.find(candidate_);
        changed.term = status != statuses_.end() ? status->second.term : record_.term;
    }
    if (phase != PrimaryPhase::Replacing)
        changed.isUnverified = false;
    changed.writer = self_;
    changed.era = eraOf(revision_);
    changed.attempt = ++attempt_;
    call_ = nextCall++;
    callSentAt_ = now;
    return {call_, changed, revision_};
}

std::vector<Action> PromotionPlan::order(CallId &nextCall, Core::Instant now)
{
    call_ = nextCall++;
    callSentAt_ = now;
    return {OrderPromotion{call_, record_.group, candidate_, 0, {}}};
}

std::vector<Action> PromotionPlan::verify(Core::Instant now)
{
    if (now > callSentAt_ + takeOverTimeout) {
        step_ = Step::Order;
        nextStepAt_ = now;
        return {};
    }
    return {QueryStatus{record_.group, candidate_}};
}

std::vector<Action> PromotionPlan::publish(CallId &nextCall, Core::Instant now)
{
    return {event("promotion_publish"), makeWrite(PrimaryPhase::Active, nextCall, now)};
}

void PromotionPlan::writeEnded(CallId call, WriteOutcome outcome, Revision revision,
                               Core::Instant now)
{
    if (call != call_)
        return;
    if (outcome == WriteOutcome::Unknown) {
        // The write is retried after a delay. If it was done after all, the retry is a conflict,
        // and the leader starts a new plan from the record then in the store.
        retryAt_ = now + retryInterval;
        nextStepAt_ = retryAt_;
        call_ = 0;
        return;
    }
    call_ = 0;
    nextStepAt_ = now;
    if (outcome == WriteOutcome::Conflict) {
        // Another proxy changed the record; the leader reviews the group again with the new one.
        step_ = Step::Finished;
        nextStepAt_ = now + retryInterval;
        return;
    }
    revision_ = revision;
    if (step_ == Step::Publish) {
        step_ = Step::Finished;
        return;
    }
    if (step_ == Step::Announce) {
        step_ = Step::Order;
        return;
    }
    claimRevision_ = revision;
    claimedAt_ = now;
    step_ = Step::Fence;
}

void PromotionPlan::orderEnded(CallId call, OrderOutcome outcome, Core::Instant now)
{
    if (call != call_)
        return;
    call_ = 0;
    nextStepAt_ = now;
    if (outcome == OrderOutcome::Accepted) {
        step_ = Step::Verify;
        callSentAt_ = now;
        acceptedAt_ = now;
        nextStepAt_ = now + statusQueryInterval;
        return;
    }
    retryAt_ = now + retryInterval;
    nextStepAt_ = retryAt_;
    if (outcome == OrderOutcome::NotRunning) {
        notRunning_.insert(candidate_);
        statuses_.erase(candidate_);
        choosingSince_ = now;
        step_ = Step::Choose;
    }
}

void PromotionPlan::statusAnswered(const Core::DatabaseName &database,
                                   const Sessions::DatabaseStatus &status, Core::Instant now)
{
    statuses_[database] = status;
    newestTerm_ = std::max(newestTerm_, status.term);
    const bool isOrdered = step_ == Step::Verify || step_ == Step::Order;
    if (!isOrdered || database != candidate_ || !hasTakenOver(status, now))
        return;
    call_ = 0;
    step_ = Step::Publish;
    nextStepAt_ = now;
}

Event PromotionPlan::event(const char *name) const
{
    return {name,
            {{"group", record_.group.value()},
             {"old", record_.database.value()},
             {"candidate", candidate_.value()},
             {"newest_term", std::to_string(newestTerm_)},
             {"reason", toString(reason_)},
             {"revision", std::to_string(revision_)}}};
}

} // namespace Chervilpin::Fleet
