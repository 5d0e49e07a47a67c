#include <Tests/Configuration/Fleet.h>

#include <algorithm>

namespace Chervilpin::Testing {

namespace {

constexpr Core::Duration tickPeriod(10);
constexpr std::int64_t advertMilliseconds = 1'000;
constexpr std::uint64_t maxMessageDelay = 40;
constexpr std::uint64_t percent = 100;

} // namespace

Configuration::Manager &Fleet::add(const std::string &name,
                                   const std::function<void(Configuration::Settings &)> &adjust)
{
    Configuration::Settings settings;
    settings.self = Core::NodeName(name);
    settings.dataCentre = Core::DataCentreName("dc");
    if (adjust)
        adjust(settings);
    Node &node = nodes_[name];
    node = {std::make_unique<Configuration::Manager>(settings, random_.bits()), 0, ++lives_};
    tellPeers();
    perform(name, node.manager->start(now_));
    return *node.manager;
}

void Fleet::remove(const std::string &name)
{
    nodes_.erase(name);
    tellPeers();
}

Configuration::Manager &Fleet::node(const std::string &name)
{
    return *nodes_.at(name).manager;
}

void Fleet::tellPeers()
{
    std::vector<Configuration::PeerNode> peers;
    for (const auto &[name, node] : nodes_)
        peers.push_back({Core::NodeName(name), Core::DataCentreName("dc")});
    for (auto &[name, node] : nodes_)
        perform(name, node.manager->setPeers(peers, now_));
}

void Fleet::run(Core::Duration duration)
{
    const Core::Instant end = now_ + duration;
    while (now_ < end)
        step();
}

void Fleet::step()
{
    now_ = now_ + tickPeriod;
    deliverReplies();
    deliverMessages();
    for (auto &[name, node] : nodes_)
        perform(name, node.manager->tick(now_));
    if (advertises && now_.millisecondsSinceOrigin() % advertMilliseconds == 0)
        advertise();
}

/// Stands for the heartbeats, which carry revisions to a random peer.
void Fleet::advertise()
{
    for (auto &[name, node] : nodes_) {
        const auto target =
            std::next(nodes_.begin(), static_cast<std::ptrdiff_t>(random_.below(nodes_.size())));
        const bool isLost = isCut && isCut(name, target->first);
        if (target->first == name || isLost)
            continue;
        const auto &snapshot = node.manager->snapshot();
        perform(target->first,
                target->second.manager->peerStatus(Core::NodeName(name), snapshot->revision(),
                                                   snapshot->digest(), now_));
    }
}

void Fleet::deliverReplies()
{
    std::vector<PendingReply> due;
    std::erase_if(replies_, [&](const PendingReply &pending) {
        if (pending.due > now_)
            return false;
        due.push_back(pending);
        return true;
    });
    for (PendingReply &pending : due) {
        const bool isWatch = std::holds_alternative<Platform::Watch>(pending.call.body);
        if (isWatch && fault)
            pending.fault = fault(pending.node, pending.call.body);
        auto body = store.run(pending.call.body, pending.fault);
        const auto *found = body ? std::get_if<Platform::Objects>(&*body) : nullptr;
        const bool hasNothing = isWatch && found != nullptr && found->objects.empty()
            && store.watchFault != WatchFault::EndsAtOnce;
        if (hasNothing && now_ < pending.watchUntil) {
            replies_.push_back(pending);
            continue;
        }
        const auto place = nodes_.find(pending.node);
        const bool isGone = place == nodes_.end() || place->second.life != pending.life;
        if (!isGone)
            perform(pending.node,
                    place->second.manager->platformReply({pending.call.id, *body}, now_));
    }
}

void Fleet::deliverMessages()
{
    std::vector<PendingMessage> due;
    std::erase_if(messages_, [&](const PendingMessage &pending) {
        if (pending.due > now_)
            return false;
        due.push_back(pending);
        return true;
    });
    for (const PendingMessage &pending : due)
        deliver(pending.message.to.value(),
                {Core::NodeName(pending.from), 1, pending.message.kind, pending.message.payload});
}

void Fleet::deliver(const std::string &name, const Peer::Incoming &incoming)
{
    const auto place = nodes_.find(name);
    if (place != nodes_.end())
        perform(name, place->second.manager->peerMessage(incoming, now_));
}

void Fleet::propose(const std::string &name, Configuration::Proposal proposal)
{
    perform(name, node(name).propose(std::move(proposal), now_));
}

void Fleet::perform(const std::string &name, const Configuration::Actions &actions)
{
    for (const Configuration::Action &action : actions)
        std::visit([&](const auto &body) { take(name, body); }, action);
}

void Fleet::take(const std::string &name, const Platform::Call &call)
{
    ++calls;
    PendingReply pending{now_ + storeDelay, name, nodes_.at(name).life, call, StoreFault::None, {}};
    if (fault)
        pending.fault = fault(name, call.body);
    if (const auto *watch = std::get_if<Platform::Watch>(&call.body))
        pending.watchUntil = now_ + watch->wait;
    replies_.push_back(std::move(pending));
}

void Fleet::take(const std::string &name, const Peer::Outgoing &message)
{
    const bool isLost = random_.below(percent) < lossPercent;
    if (isLost || (isCut && isCut(name, message.to.value())))
        return;
    const auto delay = static_cast<std::int64_t>(1 + random_.below(maxMessageDelay));
    messages_.push_back({now_ + Core::Duration(delay), name, message});
    const bool isDoubled = random_.below(percent) < lossPercent;
    if (isDoubled)
        messages_.push_back({now_ + Core::Duration(delay * 2), name, message});
}

void Fleet::take(const std::string &name, const Configuration::Apply &apply)
{
    Node &node = nodes_.at(name);
    wentBack_ = wentBack_ || apply.snapshot->revision() <= node.applied;
    node.applied = apply.snapshot->revision();
}

void Fleet::take(const std::string &, const Configuration::ProposalAnswer &answer)
{
    answers_[answer.id] = answer;
}

void Fleet::take(const std::string &, const Configuration::Event &event)
{
    ++events_[event.kind];
}

const Configuration::ProposalAnswer *Fleet::answer(Configuration::ProposalId id) const
{
    const auto place = answers_.find(id);
    return place == answers_.end() ? nullptr : &place->second;
}

std::size_t Fleet::events(Configuration::EventKind kind) const
{
    const auto place = events_.find(kind);
    return place == events_.end() ? 0 : place->second;
}

bool Fleet::allAt(Configuration::Revision revision) const
{
    return std::ranges::all_of(nodes_, [&](const auto &entry) {
        return entry.second.manager->snapshot()->revision() == revision;
    });
}

Configuration::Proposal putTeam(Configuration::ProposalId id, const std::string &name,
                                std::uint32_t rate)
{
    using namespace Configuration;
    const Core::HalfName half("maraval");
    const ResourceChange putHalf{
        ChangeAction::Put, {Kind::Half, half.value()}, HalfSpec{"http://10.0.0.1:80", 0}, {}};
    const ResourceChange put{
        ChangeAction::Put, {Kind::Team, name}, TeamSpec{half, rate, rate, 1}, {}};
    return {
        id, "nonce-" + std::to_string(id), "operator-" + std::to_string(id), {putHalf, put}, {}};
}

} // namespace Chervilpin::Testing
