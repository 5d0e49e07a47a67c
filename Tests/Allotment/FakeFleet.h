#pragma once

#include <Allotment/Manager.h>
#include <Core/Random.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/// Fakes for testing a few Managers in simulated time: a platform, a network, and clocks that
/// drift.
namespace Chervilpin::Allotment {

/// Counts the admissions of one team that exceed rate × t + burst in any time window.
class WindowCheck
{
public:
    WindowCheck(MicroUnits ratePerSecond, std::int64_t burst)
        : ratePerMillisecond_(static_cast<double>(ratePerSecond) / 1e9)
        , burst_(static_cast<double>(burst))
        , level_(burst_)
    { }

    void admit(Core::Instant now)
    {
        const double elapsed = static_cast<double>((now - at_).milliseconds());
        level_ = std::min(burst_, level_ + elapsed * ratePerMillisecond_);
        at_ = now;
        level_ -= 1.0;
        ++admitted_;
        constexpr double roundingTolerance = 1e-6;
        if (level_ < -roundingTolerance) {
            ++overshoots_;
            worst_ = std::min(worst_, level_);
        }
    }

    [[nodiscard]] std::int64_t overshoots() const { return overshoots_; }
    [[nodiscard]] double worst() const { return worst_; }
    [[nodiscard]] std::int64_t admitted() const { return admitted_; }

private:
    double ratePerMillisecond_;
    double burst_;
    double level_;
    double worst_ = 0;
    Core::Instant at_;
    std::int64_t overshoots_ = 0;
    std::int64_t admitted_ = 0;
};

/// Faults that are injected into the network and the platform.
struct Faults
{
    std::uint64_t lostPerMille = 0;
    std::uint64_t duplicatedPerMille = 0;
    std::uint64_t delayedPerMille = 0;
    Core::Duration extraDelay{400};
    bool isPlatformUnavailable = false;
    std::uint64_t platformRepliesLostPerMille = 0;
};

struct FakeNode
{
    Core::NodeName name;
    Peer::Incarnation incarnation = 1;
    std::unique_ptr<Manager> manager;
    std::int64_t clockPerMille = 1000; ///< Rate of its clock; 1000 is exact.
    Core::Duration clockOffset{0};
    /// Nodes of different partitions cannot reach each other while isPartitioned.
    std::uint32_t partition = 0;
    bool isAlive = true;
    bool isPaused = false;
    std::vector<std::function<void()>> deferredEvents; ///< Events that arrived while it was paused.
    std::map<TicketId, std::size_t> waiting;           ///< Team index by ticket.
};

class FakeFleet
{
public:
    FakeFleet(std::size_t nodeCount, const Options &options, std::uint64_t seed)
        : options_(options)
        , random_(seed)
    {
        for (std::size_t i = 0; i < nodeCount; ++i)
            addNode();
        announceMembers();
    }

    Faults faults;
    bool isPartitioned = false;
    /// The partition that reaches the platform while isPartitioned.
    std::uint32_t platformPartition = 0;
    Core::Duration oneWayDelay{1};
    std::int64_t platformCalls = 0;
    std::int64_t platformWrites = 0;
    std::int64_t peerMessages = 0;
    std::int64_t peerBytes = 0;
    /// Called for each decision that is not made at once.
    std::function<void(std::size_t node, std::size_t team, bool isTaken)> decided;

    FakeNode &addNode()
    {
        FakeNode node;
        node.name = Core::NodeName("node-" + std::to_string(nodes_.size()));
        node.clockOffset = Core::Duration(static_cast<std::int64_t>(random_.below(1'000'000)));
        nodes_.push_back(std::make_unique<FakeNode>(std::move(node)));
        startManager(*nodes_.back());
        return *nodes_.back();
    }

    /// Restarts a node as a new incarnation without the state of the earlier one.
    void restart(std::size_t index)
    {
        FakeNode &node = *nodes_[index];
        ++node.incarnation;
        node.isAlive = true;
        node.isPaused = false;
        node.deferredEvents.clear();
        node.waiting.clear();
        startManager(node);
        announceMembers();
    }

    void setLimits(std::vector<ResourceLimit> limits)
    {
        limits_ = std::move(limits);
        for (const auto &node : nodes_)
            node->manager->setLimits(limits_, local(*node));
    }

    /// Sets the list of live nodes on all nodes.
    void announceMembers()
    {
        std::vector<Core::NodeName> members;
        for (const auto &node : nodes_) {
            if (node->isAlive)
                members.push_back(node->name);
        }
        for (const auto &node : nodes_)
            node->manager->setMembers(members, local(*node));
    }

    void pause(std::size_t index) { nodes_[index]->isPaused = true; }

    void resume(std::size_t index)
    {
        FakeNode &node = *nodes_[index];
        node.isPaused = false;
        std::vector<std::function<void()>> deferred = std::move(node.deferredEvents);
        node.deferredEvents.clear();
        for (const auto &event : deferred)
            event();
    }

    void kill(std::size_t index) { nodes_[index]->isAlive = false; }

    /// Advances the time by one millisecond.
    void step()
    {
        now_ = now_ + Core::Duration(1);
        while (!events_.empty() && events_.begin()->first <= now_) {
            const std::function<void()> event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            event();
        }
        constexpr std::int64_t tickInterval = 10;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            FakeNode &node = *nodes_[i];
            const bool isDue =
                (now_.millisecondsSinceOrigin() + static_cast<std::int64_t>(i) * 3) % tickInterval
                == 0;
            if (isDue && node.isAlive && !node.isPaused)
                perform(node, node.manager->tick(local(node)));
        }
    }

    void run(Core::Duration span)
    {
        for (std::int64_t i = 0; i < span.milliseconds(); ++i)
            step();
    }

    enum class Attempt {
        Taken,
        Pending,
        Refused,
    };

    /// Requests a token for a team at a node.
    Attempt request(std::size_t index, std::size_t team, const ResourceName &resource)
    {
        FakeNode &node = *nodes_[index];
        constexpr Core::Duration deadline{1000};
        const Core::Instant now = local(node);
        const TakeResult result = node.manager->tryTake(resource, 1, now + deadline, now);
        if (std::holds_alternative<Taken>(result))
            return Attempt::Taken;
        if (std::holds_alternative<Refused>(result))
            return Attempt::Refused;
        node.waiting[std::get<Pending>(result).ticket] = team;
        perform(node, node.manager->flush(now));
        return Attempt::Pending;
    }

    [[nodiscard]] Core::Instant now() const { return now_; }
    [[nodiscard]] Core::Instant local(const FakeNode &node) const
    {
        constexpr std::int64_t normalSpeed = 1000;
        return Core::Instant(now_.millisecondsSinceOrigin() * node.clockPerMille / normalSpeed)
            + node.clockOffset;
    }
    [[nodiscard]] FakeNode &node(std::size_t index) { return *nodes_[index]; }
    [[nodiscard]] std::size_t size() const { return nodes_.size(); }
    [[nodiscard]] bool isUp(std::size_t index) const
    {
        return nodes_[index]->isAlive && !nodes_[index]->isPaused;
    }
    Core::Random &random() { return random_; }

    /// Returns the live node that owns a share now, if there is one.
    [[nodiscard]] std::optional<std::size_t> ownerOf(ShareId share) const
    {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (nodes_[i]->isAlive && nodes_[i]->manager->isOwner(share, local(*nodes_[i])))
                return i;
        }
        return std::nullopt;
    }

    /// Returns the sum of the connections that all live nodes may use now.
    [[nodiscard]] std::int64_t sharesOf(const ResourceName &resource) const
    {
        std::int64_t sum = 0;
        for (const auto &node : nodes_) {
            if (node->isAlive)
                sum += node->manager->usableUnits(resource, local(*node));
        }
        return sum;
    }

private:
    void startManager(FakeNode &node)
    {
        auto manager = Manager::create({node.name, node.incarnation}, options_);
        node.manager = std::move(*manager);
        node.manager->setLimits(limits_, local(node));
    }

    void schedule(Core::Duration delay, std::function<void()> event)
    {
        events_.emplace(now_ + delay, std::move(event));
    }

    bool chance(std::uint64_t perMille) { return perMille > 0 && random_.below(1000) < perMille; }

    /// Runs an event on a node now, or when it is resumed; drops it if the node is dead or
    /// restarted.
    void runAt(FakeNode &node, std::uint64_t incarnation, std::function<void()> event)
    {
        if (!node.isAlive || node.incarnation != incarnation)
            return;
        if (node.isPaused)
            node.deferredEvents.push_back(std::move(event));
        else
            event();
    }

    void perform(FakeNode &node, const std::vector<Action> &actions)
    {
        for (const Action &action : actions) {
            if (const auto *call = std::get_if<CallPlatform>(&action))
                callPlatform(node, call->call);
            else if (const auto *send = std::get_if<SendToPeer>(&action))
                sendToPeer(node, send->message);
            else if (const auto *decision = std::get_if<Decision>(&action))
                decide(node, *decision);
        }
    }

    void decide(FakeNode &node, const Decision &decision)
    {
        const auto found = node.waiting.find(decision.ticket);
        if (found == node.waiting.end())
            return;
        const std::size_t team = found->second;
        node.waiting.erase(found);
        const auto index = static_cast<std::size_t>(
            std::find_if(nodes_.begin(), nodes_.end(),
                         [&node](const auto &other) { return other.get() == &node; })
            - nodes_.begin());
        if (decided)
            decided(index, team, std::holds_alternative<Taken>(decision.result));
    }

    void sendToPeer(FakeNode &from, const Peer::Outgoing &message)
    {
        ++peerMessages;
        peerBytes += static_cast<std::int64_t>(message.payload.size());
        if (chance(faults.lostPerMille))
            return;
        const std::size_t copyCount = chance(faults.duplicatedPerMille) ? 2 : 1;
        for (std::size_t copy = 0; copy < copyCount; ++copy) {
            const bool isDelayed = copy > 0 || chance(faults.delayedPerMille);
            const Core::Duration delay = isDelayed ? oneWayDelay + faults.extraDelay : oneWayDelay;
            deliver(from, message, delay);
        }
    }

    void deliver(FakeNode &from, const Peer::Outgoing &message, Core::Duration delay)
    {
        const Peer::Incoming incoming{from.name, from.incarnation, message.kind, message.payload};
        const std::uint32_t partition = from.partition;
        const Core::NodeName to = message.to;
        schedule(delay, [this, incoming, partition, to] {
            for (const auto &entry : nodes_) {
                FakeNode &node = *entry;
                if (node.name != to || (isPartitioned && node.partition != partition))
                    continue;
                runAt(node, node.incarnation, [this, incoming, &node] {
                    perform(node, node.manager->peerMessage(incoming, local(node)));
                });
            }
        });
    }

    void callPlatform(FakeNode &node, const Platform::Call &call)
    {
        ++platformCalls;
        const std::uint64_t incarnation = node.incarnation;
        schedule(oneWayDelay, [this, &node, incarnation, call] {
            const bool isReached = !faults.isPlatformUnavailable
                && (!isPartitioned || node.partition == platformPartition);
            Platform::Reply reply{call.id, Platform::NoAnswer{true, "platform unavailable"}};
            if (isReached)
                reply.body = handle(call.body);
            if (isReached && chance(faults.platformRepliesLostPerMille))
                reply.body = Platform::NoAnswer{false, "reply lost"};
            schedule(oneWayDelay, [this, &node, incarnation, reply] {
                runAt(node, incarnation, [this, &node, reply] {
                    perform(node, node.manager->platformReply(reply, local(node)));
                });
            });
        });
    }

    Platform::ReplyBody handle(const Platform::CallBody &body)
    {
        if (const auto *get = std::get_if<Platform::Get>(&body)) {
            const auto found = objects_.find(get->key);
            if (found == objects_.end())
                return Platform::Missing{};
            return Platform::Objects{{found->second}, 0};
        }
        const auto *put = std::get_if<Platform::Put>(&body);
        if (put == nullptr)
            return Platform::NoAnswer{true, "not supported"};
        ++platformWrites;
        Platform::Object &object = objects_[put->key];
        object.key = put->key;
        if (object.version != put->expected) {
            const Platform::Object current = object;
            return Platform::VersionConflict{current};
        }
        ++object.version;
        object.value = put->value;
        return Platform::Objects{{object}, 0};
    }

    Options options_;
    Core::Random random_;
    Core::Instant now_{1'000'000};
    std::vector<std::unique_ptr<FakeNode>> nodes_;
    std::vector<ResourceLimit> limits_;
    std::multimap<Core::Instant, std::function<void()>> events_;
    std::map<std::string, Platform::Object> objects_;
};

} // namespace Chervilpin::Allotment
