#pragma once

#include <Core/Milliseconds.h>
#include <Fleet/Heartbeat.h>

#include <functional>
#include <map>

namespace Chervilpin::Fleet {

/// What this proxy last heard of each other one.
class PeerTable
{
public:
    struct Peer
    {
        Heartbeat lastHeartbeat;
        Core::Instant heardAt;
    };

    /// False for a message of an earlier life, or one that was overtaken by a later one.
    bool update(const Heartbeat &, Core::Instant now);

    /// Drops those that were last heard before \a oldest and that \a isKept doesn't name.
    void removeExpired(const std::function<bool(const Core::NodeName &)> &isKept,
                       Core::Instant oldest);

    [[nodiscard]] const Peer *find(const Core::NodeName &) const;
    /// Whether this life of the node was heard within \a span.
    [[nodiscard]] bool isHeardWithin(const Core::NodeName &, Core::Duration span,
                                     Core::Instant now) const;
    [[nodiscard]] const std::map<Core::NodeName, Peer> &all() const { return peers_; }

private:
    std::map<Core::NodeName, Peer> peers_;
};

} // namespace Chervilpin::Fleet
