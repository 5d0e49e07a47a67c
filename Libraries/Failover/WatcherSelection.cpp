#include <Failover/WatcherSelection.h>

#include <Core/Hash.h>

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>

namespace Chervilpin::Failover {

namespace {

struct Ranked
{
    std::uint64_t hash = 0;
    PeerNode node;
};

std::uint64_t hashOf(const Core::GroupName &group, const Core::NodeName &node)
{
    const std::string text = group.value() + '\n' + node.value();
    return Core::hashOf(text);
}

std::vector<Ranked> ranked(const Core::GroupName &group, const std::vector<PeerNode> &nodes)
{
    std::vector<Ranked> result;
    result.reserve(nodes.size());
    for (const auto &node : nodes)
        result.push_back({hashOf(group, node.name), node});
    std::ranges::sort(result, [](const Ranked &a, const Ranked &b) {
        return a.hash != b.hash ? a.hash > b.hash : a.node.name < b.node.name;
    });
    return result;
}

} // namespace

std::vector<PeerNode> selectWatchers(const Core::GroupName &group,
                                     const std::vector<PeerNode> &nodes, std::size_t count)
{
    std::vector<PeerNode> firstOfDataCentre;
    std::vector<PeerNode> others;
    std::set<Core::DataCentreName> seen;
    for (const auto &entry : ranked(group, nodes)) {
        auto &list = seen.insert(entry.node.dataCentre).second ? firstOfDataCentre : others;
        list.push_back(entry.node);
    }
    firstOfDataCentre.insert(firstOfDataCentre.end(), others.begin(), others.end());
    firstOfDataCentre.resize(std::min(count, firstOfDataCentre.size()));
    return firstOfDataCentre;
}

} // namespace Chervilpin::Failover
