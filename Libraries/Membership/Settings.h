#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Peer/Message.h>
#include <Platform/Messages.h>

#include <vector>

namespace Chervilpin::Membership {

/// Safety rules that a test can switch off to show what they prevent. All are on in production.
struct Guards
{
    bool ordersByVersion = true;   ///< Older updates about a member don't override newer ones.
    bool refutesSuspicion = true;  ///< A node that is wrongly suspected refutes it.
    bool requiresHeartbeat = true; ///< Being in the VM list alone does not make a member live.
};

struct Settings
{
    Core::NodeName self;
    Core::DataCentreName dataCentre;
    std::string peerAddress;           ///< IP:port at which peers reach this node.
    Peer::Incarnation incarnation = 1; ///< Larger than any earlier one of this name; not 0.
    /// Peers to contact while the platform is unavailable; may be empty.
    std::vector<Platform::Vm> seeds;

    Core::Duration heartbeatInterval{1'000};
    std::uint32_t ringSuccessorCount = 2;   ///< Peers that monitor this node: the next in the ring.
    std::uint32_t randomTargetCount = 1;    ///< Random peers that also get each heartbeat.
    std::uint32_t pushFanout = 3;           ///< Peers that changes are pushed to at once.
    Core::Duration pushInterval{100};       ///< Minimum time between two pushes.
    Core::Duration heartbeatTimeout{3'000}; ///< Silence after which a monitored peer is suspected.
    std::uint32_t maximumUpdatesPerHeartbeat = 6;
    Core::Duration vmListInterval{10'000}; ///< Between two requests for the platform's VM list.
    Core::Duration isolatedVmListInterval{2'000}; ///< The same while no peer is live.
    std::uint32_t vmListReadersPerDataCentre = 2; ///< Nodes that request the VM list.
    Core::Duration deadRetention{60'000};         ///< Time after which dead members are removed.
    Core::Duration callTimeout{3'000};
    std::uint32_t bytesPerSecond = 2'048; ///< Limit for heartbeats, overhead included.
    std::uint32_t burstBytes = 8'192;
    std::uint32_t overheadPerMessage = 150; ///< Estimated HTTP/2, TCP and IP bytes per message.
    Guards guards;
};

} // namespace Chervilpin::Membership
