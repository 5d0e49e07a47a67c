#include <Fleet/FleetEngine.h>

#include <Fleet/Timing.h>

#include <algorithm>

namespace Chervilpin::Fleet {

FleetEngine::FleetEngine(FleetSettings settings, Core::Instant now)
    : self_(std::move(settings))
    , startedAt_(now)
    , majorityHeardAt_(now)
    , majoritySince_(now)
    , nextHeartbeatAt_(now)
    , nextReviewAt_(now)
{ }

void FleetEngine::recordsListed(std::span<const StoredObject> records, Revision listed,
                                Core::Instant askedAt, Core::Instant now)
{
    if (isListed_ && eraOf(listed) > view_.era()) {
        for (const auto &[group, primary] : view_.primaries())
            rememberLease(group);
        // Plans and orders rest on records that may no longer exist.
        plans_.clear();
        orders_.clear();
        firstRecordWrittenAt_.clear();
        log("store_era_began",
            {{"era", std::to_string(eraOf(listed))},
             {"records", std::to_string(records.size())},
             {"groups", std::to_string(view_.primaries().size())}});
    }
    for (const auto &key : view_.replace(records, listed))
        log("record_unreadable", {{"key", key}});
    isListed_ = true;
    confirm(askedAt, now);
}

void FleetEngine::rememberLease(const Core::GroupName &group)
{
    const auto *primary = view_.findPrimary(group);
    auto &state = groups_[group];
    if (!primary || primary->record.phase != PrimaryPhase::Active || !state.isConfirmed)
        return;
    state.earlierLeaseUntil = state.confirmedAt + leaseDuration;
    state.earlierLeaseRevision = primary->revision;
}

void FleetEngine::recordsChanged(std::span<const StoredObject> changes, Core::Instant askedAt,
                                 Core::Instant now)
{
    for (const auto &key : view_.apply(changes))
        log("record_unreadable", {{"key", key}});
    confirm(askedAt, now);
}

void FleetEngine::confirm(Core::Instant askedAt, Core::Instant now)
{
    isDeposed_ = false;
    if (askedAt > storeConfirmedAt_ + maximumConfirmationGap)
        contactSince_ = now;
    storeConfirmedAt_ = std::max(storeConfirmedAt_, askedAt);
    if (view_.isMember(self_.node, self_.incarnation)) {
        for (const auto &[group, primary] : view_.primaries())
            confirmGroup(group, askedAt, now);
    }
    publishChangedPrimaries(now);
    publishMembers(now);
    nextReviewAt_ = now;
}

void FleetEngine::confirmGroup(const Core::GroupName &group, Core::Instant confirmedAt,
                               Core::Instant now)
{
    auto &state = groups_[group];
    if (state.isConfirmed && confirmedAt <= state.confirmedAt)
        return;
    state.isConfirmed = true;
    state.confirmedAt = confirmedAt;
    publishPrimary(group, state, now);
}

void FleetEngine::publishChangedPrimaries(Core::Instant now)
{
    for (const auto &[group, primary] : view_.primaries()) {
        auto &state = groups_[group];
        if (state.publishedRevision < primary.revision)
            publishPrimary(group, state, now);
    }
}

void FleetEngine::updateReplacement(GroupState &state, const PrimaryRecord &record,
                                    Core::Instant now)
{
    if (record.phase == PrimaryPhase::Active) {
        state.replaces = 0;
        return;
    }
    // Between two records of a replacement the old primary may have been active again, unless both
    // name the same replaced revision.
    if (state.replaces != 0 && state.replaces == record.replaces)
        return;
    state.replaces = record.replaces;
    state.replacingSince = now;
}

void FleetEngine::publishPrimary(const Core::GroupName &group, GroupState &state, Core::Instant now)
{
    const auto *primary = view_.findPrimary(group);
    if (!primary)
        return;
    if (state.publishedRevision < primary->revision) {
        log("primary_learned",
            {{"group", group.value()},
             {"database", primary->record.database.value()},
             {"phase", std::string(toString(primary->record.phase))},
             {"revision", std::to_string(primary->revision)},
             {"writer", primary->record.writer.value()}});
        updateReplacement(state, primary->record, now);
        // The new primary may be another database, whose health is not known yet.
        state.health = Health::Unknown;
    }
    state.publishedRevision = primary->revision;
    // A lease that was granted before the store came back from a copy stays valid: whoever replaces
    // its primary waits until it has been given up or has expired.
    if (isOutdated(primary->record, primary->revision))
        return;
    PrimaryLease lease;
    lease.group = group;
    lease.revision = primary->revision;
    lease.database = primary->record.database;
    lease.phase = primary->record.phase;
    const bool mayHoldLease =
        state.isConfirmed && lease.phase == PrimaryPhase::Active && !isLeaving_;
    lease.validUntil = mayHoldLease ? state.confirmedAt + leaseDuration : Core::Instant();
    actions_.emplace_back(lease);
}

void FleetEngine::primaryReleased(const Core::GroupName &group, Revision revision,
                                  Core::Instant now)
{
    auto &state = groups_[group];
    if (revision <= state.released)
        return;
    state.released = revision;
    const auto *primary = view_.findPrimary(group);
    if (!primary || primary->record.phase == PrimaryPhase::Active)
        return;
    // The leader waits for this. A leader that can't be reached directly learns it from this
    // member's record in the store.
    const auto &leader = view_.leader();
    if (leader)
        releaseReportsTo_.insert(leader->record.node);
    releaseReportsTo_.insert(primary->record.writer);
    nextReviewAt_ = now;
}

void FleetEngine::reportReleases(Core::Instant now)
{
    if (releaseReportsTo_.empty())
        return;
    // One message reports all groups that were released together.
    for (const auto &node : std::exchange(releaseReportsTo_, {}))
        sendToNode(node, Reply::NotWanted, now);
    const auto &leader = view_.leader();
    if (leader && !peers_.isHeardWithin(leader->record.node, peerTimeout, now)
        && leader->record.node != self_.node)
        registerSelf(now);
}

void FleetEngine::primaryHealth(const Core::GroupName &group, Health health, Core::LogMark mark,
                                Core::Instant now)
{
    auto &state = groups_[group];
    state.mark = std::max(state.mark, mark);
    if (state.health == health)
        return;
    const bool isSuspicionChange = health == Health::Suspect || state.health == Health::Suspect;
    state.health = health;
    if (!isSuspicionChange)
        return;
    log("primary_health",
        {{"group", group.value()}, {"health", health == Health::Suspect ? "suspect" : "healthy"}});
    isHealthReportDue_ = true;
    nextReviewAt_ = now;
}

void FleetEngine::directoryChanged(std::span<const Sessions::DatabaseEntry> entries,
                                   Core::Instant now)
{
    for (auto &[group, state] : groups_)
        state.databases.clear();
    for (const auto &entry : entries)
        groups_[entry.group].databases.push_back(entry);
    updateLeaving(now);
    nextReviewAt_ = now;
}

void FleetEngine::setSynchronousReplicas(std::map<Core::GroupName, std::uint32_t> replicas)
{
    synchronousReplicas_ = std::move(replicas);
}

void FleetEngine::evacuationsChanged(std::span<const Core::DataCentreName> dataCentres,
                                     Core::Instant now)
{
    evacuated_ = {dataCentres.begin(), dataCentres.end()};
    updateLeaving(now);
    nextReviewAt_ = now;
}

void FleetEngine::updateLeaving(Core::Instant now)
{
    const auto update = [now](std::optional<Core::Instant> &since, bool isSo) {
        if (!isSo)
            since.reset();
        else if (!since)
            since = now;
    };
    for (auto &[group, state] : groups_) {
        const auto *primary = view_.findPrimary(group);
        const auto entry = primary ? std::ranges::find(state.databases, primary->record.database,
                                                       &Sessions::DatabaseEntry::id)
                                   : state.databases.end();
        const bool isListed = entry != state.databases.end();
        update(state.leavingSince,
               isListed && entry->availability == Sessions::DatabaseAvailability::Draining);
        update(state.evacuatingSince, isListed && isEvacuated(*entry));
    }
}

bool FleetEngine::isEvacuated(const Sessions::DatabaseEntry &entry) const
{
    return evacuated_.contains(entry.dataCentre);
}

void FleetEngine::storeReachable(bool isReachable, Core::Instant now)
{
    isStoreLost_ = !isReachable;
    if (isReachable)
        contactSince_ = now;
    nextReviewAt_ = now;
}

void FleetEngine::heartbeat(const Heartbeat &message, Core::Instant now)
{
    if (message.node == self_.node || !peers_.update(message, now))
        return;
    mergeReports(message, now);
    ReportState &reportState = reportStates_[message.node];
    if (message.wantsDetails)
        reportState.fullReportsUntil = now + fullReportDuration;
    const bool isDifferent = message.recordsSum != view_.recordsSum()
        && now >= reportState.differenceReportedAt + recordSyncInterval;
    if (isDifferent)
        reportState.differenceReportedAt = now;
    const auto *member = view_.findMember(message.node);
    if (member && (message.wantsReply || message.wantsDetails || isDifferent))
        sendTo(member->record, Reply::NotWanted, now,
               isDifferent ? detailFor(message) : Detail::InProgress);
    if (!plans_.empty())
        nextReviewAt_ = now;
}

FleetEngine::Detail FleetEngine::detailFor(const Heartbeat &message) const
{
    // With the same newest record, it isn't known which record either side lacks.
    return message.newestRecord == view_.newestPrimary() ? Detail::All : Detail::Newer;
}

void FleetEngine::mergeReports(const Heartbeat &message, Core::Instant now)
{
    for (const auto &report : message.primaries) {
        PrimaryRecord record;
        record.group = report.group;
        record.database = report.database;
        record.phase = report.phase;
        record.candidate = report.candidate;
        record.replaces = report.replaces;
        record.term = report.term;
        record.isUnverified = report.isUnverified;
        record.writer = message.node;
        const auto *known = view_.findPrimary(report.group);
        if (known && eraOf(known->revision) < eraOf(report.revision))
            rememberLease(report.group);
        if (report.revision != 0)
            view_.mergePrimary({record, report.revision});
        if (report.health == Health::Suspect)
            nextReviewAt_ = now;
    }
    publishChangedPrimaries(now);
    measureDistance(message, now);
    if (!message.confirmedAge || !message.isReceiverMember
        || message.echoIncarnation != self_.incarnation)
        return;
    // The earliest time, by this proxy's clock, at which the message can have left the sender: the
    // heartbeat that it echoes was received no earlier than it was sent, and then held.
    const Core::Instant leftAt = message.echoSentAt + message.echoHeld;
    if (message.recordsSum == view_.recordsSum()) {
        for (const auto &[group, primary] : view_.primaries())
            confirmGroup(group, leftAt - *message.confirmedAge, now);
        return;
    }
    for (const auto &report : message.primaries) {
        const auto *primary = view_.findPrimary(report.group);
        if (primary && primary->revision == report.revision)
            confirmGroup(report.group, leftAt - *message.confirmedAge, now);
    }
}

void FleetEngine::measureDistance(const Heartbeat &message, Core::Instant now)
{
    const auto *sender = view_.findMember(message.node);
    if (sender && message.echoIncarnation == self_.incarnation)
        distances_.add(sender->record.dataCentre, now - message.echoSentAt - message.echoHeld);
}

void FleetEngine::writeEnded(CallId call, WriteOutcome outcome, Revision revision,
                             Core::Instant now)
{
    nextReviewAt_ = now;
    if (call == registration_)
        registration_ = 0;
    for (auto &[group, plan] : plans_)
        plan.writeEnded(call, outcome, revision, now);
    auto written = writes_.extract(call);
    if (written.empty())
        return;
    if (call == leaderClaim_) {
        leaderClaim_ = 0;
        sendOrders(outcome, revision, now);
    }
    if (outcome != WriteOutcome::Done) {
        log("record_not_written",
            {{"key", keyOf(written.mapped())},
             {"outcome", outcome == WriteOutcome::Conflict ? "conflict" : "unknown"}});
        return;
    }
    view_.recordWritten(written.mapped(), revision);
    publishMembers(now);
    log("record_written",
        {{"key", keyOf(written.mapped())}, {"revision", std::to_string(revision)}});
    const auto *primary = std::get_if<PrimaryRecord>(&written.mapped());
    if (!primary)
        return;
    publishChangedPrimaries(now);
    // First records are written for all groups at once, and the store reaches everybody soon
    // enough.
    if (plans_.contains(primary->group))
        scheduleAnnouncement(now);
}

void FleetEngine::write(CallId call, Record record, Revision expected)
{
    writes_.emplace(call, record);
    actions_.emplace_back(WriteRecord{call, std::move(record), expected});
}

void FleetEngine::orderEnded(CallId call, OrderOutcome outcome, Core::Instant now)
{
    ordersInFlight_.erase(call);
    for (auto &[group, plan] : plans_)
        plan.orderEnded(call, outcome, now);
    nextReviewAt_ = now;
}

void FleetEngine::statusAnswered(const Core::DatabaseName &database,
                                 const Sessions::DatabaseStatus &status, Core::Instant now)
{
    for (auto &[group, plan] : plans_)
        plan.statusAnswered(database, status, now);
    nextReviewAt_ = now;
}

void FleetEngine::leave(Core::Instant now)
{
    isLeaving_ = true;
    sendToContacts(Reply::NotWanted, now);
    const auto *self = view_.findMember(self_.node);
    if (self && self->record.incarnation == self_.incarnation)
        actions_.emplace_back(DeleteRecord{memberKey(self_.node), self->revision});
    orders_.clear();
    const auto &leader = view_.leader();
    // While an order is on its way, a successor has to wait, which it does not if nobody leads.
    if (isLeader() && ordersInFlight_.empty())
        actions_.emplace_back(DeleteRecord{leaderKey(), leader->revision});
}

Core::Instant FleetEngine::nextDeadline() const
{
    return std::min({nextHeartbeatAt_, nextReviewAt_, announceAt_});
}

void FleetEngine::advance(Core::Instant now)
{
    if (now >= nextHeartbeatAt_)
        sendHeartbeats(now);
    if (now >= announceAt_)
        announce(now);
    reportReleases(now);
    if (std::exchange(isHealthReportDue_, false))
        sendToContacts(Reply::NotWanted, now);
    if (now < nextReviewAt_)
        return;
    nextReviewAt_ = now + reviewInterval;
    if (!isListed_ || isLeaving_)
        return;
    updateMajority(now);
    reviewMembership(now);
    reviewLeadership(now);
    if (isLeader()) {
        actAsLeader(now);
        return;
    }
    plans_.clear();
    orders_.clear();
    leadingSince_ = now;
}

std::vector<Action> FleetEngine::takeActions()
{
    return std::exchange(actions_, {});
}

std::size_t FleetEngine::memberCount() const
{
    // A retired member may still hold connections and use its share.
    return std::max<std::size_t>(1, view_.members().size());
}

bool FleetEngine::isLeader() const
{
    const auto &leader = view_.leader();
    return !isDeposed_ && leader && leader->record.node == self_.node
        && leader->record.incarnation == self_.incarnation;
}

std::uint64_t FleetEngine::newestConfigurationOfPeers() const
{
    std::uint64_t newest = 0;
    for (const auto &[node, peer] : peers_.all())
        newest = std::max(newest, peer.lastHeartbeat.configurationVersion);
    return newest;
}

void FleetEngine::log(std::string name, std::vector<std::pair<std::string, std::string>> fields)
{
    actions_.emplace_back(Event{std::move(name), std::move(fields)});
}

} // namespace Chervilpin::Fleet
