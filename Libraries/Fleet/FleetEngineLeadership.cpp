#include <Fleet/FleetEngine.h>

#include <Core/Rank.h>
#include <Fleet/Timing.h>

#include <algorithm>

/// The part of FleetEngine for membership, leadership and the duties of the leader.
namespace Chervilpin::Fleet {

namespace {
/// Hash seed of the order of succession of proxies with the same capacity.
constexpr std::string_view successionRankSeed = "succession";
} // namespace

void FleetEngine::registerSelf(Core::Instant now)
{
    if (registration_ != 0)
        return;
    MemberRecord record;
    record.node = self_.node;
    record.incarnation = self_.incarnation;
    record.dataCentre = self_.dataCentre;
    record.address = self_.address;
    record.capacity = self_.capacity;
    record.level = currentLevel;
    for (const auto &[group, state] : groups_) {
        if (state.released != 0)
            record.adopted[group] = state.released;
    }
    const auto *known = view_.findMember(self_.node);
    registration_ = nextCall_++;
    registeredAt_ = now;
    write(registration_, record, known ? known->revision : 0);
}

void FleetEngine::reviewMembership(Core::Instant now)
{
    for (const auto &[node, member] : view_.members())
        memberSince_.try_emplace(node, now);
    std::erase_if(memberSince_, [&](const auto &entry) { return !view_.findMember(entry.first); });
    if (view_.isMember(self_.node, self_.incarnation))
        return;
    // A registration that failed is recognised by the missing record, and is retried after a delay.
    const bool isDue = registeredAt_ == Core::Instant() || now >= registeredAt_ + heartbeatInterval;
    if (isDue)
        registerSelf(now);
}

std::size_t FleetEngine::heardContactCount(Core::Instant now) const
{
    const auto count = std::ranges::count_if(
        contacts_, [&](const auto &node) { return peers_.isHeardWithin(node, peerTimeout, now); });
    return static_cast<std::size_t>(count) + 1;
}

void FleetEngine::updateMajority(Core::Instant now)
{
    if (2 * heardContactCount(now) <= contacts_.size() + 1)
        return;
    if (now >= majorityHeardAt_ + majorityTimeout)
        majoritySince_ = now;
    majorityHeardAt_ = now;
}

bool FleetEngine::hasMajorityFor(Core::Duration span, Core::Instant now) const
{
    return now < majorityHeardAt_ + majorityTimeout && now >= majoritySince_ + span;
}

bool FleetEngine::hasStableContact(Core::Instant now) const
{
    if (now < startedAt_ + peerTimeout)
        return false;
    // If a majority was heard all the time, a loss of the store doesn't explain the silence of the
    // others.
    if (hasMajorityFor(peerTimeout, now))
        return true;
    return now >= contactSince_ + peerTimeout && now >= majorityHeardAt_ + minorityTimeout;
}

std::size_t FleetEngine::successionRank() const
{
    // The leader exchanges messages with all members, so the members with the highest capacity come
    // first. Equals are ordered by hash: ordered by name, all members of an isolated data centre
    // could come first.
    const auto precedence = [](const MemberRecord &member) {
        return std::pair(member.capacity, Core::rankOf(member.node, successionRankSeed));
    };
    const auto *self = view_.findMember(self_.node);
    if (!self)
        return view_.members().size();
    const auto own = precedence(self->record);
    return static_cast<std::size_t>(std::ranges::count_if(
        view_.members(), [&](const auto &entry) { return precedence(entry.second.record) > own; }));
}

bool FleetEngine::isLeaderGone(Core::Instant now) const
{
    const auto &leader = view_.leader();
    if (!leader)
        return true;
    const auto &record = leader->record;
    if (record.node == self_.node)
        return record.incarnation != self_.incarnation;
    if (!view_.isMember(record.node, record.incarnation))
        return true;
    const auto *peer = peers_.find(record.node);
    // A new leader may not have sent its first heartbeat yet.
    if (now < leaderSince_ + peerTimeout)
        return false;
    // The leader's silence proves nothing if this proxy itself was isolated until just now.
    if (!peer || now >= peer->heardAt + peerTimeout)
        return hasStableContact(now);
    const auto &age = peer->lastHeartbeat.confirmedAge;
    return age && *age + (now - peer->heardAt) > leaderStoreTimeout;
}

void FleetEngine::reviewLeadership(Core::Instant now)
{
    const bool hasStore = now < storeConfirmedAt_ + leaderStoreTimeout;
    // When all proxies start at once, a list from before this proxy's registration lacks members
    // that precede it in the order of succession.
    const bool knowsOthers = storeConfirmedAt_ >= registeredAt_;
    if (isLeader() || leaderClaim_ != 0 || !hasStore || !knowsOthers
        || !view_.isMember(self_.node, self_.incarnation) || !isLeaderGone(now)) {
        if (!isLeaderGone(now))
            nextClaimAt_ = Core::Instant();
        return;
    }
    if (nextClaimAt_ == Core::Instant()) {
        nextClaimAt_ = now + successionInterval * static_cast<std::int64_t>(successionRank());
    }
    if (now >= nextClaimAt_)
        claimLeadership(now);
    else
        nextReviewAt_ = std::min(nextReviewAt_, nextClaimAt_);
}

void FleetEngine::claimLeadership(Core::Instant now)
{
    const auto &leader = view_.leader();
    const bool isTakeover = leader
        && (leader->record.node != self_.node || leader->record.incarnation != self_.incarnation);
    // An order of an earlier incarnation of this process may still be on its way as well.
    if (isTakeover)
        ordersAllowedFrom_ = now + promotionOrderTimeout;
    leaderClaim_ = nextCall_++;
    leaderClaimSentAt_ = now;
    nextClaimAt_ = now + heartbeatInterval;
    write(leaderClaim_, LeaderRecord{self_.node, self_.incarnation, ++leaderAttempt_},
          leader ? leader->revision : 0);
}

void FleetEngine::queueOrder(OrderPromotion promotion, Core::Instant now)
{
    std::erase_if(orders_, [&](const auto &other) { return other.group == promotion.group; });
    orders_.push_back(std::move(promotion));
    claimForOrders(now);
}

void FleetEngine::claimForOrders(Core::Instant now)
{
    // The leader record is written again for the orders. A successful write proves that no other
    // proxy leads, and its revision is a fencing token above all earlier ones.
    if (!orders_.empty() && leaderClaim_ == 0 && ordersInFlight_.empty()
        && now >= ordersAllowedFrom_)
        claimLeadership(now);
}

void FleetEngine::sendOrders(WriteOutcome outcome, Revision revision, Core::Instant now)
{
    if (outcome == WriteOutcome::Done)
        view_.recordWritten(LeaderRecord{self_.node, self_.incarnation, leaderAttempt_}, revision);
    // Another proxy may lead since, and may have sent an order with a higher token.
    if (outcome == WriteOutcome::Done && now > leaderClaimSentAt_ + maximumTokenAge) {
        log("promotion_token_too_old",
            {{"token", std::to_string(revision)},
             {"age_ms", std::to_string((now - leaderClaimSentAt_).milliseconds())}});
        return;
    }
    for (auto &promotion : std::exchange(orders_, {})) {
        const auto plan = plans_.find(promotion.group);
        if (plan == plans_.end() || !plan->second.isAwaiting(promotion.id))
            continue;
        if (outcome != WriteOutcome::Done) {
            plan->second.orderEnded(promotion.id, OrderOutcome::Unknown, now);
            continue;
        }
        promotion.token = revision;
        promotion.endsBy = leaderClaimSentAt_ + promotionOrderTimeout;
        ordersInFlight_.insert(promotion.id);
        log("promotion_order",
            {{"group", promotion.group.value()},
             {"candidate", promotion.database.value()},
             {"token", std::to_string(revision)},
             {"token_age_ms", std::to_string((now - leaderClaimSentAt_).milliseconds())}});
        actions_.emplace_back(std::move(promotion));
    }
    // Another proxy leads; the records will show which one.
    if (outcome == WriteOutcome::Conflict)
        isDeposed_ = true;
}

void FleetEngine::actAsLeader(Core::Instant now)
{
    retireSilentMembers(now);
    claimForOrders(now);
    for (auto &[group, state] : groups_)
        reviewGroup(group, state, now);
}

void FleetEngine::retireSilentMembers(Core::Instant now)
{
    // After a partition or a suspension of its own, the leader receives the members' heartbeats one
    // after the other, so it waits until a majority has been heard for long enough.
    const bool hasSettled =
        hasMajorityFor(memberRetirementTimeout, now) || now >= majorityHeardAt_ + minorityTimeout;
    if (isStoreLost_ || !hasSettled || now < leadingSince_ + memberRetirementTimeout
        || now < contactSince_ + memberRetirementTimeout || !hasStableContact(now))
        return;
    for (const auto &[node, member] : view_.members()) {
        if (node == self_.node || peers_.isHeardWithin(node, memberRetirementTimeout, now))
            continue;
        if (!member.record.isRetired) {
            if (now < memberSince_[node] + memberRetirementTimeout)
                continue;
            MemberRecord retired = member.record;
            retired.isRetired = true;
            // Delays the next attempt if the write fails.
            memberSince_[node] = now;
            log("member_retired", {{"node", node.value()}});
            write(nextCall_++, retired, member.revision);
            continue;
        }
        Retirement &retirement = retirements_[node];
        if (!haveLeasesExpired(node, now) || now < retirement.removalRequestedAt + leaseDuration)
            continue;
        retirement.removalRequestedAt = now;
        actions_.emplace_back(DeleteRecord{memberKey(node), member.revision});
    }
}

void FleetEngine::updateRetirements(Core::Instant now)
{
    // Every proxy records retirements, so that a new leader doesn't have to wait for the expiry of
    // the leases from its own start.
    std::erase_if(retirements_, [&](const auto &entry) {
        const auto *member = view_.findMember(entry.first);
        return !member || !member->record.isRetired
            || member->record.incarnation != entry.second.incarnation;
    });
    for (const auto &[node, member] : view_.members()) {
        if (member.record.isRetired)
            retirements_.try_emplace(node, Retirement{member.record.incarnation, now, {}});
    }
}

bool FleetEngine::haveLeasesExpired(const Core::NodeName &node, Core::Instant now) const
{
    // A retired member's leases were granted before its record was marked, which was before this
    // proxy learned of the mark.
    const auto retirement = retirements_.find(node);
    return retirement != retirements_.end()
        && now >= retirement->second.since + leaseDuration + maximumClockDrift;
}

void FleetEngine::reviewGroup(const Core::GroupName &group, GroupState &state, Core::Instant now)
{
    const auto *primary = view_.findPrimary(group);
    if (!primary) {
        adoptFirstPrimary(group, state, now);
        return;
    }
    if (isOutdated(primary->record, primary->revision)) {
        if (const auto held = findPrimaryOfEarlierEra(group, state, now)) {
            PrimaryRecord record;
            record.group = group;
            record.database = *held;
            writeFirstRecord(std::move(record), primary->revision, now);
            return;
        }
    }
    auto plan = plans_.find(group);
    if (plan != plans_.end() && plan->second.isFinished()) {
        // After a conflict the newer record usually arrives soon; another write would fail as well.
        if (plan->second.revision() == primary->revision && now < plan->second.nextStepAt())
            return;
        if (plan->second.hasRestoredOldPrimary())
            state.restoredAt = now;
        plans_.erase(plan);
        plan = plans_.end();
    }
    if (plan == plans_.end()) {
        const auto reason = replacementReason(group, state, *primary, now);
        if (!reason)
            return;
        plan = plans_
                   .emplace(group,
                            PromotionPlan(primary->record, primary->revision, *reason, self_.node))
                   .first;
    }
    const auto inputs = planInputs(group, state, plan->second, now);
    for (auto &action : plan->second.advance(inputs, nextCall_, now)) {
        if (auto *change = std::get_if<WriteRecord>(&action))
            write(change->id, std::move(change->record), change->expected);
        else if (auto *promotion = std::get_if<OrderPromotion>(&action))
            queueOrder(std::move(*promotion), now);
        else
            actions_.push_back(std::move(action));
    }
    nextReviewAt_ = std::min(nextReviewAt_, plan->second.nextStepAt());
}

void FleetEngine::adoptFirstPrimary(const Core::GroupName &group, const GroupState &state,
                                    Core::Instant now)
{
    PrimaryRecord record;
    record.group = group;
    const auto *earlier = view_.earlierPrimary(group);
    if (const auto held = findPrimaryOfEarlierEra(group, state, now)) {
        record.database = *held;
    } else if (earlier) {
        // The copy is older than the group's record.
        record.database = earlier->record.database;
        record.phase = PrimaryPhase::Replacing;
        record.isUnverified = true;
    } else if (const auto listed = findPrimaryOfDirectory(state)) {
        record.database = *listed;
    } else {
        return;
    }
    writeFirstRecord(std::move(record), 0, now);
}

std::optional<Core::DatabaseName> FleetEngine::findPrimaryOfDirectory(const GroupState &state) const
{
    const auto isPrimary = [](const auto &entry) {
        return entry.role == Sessions::DatabaseRole::Primary;
    };
    if (std::ranges::count_if(state.databases, isPrimary) != 1)
        return {};
    return std::ranges::find_if(state.databases, isPrimary)->id;
}

std::optional<Core::DatabaseName> FleetEngine::findPrimaryOfEarlierEra(const Core::GroupName &group,
                                                                       const GroupState &state,
                                                                       Core::Instant now) const
{
    const auto *earlier = view_.earlierPrimary(group);
    const bool isHeld = earlier && earlier->revision == state.earlierLeaseRevision
        && now + maximumClockDrift < state.earlierLeaseUntil;
    return isHeld ? std::optional(earlier->record.database) : std::nullopt;
}

void FleetEngine::writeFirstRecord(PrimaryRecord record, Revision expected, Core::Instant now)
{
    auto &writtenAt = firstRecordWrittenAt_[record.group];
    if (writtenAt != Core::Instant() && now < writtenAt + heartbeatInterval)
        return;
    writtenAt = now;
    record.writer = self_.node;
    record.era = view_.era();
    write(nextCall_++, std::move(record), expected);
}

std::optional<ReplacementReason>
FleetEngine::replacementReason(const Core::GroupName &group, const GroupState &state,
                               const Stored<PrimaryRecord> &primary, Core::Instant now) const
{
    if (state.databases.empty())
        return {};
    // A replacement that was started earlier is resumed.
    if (primary.record.phase != PrimaryPhase::Active)
        return ReplacementReason::Failed;
    if (isStoreLost_)
        return {};
    const auto entry =
        std::ranges::find(state.databases, primary.record.database, &Sessions::DatabaseEntry::id);
    if (entry != state.databases.end()
        && entry->availability == Sessions::DatabaseAvailability::Draining) {
        if (mayWaitForSilentMembers(state.leavingSince, drainingPrimaryTimeout, now))
            return {};
        return ReplacementReason::Leaving;
    }
    if (entry == state.databases.end())
        return ReplacementReason::Failed;
    if (isPrimaryDown(group, state, now))
        return ReplacementReason::Failed;
    const bool isElsewhereReady = std::ranges::any_of(state.databases, [&](const auto &other) {
        return other.availability == Sessions::DatabaseAvailability::Ready && !isEvacuated(other);
    });
    if (isEvacuated(*entry) && isElsewhereReady
        && !mayWaitForSilentMembers(state.evacuatingSince, evacuatedPrimaryTimeout, now))
        return ReplacementReason::Evacuating;
    return {};
}

bool FleetEngine::mayWaitForSilentMembers(const std::optional<Core::Instant> &plannedSince,
                                          Core::Duration timeout, Core::Instant now) const
{
    // Callers are served by the old primary until the leases of a silent member have expired.
    return plannedSince && now < *plannedSince + timeout && isAnyMemberSilent(now);
}

bool FleetEngine::isAnyMemberSilent(Core::Instant now) const
{
    return std::ranges::any_of(view_.members(),
                               [&](const auto &entry) { return isSilent(entry.first, now); });
}

bool FleetEngine::isSilent(const Core::NodeName &member, Core::Instant now) const
{
    return member != self_.node && !haveLeasesExpired(member, now)
        && !peers_.isHeardWithin(member, peerTimeout, now);
}

bool FleetEngine::isPrimaryDown(const Core::GroupName &group, const GroupState &state,
                                Core::Instant now) const
{
    // Suspicions raised during a partition are reassessed after it.
    if (isStoreLost_ || now < contactSince_ + reconnectSettleDelay
        || now < startedAt_ + reconnectSettleDelay)
        return false;
    if (now < leadingSince_ + leaderSettleDelay)
        return false;
    // The primary has just answered this proxy; others are still opening connections to it.
    if (now < state.restoredAt + restorationSettleDelay)
        return false;
    if (now >= majorityHeardAt_ + majorityTimeout && now < majorityHeardAt_ + minorityTimeout)
        return false;
    std::size_t suspects = state.health == Health::Suspect ? 1 : 0;
    std::size_t healthy = state.health == Health::Healthy ? 1 : 0;
    for (const auto &[node, peer] : peers_.all()) {
        if (now >= peer.heardAt + peerTimeout || !view_.findMember(node))
            continue;
        const auto report =
            std::ranges::find(peer.lastHeartbeat.primaries, group, &PrimaryReport::group);
        if (report == peer.lastHeartbeat.primaries.end()
            || report->revision != state.publishedRevision)
            continue;
        suspects += report->health == Health::Suspect ? 1 : 0;
        healthy += report->health == Health::Healthy ? 1 : 0;
    }
    // A report of a healthy primary outweighs two suspicions, so a proxy that can't reach the
    // primary is outvoted by those that can. In a fleet of two or more proxies, the suspicion of a
    // single one is not enough.
    const std::size_t minimumSuspects = std::min<std::size_t>(2, memberCount());
    return suspects >= minimumSuspects && suspects > 2 * healthy;
}

bool FleetEngine::hasAdopted(const MemberRecord &member, const Core::GroupName &group,
                             Revision revision) const
{
    if (member.node == self_.node)
        return groups_.at(group).released >= revision;
    const auto written = member.adopted.find(group);
    if (written != member.adopted.end() && written->second >= revision)
        return true;
    const auto *peer = peers_.find(member.node);
    if (!peer || peer->lastHeartbeat.incarnation != member.incarnation)
        return false;
    const auto report =
        std::ranges::find(peer->lastHeartbeat.primaries, group, &PrimaryReport::group);
    return report != peer->lastHeartbeat.primaries.end() && report->adopted >= revision;
}

std::optional<std::uint32_t> FleetEngine::synchronousReplicas(const Core::GroupName &group) const
{
    if (!synchronousReplicas_)
        return {};
    const auto found = synchronousReplicas_->find(group);
    return found == synchronousReplicas_->end() ? 0 : found->second;
}

void FleetEngine::addReceivers(PlanInputs &inputs, const GroupState &state,
                               const PromotionPlan &plan) const
{
    for (const auto &entry : state.databases) {
        if (entry.id == plan.oldPrimary() && !plan.isUnverified())
            continue;
        inputs.receivers.push_back(entry.id);
        if (entry.availability == Sessions::DatabaseAvailability::Draining && !isEvacuated(entry))
            inputs.drainingReceivers.push_back(entry.id);
    }
}

PlanInputs FleetEngine::planInputs(const Core::GroupName &group, const GroupState &state,
                                   const PromotionPlan &plan, Core::Instant now) const
{
    PlanInputs inputs;
    inputs.highestMark = state.mark;
    for (const auto &[node, member] : view_.members()) {
        if (!isSilent(node, now))
            continue;
        inputs.isAnyMemberSilent = true;
        inputs.isAnySilentMemberUnfenced |=
            !plan.isClaimed() || !hasAdopted(member.record, group, plan.claimRevision());
    }
    const Sessions::DatabaseEntry *lastResort = nullptr;
    for (const auto &entry : state.databases) {
        if (isEvacuated(entry))
            continue;
        lastResort = lastResort ? lastResort : &entry;
        if (entry.availability != Sessions::DatabaseAvailability::Ready)
            continue;
        // Of an unverified record it isn't known whether its database still is the primary.
        if (entry.id == plan.oldPrimary() && !plan.isUnverified())
            inputs.canRestoreOldPrimary = true;
        else
            inputs.candidates.push_back(entry.id);
    }
    if (inputs.candidates.empty() && lastResort)
        inputs.candidates.push_back(lastResort->id);
    inputs.synchronousReplicas = synchronousReplicas(group);
    addReceivers(inputs, state, plan);
    for (const auto &[node, peer] : peers_.all()) {
        const auto report =
            std::ranges::find(peer.lastHeartbeat.primaries, group, &PrimaryReport::group);
        if (report != peer.lastHeartbeat.primaries.end())
            inputs.highestMark = std::max(inputs.highestMark, report->mark);
    }
    if (!plan.isClaimed())
        return inputs;
    // An earlier leader may have started the replacement. No lease to the old primary was granted
    // after that.
    const Core::Instant since =
        state.replaces != 0 ? std::min(state.replacingSince, plan.claimedAt()) : plan.claimedAt();
    const bool areAllLeasesExpired = now >= since + leaseDuration + maximumClockDrift;
    inputs.isFenced =
        areAllLeasesExpired || std::ranges::all_of(view_.members(), [&](const auto &entry) {
            return haveLeasesExpired(entry.first, now)
                || hasAdopted(entry.second.record, group, plan.claimRevision());
        });
    return inputs;
}

} // namespace Chervilpin::Fleet
