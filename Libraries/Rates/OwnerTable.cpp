#include <Rates/OwnerTable.h>

#include <Core/Rank.h>

#include <algorithm>
#include <functional>
#include <set>

namespace Chervilpin::Rates {

namespace {
/// A network partition can split a data centre's proxies into halves; with four fallbacks, each
/// side probably reaches one.
constexpr std::size_t maximumFallbacks = 4;
} // namespace

OwnerTable::OwnerTable(Core::DataCentreName dataCentre)
    : dataCentre_(std::move(dataCentre))
{ }

void OwnerTable::setMembers(std::vector<Member> members)
{
    members_ = std::move(members);
    cache_.clear();
    dataCentres_.clear();
    for (const auto &member : members_)
        dataCentres_[member.address] = member.dataCentre;
}

const Owners &OwnerTable::ownersOf(const Core::TeamName &team)
{
    const auto found = cache_.find(team);
    if (found != cache_.end())
        return found->second;
    return cache_.emplace(team, find(team)).first->second;
}

Owners OwnerTable::find(const Core::TeamName &team) const
{
    const auto rank = [&](const Member &member) {
        return Core::rankOf(member.node, team.view());
    };
    Owners owners;
    const auto owner = std::ranges::max_element(members_, {}, rank);
    if (owner == members_.end())
        return owners;
    owners.owner = *owner;
    for (const auto &member : members_) {
        if (member.dataCentre == dataCentre_ && member.node != owner->node)
            owners.fallbacks.push_back(member);
    }
    const std::size_t count = std::min(owners.fallbacks.size(), maximumFallbacks);
    std::ranges::partial_sort(owners.fallbacks,
                              owners.fallbacks.begin() + static_cast<std::ptrdiff_t>(count),
                              std::greater<>(), rank);
    owners.fallbacks.resize(count);
    return owners;
}

bool OwnerTable::isMember(const Core::NodeName &node) const
{
    return std::ranges::find(members_, node, &Member::node) != members_.end();
}

Core::DataCentreName OwnerTable::dataCentreOf(const std::string &address) const
{
    const auto found = dataCentres_.find(address);
    return found == dataCentres_.end() ? Core::DataCentreName() : found->second;
}

std::size_t OwnerTable::dataCentreCount() const
{
    std::set<Core::DataCentreName> seen;
    for (const auto &member : members_)
        seen.insert(member.dataCentre);
    return seen.size();
}

} // namespace Chervilpin::Rates
