#include <Rates/OwnerTable.h>

#include <Core/Rank.h>

#include <algorithm>
#include <functional>

namespace Chervilpin::Rates {

namespace {

/// In a data centre with this many members, a busy team has two holders: a partition may separate
/// proxies of the same data centre, and each side then probably reaches one.
constexpr std::size_t membersForTwoHolders = 8;
/// A team with a lower rate has one holder in each data centre, since half of its share would
/// hardly ever admit an operation. In operations per second.
constexpr double rateForTwoHolders = 32;

} // namespace

OwnerTable::OwnerTable(Member self)
    : self_(std::move(self))
{ }

void OwnerTable::setMembers(std::vector<Member> members)
{
    members_ = std::move(members);
    cache_.clear();
    dataCentres_.clear();
    memberCounts_.clear();
    for (const auto &member : members_) {
        dataCentres_[member.node] = member.dataCentre;
        ++memberCounts_[member.dataCentre];
    }
}

const Owners &OwnerTable::ownersOf(const Core::TeamName &team, const Sessions::TeamLimits &limits)
{
    const std::size_t largestHolderCount = limits.ratePerSecond >= rateForTwoHolders ? 2 : 1;
    const CacheKey key{team, largestHolderCount};
    const auto found = cache_.find(key);
    if (found != cache_.end())
        return found->second;
    return cache_.emplace(key, find(team, largestHolderCount)).first->second;
}

Owners OwnerTable::find(const Core::TeamName &team, std::size_t largestHolderCount) const
{
    Owners owners;
    if (members_.empty())
        return owners;
    // Each rank is computed once: this runs for all teams after each change of the members.
    std::vector<RankedMember> ranked;
    ranked.reserve(members_.size());
    for (const auto &member : members_)
        ranked.push_back({Core::rankOf(member.node, team.view()), &member});
    std::ranges::sort(ranked, std::greater<>(), &RankedMember::rank);
    owners.owner = *ranked.front().member;
    if (owners.owner->shareSupport == ShareSupport::Yes)
        owners.holders = findHolders(std::span(ranked).subspan(1), largestHolderCount);
    owners.granters = orderGranters(team, owners);
    return owners;
}

std::vector<Member> OwnerTable::findHolders(std::span<const RankedMember> candidates,
                                            std::size_t largestHolderCount) const
{
    std::vector<Member> holders;
    std::map<std::string_view, std::size_t> counts; // Of holders, by data centre.
    for (const auto &[rank, member] : candidates) {
        if (member->shareSupport == ShareSupport::No)
            continue;
        const bool isLarge = memberCounts_.at(member->dataCentre) >= membersForTwoHolders;
        std::size_t &count = counts[member->dataCentre.view()];
        if (count >= (isLarge ? largestHolderCount : 1))
            continue;
        ++count;
        holders.push_back(*member);
        // All data centres have as many as they may; the owner's may have no other member.
        if (holders.size() == memberCounts_.size() * largestHolderCount)
            break;
    }
    return holders;
}

std::vector<Granter> OwnerTable::orderGranters(const Core::TeamName &team,
                                               const Owners &owners) const
{
    // Each proxy has its own order, so that the requests spread over the holders.
    const auto preference = [&](const Member &holder) {
        return Core::rankOf(self_.node, team.value() + holder.node.value());
    };
    std::vector<Member> near;
    std::vector<Member> far;
    for (const auto &holder : owners.holders)
        (holder.dataCentre == self_.dataCentre ? near : far).push_back(holder);
    std::ranges::sort(near, {}, preference);
    std::ranges::sort(far, {}, preference);

    std::vector<Granter> order;
    order.reserve(owners.holders.size() + 1);
    for (const auto &holder : near)
        order.push_back({Role::ShareHolder, holder});
    order.push_back({Role::Owner, *owners.owner});
    for (const auto &holder : far)
        order.push_back({Role::ShareHolder, holder});
    return order;
}

bool OwnerTable::isMember(const Core::NodeName &node) const
{
    return dataCentres_.contains(node);
}

Core::DataCentreName OwnerTable::dataCentreOf(const Core::NodeName &node) const
{
    const auto found = dataCentres_.find(node);
    return found == dataCentres_.end() ? Core::DataCentreName() : found->second;
}

} // namespace Chervilpin::Rates
