#include <Fleet/PeerTable.h>

namespace Chervilpin::Fleet {

bool PeerTable::heard(const Heartbeat &message, Core::Instant now)
{
    auto &peer = peers_[message.node];
    if (message.boot < peer.last.boot)
        return false;
    if (message.boot == peer.last.boot && message.sentAt < peer.last.sentAt)
        return false;
    peer = {message, now};
    return true;
}

const PeerTable::Peer *PeerTable::find(const Core::NodeName &node) const
{
    const auto found = peers_.find(node);
    return found == peers_.end() ? nullptr : &found->second;
}

bool PeerTable::isHeard(const Core::NodeName &node, Core::Duration span, Core::Instant now) const
{
    const auto *peer = find(node);
    return peer && now < peer->heardAt + span;
}

} // namespace Chervilpin::Fleet
