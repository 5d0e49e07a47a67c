#include <Configuration/Snapshot.h>

#include <Core/Verify.h>

#include <algorithm>

namespace Chervilpin::Configuration {

namespace {

constexpr std::size_t maxRememberedNonces = 256;

template<typename SpecType>
const SpecType *findSpec(const Snapshot &snapshot, Kind kind, const std::string &name)
{
    const Resource *resource = snapshot.find({kind, name});
    return resource == nullptr ? nullptr : std::get_if<SpecType>(&resource->spec);
}

auto position(std::vector<Resource> &resources, const ResourceId &id)
{
    return std::lower_bound(
        resources.begin(), resources.end(), id,
        [](const Resource &resource, const ResourceId &sought) { return resource.id < sought; });
}

void applyItem(std::vector<Resource> &resources, const ResourceChange &item, Revision revision)
{
    const auto place = position(resources, item.id);
    const bool exists = place != resources.end() && place->id == item.id;
    if (item.action == ChangeAction::Delete) {
        if (exists)
            resources.erase(place);
        return;
    }
    VERIFY(item.spec.has_value());
    if (!exists)
        resources.insert(place, Resource{item.id, *item.spec, revision});
    else if (place->spec != *item.spec)
        *place = Resource{item.id, *item.spec, revision};
}

} // namespace

Snapshot::Snapshot(Contents contents)
    : contents_(std::move(contents))
{
    std::ranges::sort(contents_.resources, {}, &Resource::id);
}

SnapshotPointer Snapshot::empty()
{
    return create({});
}

SnapshotPointer Snapshot::create(Contents contents)
{
    return SnapshotPointer(new Snapshot(std::move(contents)));
}

SnapshotPointer Snapshot::after(const Change &change, std::uint64_t digest) const
{
    VERIFY(change.revision == contents_.revision + 1);
    Contents next = contents_;
    next.revision = change.revision;
    next.digest = digest;
    for (const auto &item : change.items)
        applyItem(next.resources, item, change.revision);
    next.nonces.push_back({change.nonce, change.revision});
    if (next.nonces.size() > maxRememberedNonces)
        next.nonces.erase(next.nonces.begin());
    return create(std::move(next));
}

std::span<const Resource> Snapshot::resources(Kind kind) const
{
    const auto kindOf = [](const Resource &resource) {
        return resource.id.kind;
    };
    const auto first = std::ranges::lower_bound(contents_.resources, kind, {}, kindOf);
    const auto last = std::ranges::upper_bound(contents_.resources, kind, {}, kindOf);
    return {first, last};
}

const Resource *Snapshot::find(const ResourceId &id) const
{
    const auto place = std::ranges::lower_bound(contents_.resources, id, {}, &Resource::id);
    const bool exists = place != contents_.resources.end() && place->id == id;
    return exists ? &*place : nullptr;
}

const TeamSpec *Snapshot::findTeam(const Core::TeamName &name) const
{
    return findSpec<TeamSpec>(*this, Kind::Team, name.value());
}

const KeySpec *Snapshot::findKey(const KeyName &name) const
{
    return findSpec<KeySpec>(*this, Kind::Key, name.value());
}

const UpstreamGroupSpec *Snapshot::findGroup(const Core::GroupName &name) const
{
    return findSpec<UpstreamGroupSpec>(*this, Kind::UpstreamGroup, name.value());
}

const RouteSpec *Snapshot::findRoute(const Core::RouteName &name) const
{
    return findSpec<RouteSpec>(*this, Kind::Route, name.value());
}

const HalfSpec *Snapshot::findHalf(const Core::HalfName &name) const
{
    return findSpec<HalfSpec>(*this, Kind::Half, name.value());
}

const OperatorSpec *Snapshot::findOperator(const OperatorName &name) const
{
    return findSpec<OperatorSpec>(*this, Kind::Operator, name.value());
}

bool Snapshot::mayUse(const RouteSpec &route, const Core::TeamName &teamName) const
{
    if (route.isOpenToAll)
        return true;
    if (!route.teams.empty())
        return std::ranges::find(route.teams, teamName) != route.teams.end();
    const TeamSpec *team = findTeam(teamName);
    const UpstreamGroupSpec *group = findGroup(route.group);
    return team != nullptr && group != nullptr && team->half == group->half;
}

std::optional<Revision> Snapshot::findNonce(std::string_view nonce) const
{
    const auto place = std::ranges::find(contents_.nonces, nonce, &RememberedNonce::nonce);
    if (place == contents_.nonces.end())
        return std::nullopt;
    return place->revision;
}

} // namespace Chervilpin::Configuration
