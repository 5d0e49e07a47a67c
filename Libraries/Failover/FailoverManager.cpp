#include <Failover/FailoverManager.h>
#include <Failover/PeerMessages.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace Chervilpin::Failover {

namespace {

void append(Actions &to, Actions from)
{
    std::move(from.begin(), from.end(), std::back_inserter(to));
}

bool isSame(const Group &a, const Group &b)
{
    return std::ranges::equal(a.databases, b.databases, [](const Database &x, const Database &y) {
        return x.name == y.name && x.dataCentre == y.dataCentre && x.address == y.address;
    });
}

const Core::GroupName &groupNameOf(const PeerMessage &message)
{
    return std::visit([](const auto &body) -> const Core::GroupName & { return body.group; },
                      message);
}

} // namespace

Core::ErrorOr<FailoverManager> FailoverManager::create(ThisNode self, FailoverPolicy policy)
{
    if (self.name.isEmpty() || self.dataCentre.isEmpty())
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "failover: the node name or the data centre name is empty");
    if (policy.reservationCount == 0)
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "failover: reservation count is 0, must be at least 1");
    return FailoverManager(std::move(self), policy);
}

FailoverManager::FailoverManager(ThisNode self, FailoverPolicy policy)
    : self_(std::move(self))
    , policy_(policy)
    , random_(self_.seed)
{ }

Actions FailoverManager::setGroups(const std::vector<Group> &groups, Core::Instant now)
{
    std::set<Core::GroupName> names;
    groupOfDatabase_.clear();
    for (const auto &group : groups) {
        names.insert(group.name);
        for (const auto &database : group.databases)
            groupOfDatabase_[database.name] = group.name;
        const auto found = groups_.find(group.name);
        if (found != groups_.end() && isSame(found->second.group(), group))
            continue;
        groupOfNumber_[++lastGroupNumber_] = group.name;
        GroupFailover created(self_, group, lastGroupNumber_, policy_, Core::Random(random_.bits()),
                              now);
        created.setNodes(live_);
        groups_.insert_or_assign(group.name, std::move(created));
    }
    std::erase_if(groups_, [&](const auto &entry) { return !names.contains(entry.first); });
    std::erase_if(groupOfNumber_, [&](const auto &entry) { return !names.contains(entry.second); });
    return {};
}

Actions FailoverManager::setNodes(std::vector<PeerNode> live, Core::Instant /*now*/)
{
    live_ = std::move(live);
    std::ranges::sort(live_, {}, &PeerNode::name);
    for (auto &[name, group] : groups_)
        group.setNodes(live_);
    return {};
}

Actions FailoverManager::observe(const Observation &observation, Core::Instant now)
{
    GroupFailover *group = groupOf(observation.database);
    if (group == nullptr)
        return {};
    group->observed(observation, now);
    return group->takeActions();
}

Actions FailoverManager::databaseAnswer(RequestToken token, const Upstream::Answer &answer,
                                        Core::Instant now)
{
    GroupFailover *group = groupOf(token);
    if (group == nullptr)
        return {};
    group->answered(token, answer, now);
    return group->takeActions();
}

Actions FailoverManager::databaseRequestFailed(RequestToken token, RequestFailure why,
                                               Core::Instant now)
{
    GroupFailover *group = groupOf(token);
    if (group == nullptr)
        return {};
    group->requestFailed(token, why, now);
    return group->takeActions();
}

Actions FailoverManager::platformReply(const Platform::Reply &reply, Core::Instant now)
{
    const auto pending = pendingCalls_.find(reply.id);
    if (pending == pendingCalls_.end())
        return {};
    GroupFailover *group = find(pending->second);
    pendingCalls_.erase(pending);
    if (group == nullptr)
        return {};
    group->replied(reply.body, now);
    return group->takeActions();
}

Actions FailoverManager::peerMessage(const Peer::Incoming &incoming, Core::Instant now)
{
    const auto message = decode(incoming.payload);
    if (!message)
        return {Event{"failover_message_garbled",
                      {{"from", incoming.from.value()}, {"error", message.error().message}}}};
    GroupFailover *group = find(groupNameOf(*message));
    if (group == nullptr)
        return {};
    group->received(incoming.from, *message, now);
    return group->takeActions();
}

Actions FailoverManager::tick(Core::Instant now)
{
    Actions actions;
    for (auto &[name, group] : groups_) {
        std::optional<Platform::CallBody> body = group.tick(now);
        append(actions, group.takeActions());
        if (body)
            call(name, std::move(*body), actions);
    }
    return actions;
}

Actions FailoverManager::release(Core::Instant now)
{
    for (auto &[name, group] : groups_)
        group.release();
    return tick(now);
}

void FailoverManager::requestOwnership(const Core::GroupName &name, const Core::HalfName &owner)
{
    if (GroupFailover *group = find(name); group != nullptr)
        group->requestOwnership(owner);
}

void FailoverManager::dropOwnershipRequest(const Core::GroupName &name)
{
    if (GroupFailover *group = find(name); group != nullptr)
        group->dropOwnershipRequest();
}

Actions FailoverManager::startHandover(const Core::GroupName &name, Core::Instant now)
{
    GroupFailover *group = find(name);
    if (group == nullptr)
        return {};
    group->startHandover(now);
    return group->takeActions();
}

std::optional<GroupView> FailoverManager::view(const Core::GroupName &name) const
{
    const GroupFailover *group = find(name);
    if (group == nullptr)
        return std::nullopt;
    return group->view();
}

Health FailoverManager::health(const Core::DatabaseName &database, Core::Instant now) const
{
    const auto found = groupOfDatabase_.find(database);
    const GroupFailover *group = found == groupOfDatabase_.end() ? nullptr : find(found->second);
    return group == nullptr ? Health::Unknown : group->health(database, now);
}

const TermObject *FailoverManager::termObject(const Core::GroupName &name) const
{
    const GroupFailover *group = find(name);
    return group == nullptr || !group->object() ? nullptr : &*group->object();
}

GroupFailover *FailoverManager::find(const Core::GroupName &name)
{
    const auto found = groups_.find(name);
    return found == groups_.end() ? nullptr : &found->second;
}

const GroupFailover *FailoverManager::find(const Core::GroupName &name) const
{
    const auto found = groups_.find(name);
    return found == groups_.end() ? nullptr : &found->second;
}

GroupFailover *FailoverManager::groupOf(const Core::DatabaseName &database)
{
    const auto found = groupOfDatabase_.find(database);
    return found == groupOfDatabase_.end() ? nullptr : find(found->second);
}

GroupFailover *FailoverManager::groupOf(RequestToken token)
{
    const auto found = groupOfNumber_.find(groupNumberOf(token));
    return found == groupOfNumber_.end() ? nullptr : find(found->second);
}

void FailoverManager::call(const Core::GroupName &group, Platform::CallBody body, Actions &actions)
{
    // A new call replaces one that timed out, whose late reply is then ignored.
    std::erase_if(pendingCalls_, [&](const auto &entry) { return entry.second == group; });
    pendingCalls_[++lastCallId_] = group;
    actions.emplace_back(CallPlatform{{lastCallId_, std::move(body)}});
}

} // namespace Chervilpin::Failover
