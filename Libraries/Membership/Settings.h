#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Peer/Message.h>
#include <Platform/Messages.h>

#include <vector>

namespace Chervilpin::Membership {

/// Guards that a test can switch off to show what they prevent. All are on in production.
struct Guards
{
    bool ordersByVersion = true;   ///< Older words about a member don't overrule newer ones.
    bool refutesSuspicion = true;  ///< A node that is wrongly doubted says so.
    bool requiresHeartbeat = true; ///< A member is live only once it was heard of, not if listed.
};

struct Settings
{
    Core::NodeName self;
    Core::DataCentreName dataCentre;
    std::string peerAddress;           ///< IP:port at which peers reach this node.
    Peer::Incarnation incarnation = 1; ///< Larger than in any earlier life of the name; not 0.
    std::vector<Platform::Vm> seeds;   ///< Peers to try while the platform is out; may be empty.

    Core::Duration heartbeatInterval{1'000};
    std::uint32_t ringSuccessorCount = 2;   ///< Peers that watch this node, by place in the ring.
    std::uint32_t randomTargetCount = 1;    ///< Further peers for each heartbeat.
    std::uint32_t pushFanout = 3;           ///< Peers that news is pushed to at once.
    Core::Duration pushInterval{100};       ///< Between two pushes.
    Core::Duration heartbeatTimeout{3'000}; ///< Silence after which a watched peer is suspected.
    std::uint32_t maximumUpdatesPerHeartbeat = 6;
    Core::Duration vmListInterval{10'000};        ///< Between two looks at the platform's list.
    Core::Duration isolatedVmListInterval{2'000}; ///< The same while no peer is live.
    std::uint32_t vmListReadersPerDataCentre = 2; ///< Nodes that look at the platform's list.
    Core::Duration deadRetention{60'000};         ///< How long the dead are remembered.
    Core::Duration callTimeout{3'000};
    std::uint32_t bytesPerSecond = 2'048; ///< Bound on what heartbeats send, with overhead.
    std::uint32_t burstBytes = 8'192;
    std::uint32_t overheadPerMessage = 150; ///< Estimated bytes of HTTP/2, TCP and IP a message.
    Guards guards;
};

} // namespace Chervilpin::Membership
