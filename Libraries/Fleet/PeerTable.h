#pragma once

#include <Core/Milliseconds.h>
#include <Fleet/Heartbeat.h>

#include <functional>
#include <map>

namespace Chervilpin::Fleet {

/// The last heartbeat received from each other proxy.
class PeerTable
{
public:
    struct Peer
    {
        Heartbeat lastHeartbeat;
        Core::Instant heardAt;
    };

    /// Returns false for a heartbeat of an earlier incarnation, or one that arrived out of order.
    bool update(const Heartbeat &, Core::Instant now);

    /// Removes the peers that were last heard before \a oldest, unless \a isKept returns true for
    /// them.
    void removeExpired(const std::function<bool(const Core::NodeName &)> &isKept,
                       Core::Instant oldest);

    [[nodiscard]] const Peer *find(const Core::NodeName &) const;
    /// Whether the node was heard within \a span.
    [[nodiscard]] bool isHeardWithin(const Core::NodeName &, Core::Duration span,
                                     Core::Instant now) const;
    [[nodiscard]] const std::map<Core::NodeName, Peer> &all() const { return peers_; }

private:
    std::map<Core::NodeName, Peer> peers_;
};

} // namespace Chervilpin::Fleet
