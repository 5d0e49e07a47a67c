#include <Fleet/FleetEngine.h>

#include <Fleet/Timing.h>

#include <algorithm>

/// Heartbeats, and what they carry.
namespace Chervilpin::Fleet {

void FleetEngine::beat(Core::Instant now)
{
    nextBeat_ = now + beatInterval;
    sendToAll(Reply::NotWanted, now);
}

void FleetEngine::sendToAll(Reply reply, Core::Instant now)
{
    for (const auto &[node, member] : view_.members()) {
        if (node != self_.node)
            sendTo(member.record, reply, now);
    }
}

void FleetEngine::sendTo(const MemberRecord &member, Reply reply, Core::Instant now)
{
    actions_.emplace_back(SendHeartbeat{member.address, makeHeartbeat(member, reply, now)});
}

Heartbeat FleetEngine::makeHeartbeat(const MemberRecord &receiver, Reply reply,
                                     Core::Instant now) const
{
    Heartbeat message;
    message.node = self_.node;
    message.boot = self_.boot;
    message.sentAt = now;
    message.wantsReply = reply == Reply::Wanted;
    message.configurationVersion = configurationVersion_;
    message.demand = demandToTell();
    if (const auto *peer = peers_.find(receiver.node)) {
        message.echoBoot = peer->last.boot;
        message.echoSentAt = peer->last.sentAt;
        message.echoHeld = now - peer->heardAt;
    }
    if (storeSeenAt_ != Core::Instant()) {
        message.confirmedAge = now - storeSeenAt_;
        message.isReceiverMember = !receiver.isRetired && !isLeaving_;
    }
    for (const auto &[group, state] : groups_) {
        const auto *primary = view_.findPrimary(group);
        if (!primary)
            continue;
        message.primaries.push_back({group, primary->revision, primary->record.database,
                                     primary->record.phase, state.released, state.health,
                                     state.mark});
    }
    return message;
}

std::map<Core::TeamName, double> FleetEngine::demandToTell() const
{
    if (!isLeader())
        return demand_;
    auto sums = demand_;
    for (const auto &[node, peer] : peers_.all()) {
        if (!view_.findMember(node))
            continue;
        for (const auto &[team, demand] : peer.last.demand)
            sums[team] += demand;
    }
    return sums;
}

double FleetEngine::shareOf(const Core::TeamName &team, Core::Instant now) const
{
    const double members = static_cast<double>(memberCount());
    const auto own = demand_.find(team);
    const double ownDemand = own == demand_.end() ? 0 : own->second;
    const auto &leader = view_.leader();
    if (!leader || (!isLeader() && !peers_.isHeard(leader->record.node, peerSilence, now)))
        return 1 / members;
    std::map<Core::TeamName, double> sums;
    if (isLeader())
        sums = demandToTell();
    else
        sums = peers_.find(leader->record.node)->last.demand;
    const auto sum = sums.find(team);
    const double total = std::max(sum == sums.end() ? 0 : sum->second, ownDemand);
    // Half of the limits is split evenly and half by demand, so that a proxy whose callers come
    // suddenly needn't wait for the next exchange.
    constexpr double byDemand = 0.5;
    const double demandShare = total > 0 ? ownDemand / total : 1 / members;
    return (1 - byDemand) / members + byDemand * demandShare;
}

} // namespace Chervilpin::Fleet
