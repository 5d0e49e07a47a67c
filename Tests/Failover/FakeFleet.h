#pragma once

#include <Failover/FailoverManager.h>
#include <Tests/Failover/FakeDatabases.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Chervilpin::Failover::Fakes {

enum class PlatformMode {
    Up,
    Unavailable,  ///< Calls have no effect and get no answer.
    LosesAnswers, ///< Calls take effect and get no answer.
};

/// An in-memory object store of the platform.
struct FakePlatform
{
    std::map<std::string, Platform::Object> objects{};
    PlatformMode mode = PlatformMode::Up;
    Core::Duration latency{3};
    std::size_t calls = 0;

    Platform::ReplyBody take(const Platform::CallBody &body)
    {
        ++calls;
        if (mode == PlatformMode::Unavailable)
            return Platform::NoAnswer{};
        Platform::ReplyBody reply = run(body);
        if (mode == PlatformMode::LosesAnswers)
            return Platform::NoAnswer{};
        return reply;
    }

    Platform::ReplyBody run(const Platform::CallBody &body)
    {
        if (const auto *get = std::get_if<Platform::Get>(&body)) {
            if (!objects.contains(get->key))
                return Platform::Missing{};
            return Platform::Objects{.objects = {objects[get->key]}};
        }
        const auto &put = std::get<Platform::Put>(body);
        Platform::Object &object = objects[put.key];
        if (object.version != put.expected)
            return Platform::VersionConflict{object};
        object = {put.key, object.version + 1, put.value};
        return Platform::Objects{.objects = {object}};
    }
};

/// A simulation of one group of three databases and of proxies in three data centres. Messages are
/// calls scheduled at simulated instants.
class FakeFleet
{
public:
    struct Node
    {
        ThisNode self;
        FailoverManager manager;
        bool isAlive = true;
        bool isPaused = false;
        std::vector<std::function<void()>> deferredCalls{}; ///< Calls that arrived while paused.
        std::vector<PrimaryKnown> known{};
        std::vector<FailoverTimings> timings{};
        std::vector<std::string> events{};
        std::size_t drains = 0;
        Core::Instant drainingUntil{};
    };

    struct Host
    {
        bool isAlive = true; ///< Refuses connects if false.
        bool isPaused = false;
        Core::Duration latency{1};
    };

    explicit FakeFleet(FailoverPolicy policy = {}, std::size_t nodeCount = 3)
    {
        for (std::size_t index = 0; index < 3; ++index)
            databases.push_back({.name = database(index), .dataCentre = dataCentre(index)});
        databases[0].run(Upstream::Promote{1});
        for (auto &entry : databases) {
            hosts[entry.name] = {};
            entry.run(Upstream::Follow{1, database(0), {}});
        }
        std::vector<PeerNode> live;
        for (std::size_t index = 0; index < nodeCount; ++index)
            live.push_back({nodeName(index), dataCentre(index % 3)});
        for (std::size_t index = 0; index < nodeCount; ++index)
            addNode(index, live, policy);
    }

    static Core::DatabaseName database(std::size_t index)
    {
        return Core::DatabaseName("db-" + std::to_string(index));
    }
    static Core::DataCentreName dataCentre(std::size_t index)
    {
        return Core::DataCentreName("dc-" + std::to_string(index));
    }
    static Core::NodeName nodeName(std::size_t index)
    {
        return Core::NodeName("node-" + std::to_string(index));
    }
    static Core::GroupName groupName() { return Core::GroupName("registry-1"); }
    static Group group()
    {
        Group result{.name = groupName(), .databases = {}, .owner = Core::HalfName("east")};
        for (std::size_t index = 0; index < 3; ++index)
            result.databases.push_back({database(index), dataCentre(index), "127.0.0.1:1"});
        return result;
    }

    /// Advances the simulation by \a span in steps of 10 ms. Replicas pull in each step.
    void run(Core::Duration span)
    {
        const Core::Instant end = now + span;
        while (now < end) {
            now = now + step;
            while (!due.empty() && due.begin()->first <= now) {
                const auto call = due.begin()->second;
                due.erase(due.begin());
                call();
            }
            for (std::size_t index = 0; index < nodes.size(); ++index)
                tick(index);
            replicate();
            for (const std::size_t caller : writingNodes)
                write(caller);
            afterStep();
        }
    }

    void kill(std::size_t databaseIndex) { hosts[database(databaseIndex)].isAlive = false; }
    void pause(std::size_t databaseIndex) { hosts[database(databaseIndex)].isPaused = true; }

    [[nodiscard]] std::size_t count(std::string_view event) const
    {
        std::size_t found = 0;
        for (const auto &node : nodes)
            found += static_cast<std::size_t>(std::ranges::count(node.events, event));
        return found;
    }

    void resume(std::size_t index)
    {
        nodes[index].isPaused = false;
        for (const auto &call : std::exchange(nodes[index].deferredCalls, {}))
            call();
    }

    void cut(std::size_t a, std::size_t b)
    {
        cuts.insert({dataCentre(a), dataCentre(b)});
        cuts.insert({dataCentre(b), dataCentre(a)});
    }

    [[nodiscard]] bool isCut(const Core::DataCentreName &a, const Core::DataCentreName &b) const
    {
        return cuts.contains({a, b});
    }

    /// Sends one write from a node to the primary that the node knows. It is acknowledged in a
    /// later step, once a majority holds it. Returns whether the database accepted it.
    bool write(std::size_t node)
    {
        if (!nodes[node].isAlive || nodes[node].known.empty() || now < nodes[node].drainingUntil)
            return false;
        const PrimaryKnown &known = nodes[node].known.back();
        FakeDatabase &target = find(known.database);
        const Host &host = hosts[target.name];
        if (!host.isAlive || host.isPaused || isCut(nodes[node].self.dataCentre, target.dataCentre))
            return false;
        const std::uint64_t id = ++lastWrite;
        const Upstream::Answer answer =
            target.take(Upstream::Statement{.term = known.term,
                                            .kind = Upstream::StatementKind::Write,
                                            .text = std::to_string(id)});
        if (answer.verdict != Upstream::Verdict::Done)
            return false;
        // The answer carries the mark, even if the database fails afterwards.
        unacknowledged.push_back({id, answer.status.held, known.owner});
        return true;
    }

    /// Whether a write of the node is acknowledged within the time span.
    bool serves(std::size_t node, Core::Duration within = Core::Duration(50))
    {
        const std::size_t before = acknowledged.size();
        if (!write(node))
            return false;
        run(within);
        return acknowledged.size() > before;
    }

    FakeDatabase &find(const Core::DatabaseName &name)
    {
        return *std::ranges::find(databases, name, &FakeDatabase::name);
    }

    /// The invariant last seen violated; empty if none was.
    std::string violation;

    struct Write
    {
        std::uint64_t id = 0;
        Core::LogMark mark;
        Core::HalfName owner;
    };

    static constexpr Core::Duration step{10};
    Core::Instant now{1000};
    std::multimap<Core::Instant, std::function<void()>> due;
    std::vector<FakeDatabase> databases;
    std::map<Core::DatabaseName, Host> hosts;
    std::vector<Node> nodes;
    FakePlatform platform;
    std::set<std::pair<Core::DataCentreName, Core::DataCentreName>> cuts;
    std::set<std::size_t> nodesWithoutPlatform; ///< Nodes that cannot reach the platform.
    std::set<Core::DatabaseName> lagging;       ///< Replicas that do not replicate.
    std::vector<Write> unacknowledged;
    std::vector<Write> acknowledged;
    std::uint64_t lastWrite = 0;
    /// Decides whether the answer to an executed request is lost.
    std::function<bool(const Upstream::RequestBody &)> losesAnswer;
    /// Called before a node sends a request; may pause or kill the node.
    std::function<void(std::size_t node, const Upstream::RequestBody &)> beforeSend;
    std::function<void(std::size_t node)> afterTick;
    std::set<std::size_t> writingNodes; ///< Nodes that send one write per step.
    Core::Instant lastAcknowledgedAt{1000};
    Core::Duration longestGap; ///< Between two steps that acknowledged something.

    void execute(std::size_t index, const Actions &actions)
    {
        for (const auto &action : actions) {
            if (!nodes[index].isAlive)
                return;
            if (nodes[index].isPaused)
                nodes[index].deferredCalls.push_back(
                    [this, index, action] { execute(index, Actions{action}); });
            else
                std::visit([this, index](const auto &body) { execute(index, body); }, action);
        }
    }

private:
    void addNode(std::size_t index, const std::vector<PeerNode> &live, const FailoverPolicy &policy)
    {
        const ThisNode self{nodeName(index), dataCentre(index % 3), 1, index + 17};
        auto manager = FailoverManager::create(self, policy);
        static_cast<void>(manager->setGroups({group()}, now));
        static_cast<void>(manager->setNodes(live, now));
        nodes.push_back(Node{.self = self, .manager = std::move(*manager)});
    }

    void atNode(std::size_t index, const std::function<void()> &call)
    {
        if (!nodes[index].isAlive)
            return;
        if (nodes[index].isPaused)
            nodes[index].deferredCalls.push_back(call);
        else
            call();
    }

    void schedule(std::size_t index, Core::Duration delay, std::function<void()> call)
    {
        due.emplace(now + delay, [this, index, call = std::move(call)] { atNode(index, call); });
    }

    void tick(std::size_t index)
    {
        if (!nodes[index].isAlive || nodes[index].isPaused)
            return;
        execute(index, nodes[index].manager.tick(now));
        if (afterTick)
            afterTick(index);
    }

    void execute(std::size_t index, const SendToDatabase &request)
    {
        if (beforeSend)
            beforeSend(index, request.body);
        if (nodes[index].isPaused) {
            nodes[index].deferredCalls.push_back(
                [this, index, request] { execute(index, request); });
            return;
        }
        const FakeDatabase &target = find(request.database);
        if (isCut(nodes[index].self.dataCentre, target.dataCentre))
            return;
        due.emplace(now + hosts[target.name].latency,
                    [this, index, request] { arrive(index, request); });
    }

    void arrive(std::size_t index, const SendToDatabase &request)
    {
        FakeDatabase &target = find(request.database);
        const Host &host = hosts[target.name];
        if (!host.isAlive) {
            schedule(index, Core::Duration(1), [this, index, request] {
                execute(index,
                        nodes[index].manager.databaseRequestFailed(request.token,
                                                                   RequestFailure::Refused, now));
            });
            return;
        }
        if (host.isPaused) {
            // The request waits in the socket buffer until the process resumes.
            due.emplace(now + step, [this, index, request] { arrive(index, request); });
            return;
        }
        const Upstream::Answer answer = target.take(request.body);
        if (losesAnswer && losesAnswer(request.body))
            return;
        if (isCut(nodes[index].self.dataCentre, target.dataCentre))
            return;
        schedule(index, Core::Duration(1), [this, index, request, answer] {
            execute(index, nodes[index].manager.databaseAnswer(request.token, answer, now));
        });
    }

    void execute(std::size_t index, const CallPlatform &request)
    {
        Platform::ReplyBody reply = nodesWithoutPlatform.contains(index)
            ? Platform::NoAnswer{}
            : platform.take(request.call.body);
        schedule(index, platform.latency, [this, index, id = request.call.id, reply] {
            execute(index, nodes[index].manager.platformReply({id, reply}, now));
        });
    }

    void execute(std::size_t index, const SendToPeer &request)
    {
        for (std::size_t peer = 0; peer < nodes.size(); ++peer) {
            if (nodes[peer].self.name != request.message.to
                || isCut(nodes[index].self.dataCentre, nodes[peer].self.dataCentre))
                continue;
            const Peer::Incoming incoming{nodes[index].self.name, 1, request.message.kind,
                                          request.message.payload};
            schedule(peer, Core::Duration(1), [this, peer, incoming] {
                execute(peer, nodes[peer].manager.peerMessage(incoming, now));
            });
        }
    }

    void execute(std::size_t index, const PrimaryKnown &known)
    {
        nodes[index].known.push_back(known);
        nodes[index].drainingUntil = {};
    }

    void execute(std::size_t index, const GroupDraining &drain)
    {
        ++nodes[index].drains;
        nodes[index].drainingUntil = now + drain.remaining;
    }

    void execute(std::size_t index, const Event &event)
    {
        nodes[index].events.push_back(event.name);
    }
    void execute(std::size_t index, const FailoverTimings &timings)
    {
        nodes[index].timings.push_back(timings);
    }

    void replicate()
    {
        for (auto &replica : databases) {
            if (replica.primary.isEmpty() || lagging.contains(replica.name))
                continue;
            const FakeDatabase &from = find(replica.primary);
            const bool runs = hosts[replica.name].isAlive && !hosts[replica.name].isPaused
                && hosts[from.name].isAlive && !hosts[from.name].isPaused;
            if (runs && !isCut(replica.dataCentre, from.dataCentre))
                replica.pullFrom(from, 100);
        }
    }

    void afterStep()
    {
        std::erase_if(unacknowledged, [this](const Write &write) {
            if (!isHeldByMajority(databases, write.mark))
                return false;
            acknowledged.push_back(write);
            longestGap = std::max(longestGap, now - lastAcknowledgedAt);
            lastAcknowledgedAt = now;
            return true;
        });
        for (const auto &entry : databases)
            if (entry.isPrimaryIn(entry.knownTerm))
                check(entry);
    }

    void check(const FakeDatabase &primary)
    {
        const auto known = primaries_.emplace(primary.knownTerm, primary.name).first;
        if (known->second != primary.name)
            violation = "two primaries of one term";
        for (const auto &write : acknowledged)
            if (write.mark.term <= primary.knownTerm && !primary.holds(write.mark, write.id))
                violation = "acknowledged write is missing from a later primary's log";
    }

    std::map<Core::Term, Core::DatabaseName> primaries_;
};

} // namespace Chervilpin::Failover::Fakes
