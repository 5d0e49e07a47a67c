#include <Fleet/PeerTable.h>

namespace Chervilpin::Fleet {

bool PeerTable::update(const Heartbeat &message, Core::Instant now)
{
    auto &peer = peers_[message.node];
    if (message.incarnation < peer.lastHeartbeat.incarnation)
        return false;
    if (message.incarnation == peer.lastHeartbeat.incarnation
        && message.sentAt < peer.lastHeartbeat.sentAt)
        return false;
    peer = {message, now};
    return true;
}

void PeerTable::removeExpired(const std::function<bool(const Core::NodeName &)> &isKept,
                              Core::Instant oldest)
{
    std::erase_if(peers_, [&](const auto &entry) {
        return entry.second.heardAt < oldest && !isKept(entry.first);
    });
}

const PeerTable::Peer *PeerTable::find(const Core::NodeName &node) const
{
    const auto found = peers_.find(node);
    return found == peers_.end() ? nullptr : &found->second;
}

bool PeerTable::isHeardWithin(const Core::NodeName &node, Core::Duration span,
                              Core::Instant now) const
{
    const auto *peer = find(node);
    return peer && now < peer->heardAt + span;
}

} // namespace Chervilpin::Fleet
