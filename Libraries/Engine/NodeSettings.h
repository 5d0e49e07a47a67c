#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Peer/Message.h>

#include <string>
#include <vector>

namespace Chervilpin::Engine {

/// A proxy that is known from the settings, so that a node finds the fleet while the platform is
/// out.
struct SeedPeer
{
    Core::NodeName name;
    Core::DataCentreName dataCentre;
    std::string address; ///< IP:port of its peer listener.
};

/// What a node knows of itself before it has spoken to anybody.
struct NodeSettings
{
    Core::NodeName name;
    Core::DataCentreName dataCentre;
    Core::HalfName half; ///< The half whose callers this VM serves; empty: those of all halves.
    Peer::Incarnation incarnation = 0;
    std::string peerAddress; ///< IP:port under which other proxies reach this one.
    std::vector<SeedPeer> seedPeers;
    std::string operatorSalt;             ///< Of the credential of the first operator; hexadecimal.
    std::string operatorDigest;           ///< Of the same credential; hexadecimal SHA-256.
    std::uint64_t traceSampleOneIn = 100; ///< One trace in so many is recorded.
    Core::Duration lameDuck{1'000};       ///< How long a stopping node goes on taking requests.
    Core::Duration drainDeadline{10'000}; ///< How long shutDown() waits for running requests.
};

} // namespace Chervilpin::Engine
