#include <Membership/MemberTable.h>

#include <algorithm>
#include <set>

namespace Chervilpin::Membership {

std::vector<Member>::iterator MemberTable::position(const Core::NodeName &name)
{
    return std::ranges::lower_bound(members_, name, {}, &Member::name);
}

const Member *MemberTable::find(const Core::NodeName &name) const
{
    const auto found = std::ranges::lower_bound(members_, name, {}, &Member::name);
    return found != members_.end() && found->name == name ? &*found : nullptr;
}

Member *MemberTable::find(const Core::NodeName &name)
{
    const auto found = position(name);
    return found != members_.end() && found->name == name ? &*found : nullptr;
}

bool MemberTable::isNewer(const Member &member, const Update &update) const
{
    if (!guards_.ordersByVersion)
        return update.version != member.version || update.health != member.health;
    if (update.version != member.version)
        return update.version > member.version;
    return update.health > member.health || (update.isLeaving && !member.isLeaving);
}

bool MemberTable::merge(const Update &update, Core::Instant now)
{
    Member *member = find(update.name);
    if (member == nullptr) {
        const bool isContactable = !update.peerAddress.empty();
        if (!isContactable)
            return false;
        members_.insert(position(update.name),
                        Member{update.name, update.dataCentre, update.peerAddress, update.version,
                               update.health, update.isLeaving, false, now});
        return true;
    }
    if (!isNewer(*member, update))
        return false;
    const bool isSameIncarnation = member->version.incarnation == update.version.incarnation;
    member->isLeaving = update.isLeaving || (isSameIncarnation && member->isLeaving);
    const bool keepsHealth = update.version == member->version && update.health < member->health;
    if (!keepsHealth && member->health != update.health) {
        member->health = update.health;
        member->since = now;
    }
    member->version = update.version;
    if (!update.peerAddress.empty()) {
        member->dataCentre = update.dataCentre;
        member->peerAddress = update.peerAddress;
    }
    return true;
}

bool MemberTable::setHealth(const Core::NodeName &name, Health health, Core::Instant now)
{
    Member *member = find(name);
    if (member == nullptr || member->health == health)
        return false;
    member->health = health;
    member->since = now;
    return true;
}

bool MemberTable::addUnconfirmed(const Platform::Vm &vm, Core::Instant now)
{
    if (find(vm.name) != nullptr)
        return false;
    const Health health = guards_.requiresHeartbeat ? Health::Suspected : Health::Live;
    members_.insert(position(vm.name),
                    Member{vm.name, vm.dataCentre, vm.peerAddress, MemberVersion(), health,
                           vm.isLeaving, false, now});
    return true;
}

bool MemberTable::reconcile(std::span<const Platform::Vm> listed, const Core::NodeName &self,
                            Core::Instant now)
{
    bool hasChanged = false;
    std::set<Core::NodeName> names;
    for (const Platform::Vm &vm : listed) {
        if (vm.name == self)
            continue;
        names.insert(vm.name);
        hasChanged = addUnconfirmed(vm, now) || hasChanged;
    }
    for (Member &member : members_)
        member.isListed = names.contains(member.name);
    const auto removed = std::erase_if(members_, [](const Member &member) {
        return member.version.incarnation == 0 && !member.isListed;
    });
    return hasChanged || removed > 0;
}

bool MemberTable::removeDead(Core::Instant before)
{
    return std::erase_if(members_,
                         [&](const Member &member) {
                             return member.health == Health::Dead && member.since < before;
                         })
        > 0;
}

std::size_t MemberTable::liveCount() const
{
    return static_cast<std::size_t>(std::ranges::count(members_, Health::Live, &Member::health));
}

} // namespace Chervilpin::Membership
