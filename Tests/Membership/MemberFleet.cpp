#include <Tests/Membership/MemberFleet.h>

#include <algorithm>

namespace Chervilpin::Testing {

namespace {

constexpr Core::Duration tickInterval(10);
constexpr std::uint64_t maximumMessageDelay = 20;
constexpr std::uint64_t percent = 100;

} // namespace

Platform::Vm vm(const std::string &name)
{
    return {Core::NodeName(name), Core::DataCentreName("dc-" + name.substr(0, 1)), name + ":1",
            false};
}

Membership::Manager &MemberFleet::add(const std::string &name,
                                      const SettingsAdjustment &adjustSettings)
{
    Membership::Settings settings;
    settings.self = Core::NodeName(name);
    settings.dataCentre = vm(name).dataCentre;
    settings.peerAddress = vm(name).peerAddress;
    settings.incarnation = ++lastIncarnation_;
    if (adjustSettings)
        adjustSettings(settings);
    Node &node = nodes_[name];
    node = {std::make_unique<Membership::Manager>(settings, random_.bits()), false};
    perform(name, node.manager->start(now_));
    return *node.manager;
}

void MemberFleet::run(Core::Duration duration)
{
    const Core::Instant end = now_ + duration;
    while (now_ < end)
        step();
}

void MemberFleet::step()
{
    now_ = now_ + tickInterval;
    std::vector<PendingMessage> due;
    std::erase_if(messages_, [&](const PendingMessage &pending) {
        const auto found = nodes_.find(pending.message.to.value());
        const bool mustWait = found != nodes_.end() && found->second.isPaused;
        if (pending.due > now_ || mustWait)
            return false;
        due.push_back(pending);
        return true;
    });
    for (const PendingMessage &pending : due) {
        deliver(pending.message.to.value(),
                {Core::NodeName(pending.from), 1, pending.message.kind, pending.message.payload});
    }
    for (auto &[name, node] : nodes_) {
        if (!node.isPaused)
            perform(name, node.manager->tick(now_));
    }
}

void MemberFleet::deliver(const std::string &name, const Peer::Incoming &incoming)
{
    const auto found = nodes_.find(name);
    if (found != nodes_.end())
        perform(name, found->second.manager->peerMessage(incoming, now_));
}

void MemberFleet::perform(const std::string &name, const Membership::Actions &actions)
{
    for (const Membership::Action &action : actions)
        std::visit([&](const auto &body) { execute(name, body); }, action);
}

void MemberFleet::execute(const std::string &name, const Platform::Call &call)
{
    ++listCalls;
    Platform::ReplyBody body = Platform::NoAnswer{true, "down"};
    if (!isPlatformUnavailable)
        body = Platform::Vms{listed};
    perform(name, nodes_.at(name).manager->platformReply({call.id, body}, now_));
}

void MemberFleet::execute(const std::string &name, const Peer::Outgoing &message)
{
    const bool isLost = random_.below(percent) < lossPercent;
    if (isLost || (isPartitioned && isPartitioned(name, message.to.value())))
        return;
    const auto delay = static_cast<std::int64_t>(1 + random_.below(maximumMessageDelay));
    messages_.push_back({now_ + Core::Duration(delay), name, message});
}

void MemberFleet::execute(const std::string &, const Membership::Event &event)
{
    ++events_[event.kind];
}

std::size_t MemberFleet::events(Membership::EventKind kind) const
{
    const auto found = events_.find(kind);
    return found == events_.end() ? 0 : found->second;
}

bool MemberFleet::allReportHealth(const std::string &member, Membership::Health health) const
{
    return std::ranges::all_of(nodes_, [&](const auto &entry) {
        const auto *found = entry.second.manager->find(Core::NodeName(member));
        return entry.first == member || (found != nullptr && found->health == health);
    });
}

bool MemberFleet::anyReportsHealth(const std::string &member, Membership::Health health) const
{
    return std::ranges::any_of(nodes_, [&](const auto &entry) {
        const auto *found = entry.second.manager->find(Core::NodeName(member));
        return entry.first != member && found != nullptr && found->health == health;
    });
}

bool MemberFleet::areAllLive() const
{
    return std::ranges::all_of(nodes_, [&](const auto &entry) {
        return allReportHealth(entry.first, Membership::Health::Live);
    });
}

} // namespace Chervilpin::Testing
