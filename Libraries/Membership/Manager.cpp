#include <Membership/Manager.h>

#include <Core/Rank.h>

#include <algorithm>
#include <bit>

namespace Chervilpin::Membership {

namespace {

constexpr std::string_view ringDuty = "ring";
constexpr std::string_view vmListReaderDuty = "lister";
constexpr Core::Duration evaluationInterval(100);
constexpr Core::Duration pauseThreshold(1'500); ///< Minimum gap between ticks that is a pause.
constexpr Core::Duration summaryInterval(1'000);
constexpr Core::Duration summaryPushInterval(500); ///< Between two pushes of summaries.
constexpr Core::Duration minimumStatusInterval(1'000);
constexpr std::int64_t statusMillisecondsPerMember = 25;
constexpr Core::Duration minimumSyncInterval(30'000);
constexpr std::int64_t syncMillisecondsPerMember = 250;
constexpr Core::Duration memberListInterval(10'000); ///< Between two full lists for one peer.
constexpr std::size_t memberListChunkSize = 64;
/// One in this many heartbeats is also sent to a member that is not live.
constexpr std::uint64_t heartbeatsPerNonLiveContact = 3;
constexpr std::uint32_t gossipRepeatFactor = 3;
constexpr std::int64_t suspicionHeartbeats = 3;

} // namespace

std::string_view toString(EventKind kind)
{
    switch (kind) {
    case EventKind::InvalidHeartbeat:
        return "membership_peer_garbage";
    case EventKind::Refuted:
        return "membership_refuted";
    case EventKind::Superseded:
        return "membership_superseded";
    case EventKind::Paused:
        return "membership_paused";
    case EventKind::VmListFailed:
        return "membership_list_failed";
    }
    return "membership_event";
}

Manager::Manager(Settings settings, std::uint64_t seed)
    : settings_(std::move(settings))
    , random_(seed)
    , table_(settings_.guards)
    , summaryTable_(settings_)
    , budget_(settings_.bytesPerSecond, settings_.burstBytes)
{ }

Actions Manager::start(Core::Instant now)
{
    Actions actions;
    lastTickAt_ = now;
    startedAt_ = now;
    budget_.refill(now);
    addSeeds(now, actions);
    // Status reports of nodes that start together are spread over the interval.
    const auto period = static_cast<std::uint64_t>(settings_.heartbeatInterval.milliseconds());
    nextHeartbeatAt_ = now;
    nextStatusAt_ = now + Core::Duration(static_cast<std::int64_t>(random_.below(period)));
    nextSyncAt_ = now + minimumSyncInterval;
    return actions;
}

void Manager::addSeeds(Core::Instant now, Actions &actions)
{
    for (const Platform::Vm &seed : settings_.seeds) {
        if (seed.name != settings_.self && table_.addUnconfirmed(seed, now))
            reportMemberChange(seed.name, actions);
    }
}

Actions Manager::tick(Core::Instant now)
{
    Actions actions;
    detectPause(now, actions);
    budget_.refill(now);
    requestVmListIfDue(now, actions);
    evaluateMembers(now, actions);
    sendHeartbeats(now, actions);
    pushGossip(now, actions);
    reportStatus(now, actions);
    return actions;
}

/// After a pause of this node, missing heartbeats say nothing about its peers.
void Manager::detectPause(Core::Instant now, Actions &actions)
{
    const Core::Duration gap = now - lastTickAt_;
    lastTickAt_ = now;
    if (gap < pauseThreshold)
        return;
    actions.emplace_back(Event{EventKind::Paused, std::to_string(gap.milliseconds()) + " ms"});
    for (auto &[name, since] : watchedSince_)
        since = now;
}

Actions Manager::platformReply(const Platform::Reply &reply, Core::Instant now)
{
    Actions actions;
    if (vmListCall_ != reply.id)
        return actions;
    vmListCall_.reset();
    const auto *list = std::get_if<Platform::Vms>(&reply.body);
    if (list == nullptr) {
        actions.emplace_back(
            Event{EventKind::VmListFailed, "platform did not return the list of VMs"});
        return actions;
    }
    vmListReceivedAt_ = now;
    isListed_ = std::ranges::count(list->vms, settings_.self, &Platform::Vm::name) > 0;
    std::vector<Core::NodeName> previousNames;
    for (const Member &member : table_.members())
        previousNames.push_back(member.name);
    if (!table_.reconcile(list->vms, settings_.self, now))
        return actions;
    for (const Member &member : table_.members()) {
        if (!std::ranges::binary_search(previousNames, member.name))
            reportMemberChange(member.name, actions);
    }
    return actions;
}

Actions Manager::peerMessage(const Peer::Incoming &incoming, Core::Instant now)
{
    Actions actions;
    const auto heartbeat = decodeHeartbeat(incoming.payload);
    const bool isFromSender = heartbeat && heartbeat->sender.name == incoming.from;
    if (!isFromSender || incoming.from == settings_.self) {
        actions.emplace_back(Event{EventKind::InvalidHeartbeat, incoming.from.value()});
        return actions;
    }
    handleSender(heartbeat->sender, now, actions);
    for (const Update &update : heartbeat->updates)
        mergeUpdate(update, now, actions);
    for (const Summary &summary : heartbeat->summaries)
        hasSummaryChange_ = summaryTable_.merge(summary, table_) || hasSummaryChange_;
    const Member *sender = table_.find(incoming.from);
    const bool isCurrentIncarnation =
        sender != nullptr && sender->version.incarnation == heartbeat->sender.version.incarnation;
    if (isCurrentIncarnation) {
        summaryTable_.recordStatus(incoming.from, heartbeat->status);
        actions.emplace_back(PeerStatus{incoming.from, heartbeat->status});
    }
    if (heartbeat->memberListRole == MemberListRole::Part)
        hasMemberList_ = true;
    if (heartbeat->memberListRole == MemberListRole::Request)
        sendMemberList(incoming.from, now, actions);
    return actions;
}

/// Handles what the sender of a heartbeat reports about itself.
void Manager::handleSender(const Update &sender, Core::Instant now, Actions &actions)
{
    mergeUpdate(sender, now, actions);
    const Member *member = table_.find(sender.name);
    if (member == nullptr || sender.version < member->version)
        return;
    lastHeartbeatAt_[sender.name] = now;
    // The sender can only refute a suspicion that it is told about.
    if (member->health != Health::Live) {
        gossip_.add(sender.name, gossipRepeatCount());
        send(sender.name, Urgency::Pushed, Contents::Plain, actions);
    }
}

void Manager::mergeUpdate(const Update &update, Core::Instant now, Actions &actions)
{
    if (update.name == settings_.self) {
        refuteSuspicion(update, now, actions);
        return;
    }
    if (!table_.merge(update, now))
        return;
    enqueueGossip(update.name);
    reportMemberChange(update.name, actions);
}

void Manager::refuteSuspicion(const Update &update, Core::Instant, Actions &actions)
{
    if (update.version.incarnation > settings_.incarnation) {
        actions.emplace_back(
            Event{EventKind::Superseded, std::to_string(update.version.incarnation)});
        return;
    }
    const bool isSuspicion = update.version.incarnation == settings_.incarnation
        && update.version.refutation >= refutationCount_ && update.health != Health::Live;
    if (!isSuspicion || !settings_.guards.refutesSuspicion)
        return;
    refutationCount_ = update.version.refutation + 1;
    enqueueGossip(settings_.self);
    actions.emplace_back(Event{EventKind::Refuted, std::string(toString(update.health))});
}

void Manager::enqueueGossip(const Core::NodeName &name)
{
    gossip_.add(name, gossipRepeatCount());
    hasUrgentGossip_ = true;
}

void Manager::reportMemberChange(const Core::NodeName &name, Actions &actions)
{
    const Member *member = table_.find(name);
    if (member != nullptr)
        actions.emplace_back(MemberChanged{*member});
}

Actions Manager::setStatus(const NodeStatus &status, Core::Instant now)
{
    Actions actions;
    if (status == status_)
        return actions;
    status_ = status;
    nextStatusAt_ = now;
    nextSummaryAt_ = now;
    return actions;
}

Actions Manager::leave(Core::Instant now)
{
    Actions actions;
    isLeaving_ = true;
    enqueueGossip(settings_.self);
    nextPushAt_ = now;
    pushGossip(now, actions);
    return actions;
}

void Manager::evaluateMembers(Core::Instant now, Actions &actions)
{
    if (now < nextEvaluationAt_)
        return;
    nextEvaluationAt_ = now + evaluationInterval;
    std::vector<HealthChange> healthChanges;
    for (const Member &member : table_.members()) {
        const Health health = evaluateHealth(member, now);
        if (health != member.health)
            healthChanges.push_back({member.name, health});
    }
    for (const HealthChange &healthChange : healthChanges)
        changeHealth(healthChange.name, healthChange.health, now, actions);
    table_.removeDead(now - settings_.deadRetention);
    std::erase_if(lastHeartbeatAt_,
                  [&](const auto &entry) { return table_.find(entry.first) == nullptr; });
    if (now >= nextSummaryAt_) {
        nextSummaryAt_ = now + summaryInterval;
        hasSummaryChange_ =
            summaryTable_.updateOwnSummary(status_, isLeaving_, table_) || hasSummaryChange_;
    }
}

/// Returns what a member's health should be now, as far as this node can tell.
Health Manager::evaluateHealth(const Member &member, Core::Instant now) const
{
    if (member.health == Health::Live) {
        const auto watched = watchedSince_.find(member.name);
        if (watched == watchedSince_.end())
            return Health::Live;
        const auto heard = lastHeartbeatAt_.find(member.name);
        const bool wasHeard = heard != lastHeartbeatAt_.end() && heard->second > watched->second;
        const Core::Instant last = wasHeard ? heard->second : watched->second;
        return now - last >= settings_.heartbeatTimeout ? Health::Suspected : Health::Live;
    }
    const bool isOverdue = now - member.since >= suspicionTimeout();
    if (member.health == Health::Suspected && isOverdue)
        return member.isLeaving ? Health::Dead : Health::Unreachable;
    const bool isListFresh =
        vmListReceivedAt_ && now - *vmListReceivedAt_ < settings_.vmListInterval * 2;
    const bool isRemovable =
        member.health == Health::Unreachable && isListFresh && !member.isListed;
    return isRemovable ? Health::Dead : member.health;
}

void Manager::changeHealth(const Core::NodeName &name, Health health, Core::Instant now,
                           Actions &actions)
{
    if (!table_.setHealth(name, health, now))
        return;
    if (table_.find(name)->version.incarnation != 0)
        enqueueGossip(name);
    reportMemberChange(name, actions);
}

void Manager::sendHeartbeats(Core::Instant now, Actions &actions)
{
    if (now < nextHeartbeatAt_)
        return;
    nextHeartbeatAt_ = now + settings_.heartbeatInterval;
    ++heartbeatCount_;
    updateRing(now);
    const bool isSyncDue = now >= nextSyncAt_;
    if (isSyncDue) {
        const auto members = static_cast<std::int64_t>(table_.members().size());
        nextSyncAt_ = now
            + std::max(minimumSyncInterval, Core::Duration(members * syncMillisecondsPerMember));
        hasMemberList_ = false;
    }
    for (const Core::NodeName &name : chooseRandom(settings_.randomTargetCount))
        send(name, Urgency::Periodic, Contents::WithSummaries, actions);
    for (const Core::NodeName &name : ringSuccessors())
        send(name, Urgency::Periodic, Contents::Plain, actions);
    const bool isIsolated = table_.liveCount() == 0;
    if (isIsolated || heartbeatCount_ % heartbeatsPerNonLiveContact == 0) {
        const std::size_t count = isIsolated ? settings_.pushFanout : 1;
        for (const Core::NodeName &name : chooseNonLive(count))
            send(name, Urgency::Periodic, Contents::Plain, actions);
    }
}

/// The ring holds this node and all members that are live or suspected, except those known from the
/// VM list only. Nodes with the same members order it the same way.
void Manager::updateRing(Core::Instant now)
{
    ring_.clear();
    ring_.push_back(settings_.self);
    for (const Member &member : table_.members()) {
        const bool isInRing = member.health == Health::Live
            || (member.health == Health::Suspected && member.version.incarnation != 0);
        if (isInRing)
            ring_.push_back(member.name);
    }
    std::ranges::sort(ring_, [](const Core::NodeName &a, const Core::NodeName &b) {
        return Core::rankOf(a, ringDuty) < Core::rankOf(b, ringDuty);
    });
    std::map<Core::NodeName, Core::Instant> watched;
    const auto ownPosition =
        static_cast<std::size_t>(std::ranges::find(ring_, settings_.self) - ring_.begin());
    const std::size_t others =
        std::min<std::size_t>(settings_.ringSuccessorCount, ring_.size() - 1);
    for (std::size_t step = 1; step <= others; ++step) {
        const Core::NodeName &name = ring_[(ownPosition + ring_.size() - step) % ring_.size()];
        const auto previous = watchedSince_.find(name);
        watched[name] = previous == watchedSince_.end() ? now : previous->second;
    }
    watchedSince_ = std::move(watched);
}

std::vector<Core::NodeName> Manager::ringSuccessors() const
{
    std::vector<Core::NodeName> successors;
    const auto ownPosition =
        static_cast<std::size_t>(std::ranges::find(ring_, settings_.self) - ring_.begin());
    const std::size_t count = std::min<std::size_t>(settings_.ringSuccessorCount, ring_.size() - 1);
    for (std::size_t step = 1; step <= count; ++step)
        successors.push_back(ring_[(ownPosition + step) % ring_.size()]);
    return successors;
}

std::vector<Core::NodeName> Manager::sample(std::vector<Core::NodeName> names, std::size_t count)
{
    count = std::min(count, names.size());
    for (std::size_t i = 0; i < count; ++i)
        std::swap(names[i], names[i + random_.below(names.size() - i)]);
    names.resize(count);
    return names;
}

std::vector<Core::NodeName> Manager::chooseRandom(std::size_t count)
{
    std::vector<Core::NodeName> names;
    for (const Member &member : table_.members()) {
        if (member.health == Health::Live)
            names.push_back(member.name);
    }
    return sample(std::move(names), count);
}

/// Chooses members that may be live though no heartbeat arrives, as after a healed partition.
std::vector<Core::NodeName> Manager::chooseNonLive(std::size_t count)
{
    std::vector<Core::NodeName> names;
    for (const Member &member : table_.members()) {
        if (member.health != Health::Live)
            names.push_back(member.name);
    }
    return sample(std::move(names), count);
}

void Manager::pushGossip(Core::Instant now, Actions &actions)
{
    const bool pushesSummaries = hasSummaryChange_ && now >= nextSummaryPushAt_;
    if (!(hasUrgentGossip_ || pushesSummaries) || now < nextPushAt_ || budget_.isLow())
        return;
    hasUrgentGossip_ = false;
    nextPushAt_ = now + settings_.pushInterval;
    const Contents contents = pushesSummaries ? Contents::WithSummaries : Contents::Plain;
    if (pushesSummaries) {
        hasSummaryChange_ = false;
        nextSummaryPushAt_ = now + summaryPushInterval;
    }
    for (const Core::NodeName &name : chooseRandom(settings_.pushFanout))
        send(name, Urgency::Pushed, contents, actions);
}

void Manager::reportStatus(Core::Instant now, Actions &actions)
{
    if (now < nextStatusAt_)
        return;
    nextStatusAt_ = now + statusInterval();
    const auto aggregator = summaryTable_.aggregator(settings_.dataCentre, isLeaving_, table_);
    if (!aggregator.isEmpty() && aggregator != settings_.self)
        send(aggregator, Urgency::Periodic, Contents::Plain, actions);
}

/// Grows with the data centre's members to limit the load on its aggregator.
Core::Duration Manager::statusInterval() const
{
    const auto members =
        std::ranges::count(table_.members(), settings_.dataCentre, &Member::dataCentre);
    return std::max(minimumStatusInterval, Core::Duration(members * statusMillisecondsPerMember));
}

void Manager::requestVmListIfDue(Core::Instant now, Actions &actions)
{
    if (now < nextVmListAt_)
        return;
    const bool isIsolated = table_.liveCount() == 0;
    nextVmListAt_ =
        now + (isIsolated ? settings_.isolatedVmListInterval : settings_.vmListInterval);
    if (!isIsolated && !isVmListReader())
        return;
    // Seeds may have been removed as dead during a long partition.
    if (isIsolated)
        addSeeds(now, actions);
    vmListCall_ = ++lastCallId_;
    actions.emplace_back(Platform::Call{*vmListCall_, Platform::ListVms()});
}

bool Manager::isVmListReader() const
{
    const auto ownRank = Core::rankOf(settings_.self, vmListReaderDuty);
    const auto betterRanked = std::ranges::count_if(table_.members(), [&](const Member &member) {
        return member.isUsable() && member.dataCentre == settings_.dataCentre
            && Core::rankOf(member.name, vmListReaderDuty) < ownRank;
    });
    return static_cast<std::uint32_t>(betterRanked) < settings_.vmListReadersPerDataCentre;
}

/// Sends the full member list to a peer that has started or requests a periodic sync.
void Manager::sendMemberList(const Core::NodeName &to, Core::Instant now, Actions &actions)
{
    const auto sent = memberListSentAt_.find(to);
    if (sent != memberListSentAt_.end() && now < sent->second + memberListInterval)
        return;
    std::erase_if(memberListSentAt_,
                  [&](const auto &entry) { return now >= entry.second + memberListInterval; });
    memberListSentAt_[to] = now;
    Heartbeat heartbeat{ownUpdate(), status_, {}, {}, MemberListRole::Part};
    const auto flush = [&] {
        std::string payload = encodeHeartbeat(heartbeat);
        bytesSent_ += payload.size() + settings_.overheadPerMessage;
        actions.emplace_back(Peer::Outgoing{to, Peer::MessageKind::Membership, std::move(payload)});
        heartbeat.updates.clear();
    };
    for (const Member &member : table_.members()) {
        if (member.version.incarnation == 0)
            continue;
        heartbeat.updates.push_back(updateOf(member));
        if (heartbeat.updates.size() == memberListChunkSize)
            flush();
    }
    if (!heartbeat.updates.empty())
        flush();
}

void Manager::send(const Core::NodeName &to, Urgency urgency, Contents contents, Actions &actions)
{
    if (urgency == Urgency::Pushed && budget_.isLow())
        return;
    Heartbeat heartbeat{ownUpdate(), status_, {}, {}, MemberListRole::None};
    for (const Core::NodeName &name : gossip_.take(settings_.maximumUpdatesPerHeartbeat)) {
        const Member *member = table_.find(name);
        if (member != nullptr && member->version.incarnation != 0)
            heartbeat.updates.push_back(updateOf(*member));
    }
    // A receiver that is not believed live is told so, so that it can refute it.
    const Member *receiver = table_.find(to);
    const bool isReceiverNotLive = receiver != nullptr && receiver->health != Health::Live
        && receiver->version.incarnation != 0;
    if (isReceiverNotLive)
        heartbeat.updates.push_back(updateOf(*receiver));
    if (contents == Contents::WithSummaries)
        heartbeat.summaries = summaryTable_.summaries();
    if (!hasMemberList_)
        heartbeat.memberListRole = MemberListRole::Request;
    std::string payload = encodeHeartbeat(heartbeat);
    const std::size_t bytes = payload.size() + settings_.overheadPerMessage;
    if (!budget_.spend(static_cast<std::int64_t>(bytes)))
        return;
    bytesSent_ += bytes;
    actions.emplace_back(Peer::Outgoing{to, Peer::MessageKind::Membership, std::move(payload)});
}

Member Manager::self() const
{
    return {settings_.self,
            settings_.dataCentre,
            settings_.peerAddress,
            {settings_.incarnation, refutationCount_},
            Health::Live,
            isLeaving_,
            isListed_,
            startedAt_};
}

Update Manager::ownUpdate() const
{
    return {settings_.self,       {settings_.incarnation, refutationCount_},
            Health::Live,         isLeaving_,
            settings_.dataCentre, settings_.peerAddress};
}

Update Manager::updateOf(const Member &member)
{
    Update update{member.name, member.version, member.health, member.isLeaving, {}, ""};
    if (member.health == Health::Live) {
        update.dataCentre = member.dataCentre;
        update.peerAddress = member.peerAddress;
    }
    return update;
}

/// Enough repetitions for an update to reach all members with high probability.
std::uint32_t Manager::gossipRepeatCount() const
{
    return gossipRepeatFactor
        * static_cast<std::uint32_t>(std::bit_width(table_.members().size() + 1));
}

/// Grows with the fleet, as a suspicion has to reach the member and its refutation to come back.
Core::Duration Manager::suspicionTimeout() const
{
    const auto hops = static_cast<std::int64_t>(std::bit_width(table_.members().size() + 1));
    return settings_.heartbeatInterval * (suspicionHeartbeats + hops);
}

} // namespace Chervilpin::Membership
