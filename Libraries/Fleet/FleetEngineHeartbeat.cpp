#include <Fleet/FleetEngine.h>

#include <Core/Rank.h>
#include <Fleet/Timing.h>

#include <algorithm>

/// The part of FleetEngine that sends heartbeats: their receivers and contents.
namespace Chervilpin::Fleet {

namespace {
/// Hash seed of the order that determines the neighbours of a member.
constexpr std::string_view neighbourRankSeed = "heartbeat";
} // namespace

void FleetEngine::sendHeartbeats(Core::Instant now)
{
    nextHeartbeatAt_ = now + heartbeatInterval;
    sendToContacts(Reply::NotWanted, now);
    requestConfirmations(now);
}

void FleetEngine::requestConfirmations(Core::Instant now)
{
    if (storeConfirmedAt_ == Core::Instant() || now < storeConfirmedAt_ + peerConfirmationDelay)
        return;
    // The neighbours may have lost the store as well, so other members are asked in turn.
    const auto &members = view_.members();
    const std::size_t count = std::min(confirmationPeerCount, members.size());
    for (std::size_t i = 0; i < count; ++i) {
        const auto index = static_cast<std::ptrdiff_t>(nextConfirmationPeer_++ % members.size());
        const auto confirmingMember = std::next(members.begin(), index);
        sendToNode(confirmingMember->first, Reply::Wanted, now);
    }
}

void FleetEngine::publishMembers(Core::Instant now)
{
    if (publishedMembersVersion_ == view_.membersVersion())
        return;
    publishedMembersVersion_ = view_.membersVersion();
    selectContacts();
    updateRetirements(now);
    removeNonMembers(now);
    MembersChanged changed;
    changed.known = view_.members().size();
    for (const auto &[node, member] : view_.members()) {
        if (!member.record.isRetired)
            changed.members.push_back(member.record);
    }
    actions_.emplace_back(std::move(changed));
    publishLeader(now);
}

void FleetEngine::removeNonMembers(Core::Instant now)
{
    const auto isMember = [&](const Core::NodeName &node) {
        return view_.findMember(node) != nullptr;
    };
    peers_.removeExpired(isMember, now - nonMemberRetention);
    std::erase_if(reportStates_, [&](const auto &entry) { return !isMember(entry.first); });
}

void FleetEngine::publishLeader(Core::Instant now)
{
    const auto &leader = view_.leader();
    if (!leader
        || (leader->record.node == publishedLeader_
            && leader->record.incarnation == publishedLeaderIncarnation_))
        return;
    publishedLeader_ = leader->record.node;
    publishedLeaderIncarnation_ = leader->record.incarnation;
    leaderSince_ = now;
    log("leader_learned",
        {{"node", publishedLeader_.value()}, {"revision", std::to_string(leader->revision)}});
    // Heartbeats are sent at once: a new leader needs the reports of all members, and they must not
    // have to wait for its next regular heartbeat to know that it is alive.
    sendToContacts(Reply::Wanted, now);
}

void FleetEngine::selectContacts()
{
    contacts_.clear();
    std::vector<Core::NodeName> order;
    for (const auto &[node, member] : view_.members()) {
        if (node != self_.node)
            order.push_back(node);
    }
    if (isLeader() || order.size() <= neighboursPerSide * 2) {
        contacts_ = std::move(order);
        return;
    }
    order.push_back(self_.node);
    std::ranges::sort(order, {}, [](const Core::NodeName &node) {
        return Core::rankOf(node, neighbourRankSeed);
    });
    const auto own = static_cast<std::size_t>(std::ranges::find(order, self_.node) - order.begin());
    for (std::size_t distance = 1; distance <= neighboursPerSide; ++distance) {
        contacts_.push_back(order[(own + distance) % order.size()]);
        contacts_.push_back(order[(own + order.size() - distance) % order.size()]);
    }
    const auto &leader = view_.leader();
    if (leader && view_.findMember(leader->record.node)
        && std::ranges::find(contacts_, leader->record.node) == contacts_.end())
        contacts_.push_back(leader->record.node);
}

void FleetEngine::sendToAll(Reply reply, Core::Instant now)
{
    for (const auto &[node, member] : view_.members())
        sendToNode(node, reply, now);
}

void FleetEngine::scheduleAnnouncement(Core::Instant now)
{
    announceAt_ = std::min(announceAt_, std::max(now, announcedAt_ + announcementInterval));
}

void FleetEngine::announce(Core::Instant now)
{
    announceAt_ = Core::Instant::never();
    announcedAt_ = now;
    const bool isAnyReplaced = std::ranges::any_of(view_.primaries(), [](const auto &entry) {
        return entry.second.record.phase != PrimaryPhase::Active;
    });
    // Replies tell who has given up an old primary.
    sendToAll(isAnyReplaced ? Reply::Wanted : Reply::NotWanted, now);
}

void FleetEngine::sendToContacts(Reply reply, Core::Instant now)
{
    for (const auto &node : contacts_)
        sendToNode(node, reply, now);
}

void FleetEngine::sendToNode(const Core::NodeName &node, Reply reply, Core::Instant now)
{
    const auto *member = view_.findMember(node);
    if (member && node != self_.node)
        sendTo(member->record, reply, now);
}

void FleetEngine::sendTo(const MemberRecord &member, Reply reply, Core::Instant now, Detail detail)
{
    actions_.emplace_back(SendHeartbeat{member.address, makeHeartbeat(member, reply, detail, now)});
}

bool FleetEngine::isReported(const Stored<PrimaryRecord> &primary, const GroupState &state)
{
    return primary.record.phase != PrimaryPhase::Active || state.released < primary.revision
        || state.health == Health::Suspect;
}

Heartbeat FleetEngine::makeHeartbeat(const MemberRecord &receiver, Reply reply, Detail detail,
                                     Core::Instant now) const
{
    Heartbeat message;
    message.node = self_.node;
    message.incarnation = self_.incarnation;
    message.sentAt = now;
    message.wantsReply = reply == Reply::Wanted;
    message.wantsDetails = detail == Detail::All;
    message.configurationVersion = configurationVersion_;
    message.recordsSum = view_.recordsSum();
    message.newestRecord = view_.newestPrimary();
    Revision newestOfReceiver = 0;
    if (const auto *peer = peers_.find(receiver.node)) {
        message.echoIncarnation = peer->lastHeartbeat.incarnation;
        message.echoSentAt = peer->lastHeartbeat.sentAt;
        message.echoHeld = now - peer->heardAt;
        newestOfReceiver = peer->lastHeartbeat.newestRecord;
    }
    if (storeConfirmedAt_ != Core::Instant()) {
        message.confirmedAge = now - storeConfirmedAt_;
        message.isReceiverMember = !receiver.isRetired && !isLeaving_;
    }
    // The leader judges all groups by the reports of all members.
    const auto reportState = reportStates_.find(receiver.node);
    const auto &leader = view_.leader();
    const bool isToLeader = leader && leader->record.node == receiver.node;
    const bool areAllReported = detail == Detail::All
        || (reportState != reportStates_.end() && now < reportState->second.fullReportsUntil);
    for (const auto &[group, state] : groups_) {
        const auto *primary = view_.findPrimary(group);
        if (!primary)
            continue;
        const bool isForLeader = isToLeader && state.health != Health::Unknown;
        const bool isNewer = detail == Detail::Newer && primary->revision > newestOfReceiver;
        if (!areAllReported && !isForLeader && !isNewer && !isReported(*primary, state))
            continue;
        PrimaryReport report;
        report.group = group;
        report.revision = primary->revision;
        report.database = primary->record.database;
        report.phase = primary->record.phase;
        report.candidate = primary->record.candidate;
        report.replaces = primary->record.replaces;
        report.term = primary->record.term;
        report.isUnverified = primary->record.isUnverified;
        report.adopted = state.released;
        report.health = state.health;
        report.mark = state.mark;
        message.primaries.push_back(std::move(report));
    }
    return message;
}

bool FleetEngine::isInContact(Core::Instant now) const
{
    const bool isConfirmed =
        storeConfirmedAt_ != Core::Instant() && now < storeConfirmedAt_ + ownerStoreTimeout;
    return isConfirmed || 2 * heardContactCount(now) > contacts_.size() + 1;
}

} // namespace Chervilpin::Fleet
