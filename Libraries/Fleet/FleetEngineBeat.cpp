#include <Fleet/FleetEngine.h>

#include <Fleet/Timing.h>

#include <algorithm>

/// Heartbeats, and what they carry.
namespace Chervilpin::Fleet {

void FleetEngine::beat(Core::Instant now)
{
    nextBeat_ = now + beatInterval;
    computeShares();
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
    message.demand = demand_;
    if (const auto shares = shares_.find(receiver.node); shares != shares_.end())
        message.shares = shares->second;
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
        PrimaryReport report;
        report.group = group;
        report.revision = primary->revision;
        report.database = primary->record.database;
        report.phase = primary->record.phase;
        report.candidate = primary->record.candidate;
        report.adopted = state.released;
        report.health = state.health;
        report.mark = state.mark;
        message.primaries.push_back(std::move(report));
    }
    return message;
}

void FleetEngine::computeShares()
{
    shares_.clear();
    if (!isLeader())
        return;
    shares_[self_.node] = demand_;
    for (const auto &[node, peer] : peers_.all()) {
        if (view_.findMember(node))
            shares_[node] = peer.last.demand;
    }
    std::map<Core::TeamName, double> sums;
    for (const auto &[node, demand] : shares_) {
        for (const auto &[team, perSecond] : demand)
            sums[team] += perSecond;
    }
    for (auto &[node, demand] : shares_) {
        for (auto &[team, perSecond] : demand)
            perSecond /= sums.at(team);
    }
}

double FleetEngine::shareOf(const Core::TeamName &team, Core::Instant now) const
{
    // All shares come from the leader's one table, so that they never add up to more than one. The
    // other half is split evenly: a proxy whose callers come suddenly needn't wait for the leader.
    constexpr double byDemand = 0.5;
    const double even = 1 / static_cast<double>(memberCount());
    const auto &leader = view_.leader();
    if (!leader || (!isLeader() && !peers_.isHeard(leader->record.node, peerSilence, now)))
        return even;
    const auto own = shares_.find(self_.node);
    if (isLeader() && own == shares_.end())
        return even;
    const TeamShares &shares =
        isLeader() ? own->second : peers_.find(leader->record.node)->last.shares;
    const auto share = shares.find(team);
    return (1 - byDemand) * even + byDemand * (share == shares.end() ? 0 : share->second);
}

} // namespace Chervilpin::Fleet
