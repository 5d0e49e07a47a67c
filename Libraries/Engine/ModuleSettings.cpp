#include <Engine/ModuleSettings.h>

#include <Core/Verify.h>

namespace Chervilpin::Engine {

Membership::Settings membershipSettings(const NodeSettings &node)
{
    Membership::Settings settings;
    settings.self = node.name;
    settings.dataCentre = node.dataCentre;
    settings.peerAddress = node.peerAddress;
    settings.incarnation = node.incarnation;
    for (const auto &peer : node.seedPeers) {
        if (peer.name != node.name)
            settings.seeds.push_back({peer.name, peer.dataCentre, peer.address, false});
    }
    return settings;
}

Configuration::Settings configurationSettings(const NodeSettings &node)
{
    Configuration::Settings settings;
    settings.self = node.name;
    settings.dataCentre = node.dataCentre;
    return settings;
}

Operator::Settings operatorSettings(const NodeSettings &node)
{
    Operator::Settings settings;
    settings.bootstrap = {node.operatorSalt, node.operatorDigest};
    return settings;
}

Failover::FailoverManager createFailover(const NodeSettings &node, std::uint64_t seed)
{
    auto manager =
        Failover::FailoverManager::create({node.name, node.dataCentre, node.incarnation, seed});
    // Settings with empty names are refused before an engine is made.
    VERIFY(manager.has_value());
    return std::move(*manager);
}

std::unique_ptr<Allotment::Manager> createAllotment(const NodeSettings &node)
{
    auto manager = Allotment::Manager::create({node.name, node.incarnation}, {});
    VERIFY(manager.has_value());
    return std::move(*manager);
}

} // namespace Chervilpin::Engine
