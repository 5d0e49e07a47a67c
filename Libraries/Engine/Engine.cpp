#include <Engine/Engine.h>

#include <Core/Overloaded.h>
#include <Engine/ControlPlane.h>
#include <Engine/DatabaseLinks.h>
#include <Engine/KeyRecords.h>
#include <Engine/Node.h>
#include <Engine/RequestPipeline.h>

namespace Chervilpin::Engine {

namespace {

using namespace Core::Literals;

/// How often connections are looked after apart from what happens on them.
constexpr Core::Duration silenceCheckInterval = 100_ms;

enum class StopPhase {
    Running,
    LameDuck, ///< Unready, but still serving, until the balancer has noticed.
    Draining, ///< Refuses new requests and finishes the running ones.
    Leaving,  ///< Hands back shares, claims and connections.
    Stopped,
};

} // namespace

class Engine::Implementation
{
public:
    Implementation(NodeSettings settings, std::uint64_t seed, Core::Instant now)
        : node_(std::move(settings), seed)
        , control_(node_)
        , links_(
              node_, [this](const Core::DatabaseName &name) { return control_.share(name, now_); },
              [this](const Failover::Observation &observation) {
                  control_.observe(observation, now_);
              })
        , pipeline_(node_, control_)
        , now_(now)
    {
        control_.start(now);
        settle();
    }

    void callerRequest(CallerRequest request, Core::Instant now)
    {
        now_ = now;
        pipeline_.accept(std::move(request), now);
        settle();
    }

    void operatorRequest(const OperatorRequest &request, Core::Instant now)
    {
        now_ = now;
        control_.operatorRequest(request, now);
        settle();
    }

    void connectionOpened(ConnectionId id, Core::Instant now)
    {
        now_ = now;
        links_.opened(id, now);
        settle();
    }

    void connectionEnded(ConnectionId id, ConnectionFailure failure, Core::Instant now)
    {
        now_ = now;
        endConnection(id, failure);
        settle();
    }

    void databaseAnswer(ConnectionId id, Upstream::CorrelationId correlation,
                        Upstream::Answer answer, Core::Instant now)
    {
        now_ = now;
        if (auto outstanding = node_.connections.answered(id, correlation, now))
            answered(*outstanding, std::move(answer));
        settle();
    }

    void platformReply(Platform::Reply reply, Core::Instant now)
    {
        now_ = now;
        control_.platformReply(std::move(reply), now);
        settle();
    }

    void peerMessage(const Peer::Incoming &message, Core::Instant now)
    {
        now_ = now;
        control_.peerMessage(message, now);
        settle();
    }

    void tick(Core::Instant now)
    {
        now_ = now;
        control_.tick(now);
        pipeline_.tick(now);
        endSilentConnections();
        advanceStop();
        settle();
        links_.maintain(now);
        settle();
    }

    void shutDown(Core::Instant now)
    {
        now_ = now;
        if (phase_ != StopPhase::Running)
            return;
        enterPhase(StopPhase::LameDuck);
        settle();
    }

    [[nodiscard]] bool isReady() const
    {
        return phase_ == StopPhase::Running && node_.snapshot->revision() > 0;
    }

    [[nodiscard]] std::vector<Action> takeActions() { return node_.outbox.take(); }

private:
    void settle()
    {
        for (auto events = control_.takeEvents(); !events.empty(); events = control_.takeEvents()) {
            for (auto &event : events)
                std::visit([this](auto &body) { follow(body); }, event);
        }
        pipeline_.dispatch(now_);
    }

    void follow(const ConfigurationApplied &applied)
    {
        const Configuration::Snapshot &snapshot = *applied.snapshot;
        for (const auto &resource : snapshot.resources(Configuration::Kind::UpstreamGroup))
            configureGroup(Core::GroupName(resource.id.name),
                           std::get<Configuration::UpstreamGroupSpec>(resource.spec));
        for (auto &[name, group] : node_.groups)
            setWeights(group, snapshot);
        const auto withdrawn = node_.keyring.replace(keyRecords(snapshot));
        pipeline_.keysWithdrawn(withdrawn, now_);
    }

    void configureGroup(const Core::GroupName &name, const Configuration::UpstreamGroupSpec &spec)
    {
        const auto [entry, isNew] = node_.groups.try_emplace(name, name, spec);
        if (isNew)
            return;
        for (const auto &removed : entry->second.configure(spec, now_)) {
            for (const ConnectionId id : links_.connectionsOf(removed)) {
                node_.outbox.push(CloseConnection{id});
                endConnection(id, ConnectionFailure::Broken);
            }
            entry->second.databases.erase(removed);
        }
        node_.changedGroups.insert(name);
    }

    static void setWeights(GroupRuntime &group, const Configuration::Snapshot &snapshot)
    {
        for (const auto &resource : snapshot.resources(Configuration::Kind::Team)) {
            const auto weight = std::get<Configuration::TeamSpec>(resource.spec).weight;
            group.reads.setWeight(Core::TeamName(resource.id.name), weight);
            group.writes.setWeight(Core::TeamName(resource.id.name), weight);
        }
    }

    void follow(const Failover::PrimaryKnown &known)
    {
        GroupRuntime *group = node_.findGroup(known.group);
        if (!group || known.term < group->ownedTerm)
            return;
        group->ownedTerm = known.term;
        group->owner = known.owner;
        group->drainingUntil = Core::Instant();
        node_.changedGroups.insert(known.group);
        // A node that doesn't watch the group learns of its new primary by this question alone.
        if (group->view.highestKnownTerm() >= known.term && group->view.primary())
            return;
        if (const auto connection = node_.connections.anyOpen(known.database))
            node_.send(*connection, Upstream::StatusQuery(), HeartbeatPurpose(),
                       Execute::Sharing::Pipelined, now_);
    }

    void follow(const Failover::GroupDraining &draining)
    {
        if (GroupRuntime *group = node_.findGroup(draining.group))
            group->drainingUntil = now_ + draining.remaining;
    }

    void follow(const Failover::SendToDatabase &request)
    {
        if (!links_.sendControl(request, now_))
            control_.failoverGotNoAnswer(request.token, Failover::RequestFailure::Lost, now_);
    }

    void follow(const Allotment::Decision &decision) { pipeline_.decided(decision, now_); }

    void answered(const Outstanding &outstanding, Upstream::Answer answer)
    {
        GroupRuntime *group = node_.findGroup(outstanding.group);
        if (group)
            group->view.observe(outstanding.database, answer.status, outstanding.asked, now_);
        control_.observe({outstanding.database, outstanding.connection,
                          Failover::Observation::Answered{answer.status}},
                         now_);
        node_.changedGroups.insert(outstanding.group);
        links_.answered(outstanding, now_);
        const Core::Overloaded handle{
            [&](const StatementPurpose &) {
                pipeline_.statementAnswered(outstanding, std::move(answer), now_);
            },
            [&](const RollbackPurpose &) { pipeline_.rollbackEnded(outstanding, now_); },
            [&](const SamplePurpose &) {
                if (group)
                    pipeline_.sampleEnded(*group, now_);
            },
            [&](const ConfirmPurpose &) {
                if (group)
                    group->tracker.queryEnded(outstanding.database, Confirm::QueryEnd::Answered,
                                              now_);
            },
            [&](const FailoverPurpose &purpose) {
                control_.failoverAnswer(purpose.token, answer, now_);
            },
            [](const HeartbeatPurpose &) {},
            [](const ProbePurpose &) {},
        };
        std::visit(handle, outstanding.purpose);
    }

    void endConnection(ConnectionId id, ConnectionFailure failure)
    {
        const Connection *connection = node_.connections.find(id);
        if (!connection)
            return;
        const Core::DatabaseName database = connection->database;
        const DatabaseLinks::End end = links_.ended(id, now_);
        const bool isRefused = failure == ConnectionFailure::Refused;
        if (isRefused)
            control_.observe({database, id, Failover::Observation::Refused()}, now_);
        else
            control_.observe({database, id, Failover::Observation::Ended()}, now_);
        for (const auto token : end.unsent)
            control_.failoverGotNoAnswer(token,
                                         isRefused ? Failover::RequestFailure::Refused
                                                   : Failover::RequestFailure::Lost,
                                         now_);
        for (const auto &outstanding : end.unanswered)
            unanswered(outstanding);
    }

    void unanswered(const Outstanding &outstanding)
    {
        GroupRuntime *group = node_.findGroup(outstanding.group);
        const Core::Overloaded handle{
            [&](const StatementPurpose &) { pipeline_.statementLost(outstanding, now_); },
            [&](const SamplePurpose &) {
                if (group)
                    pipeline_.sampleEnded(*group, now_);
            },
            [&](const ConfirmPurpose &) {
                if (group)
                    group->tracker.queryEnded(outstanding.database, Confirm::QueryEnd::Failed,
                                              now_);
            },
            [&](const FailoverPurpose &purpose) {
                control_.failoverGotNoAnswer(purpose.token, Failover::RequestFailure::Lost, now_);
            },
            [](const auto &) {},
        };
        std::visit(handle, outstanding.purpose);
    }

    void endSilentConnections()
    {
        if (now_ < nextSilenceCheck_)
            return;
        nextSilenceCheck_ = now_ + silenceCheckInterval;
        for (const ConnectionId id : links_.findSilent(now_)) {
            const Connection *connection = node_.connections.find(id);
            if (!connection)
                continue;
            node_.outbox.log(EventLevel::Warning, "connection_silent",
                             {{"database", connection->database.value()}});
            GroupRuntime *group = node_.findGroup(connection->group);
            DatabaseRuntime *database = group ? group->find(connection->database) : nullptr;
            if (database && connection->generation)
                database->pool.abandoned(*connection->generation, now_);
            node_.outbox.push(CloseConnection{id});
            endConnection(id, ConnectionFailure::Broken);
        }
    }

    void enterPhase(StopPhase phase)
    {
        phase_ = phase;
        phaseSince_ = now_;
    }

    void advanceStop()
    {
        switch (phase_) {
        case StopPhase::Running:
        case StopPhase::Stopped:
            return;
        case StopPhase::LameDuck:
            if (now_ - phaseSince_ < node_.settings.lameDuck)
                return;
            pipeline_.refuseNew();
            enterPhase(StopPhase::Draining);
            return;
        case StopPhase::Draining:
            drain();
            return;
        case StopPhase::Leaving:
            if (!control_.isLeft(now_) && now_ - phaseSince_ < handBackLimit)
                return;
            enterPhase(StopPhase::Stopped);
            node_.outbox.push(Stopped());
            return;
        }
    }

    void drain()
    {
        if (!pipeline_.isIdle()) {
            if (now_ - phaseSince_ < node_.settings.drainDeadline)
                return;
            pipeline_.abandonAll(now_);
        }
        links_.leave();
        control_.leave(now_);
        enterPhase(StopPhase::Leaving);
    }

    /// How long a stop waits for shares and claims to be taken back.
    static constexpr Core::Duration handBackLimit{2'000};

    Node node_;
    ControlPlane control_;
    DatabaseLinks links_;
    RequestPipeline pipeline_;
    Core::Instant now_;
    Core::Instant nextSilenceCheck_;
    StopPhase phase_ = StopPhase::Running;
    Core::Instant phaseSince_;
};

Engine::Engine(NodeSettings settings, std::uint64_t seed, Core::Instant now)
    : implementation_(std::make_unique<Implementation>(std::move(settings), seed, now))
{ }

Engine::~Engine() = default;

void Engine::callerRequest(CallerRequest request, Core::Instant now)
{
    implementation_->callerRequest(std::move(request), now);
}

void Engine::operatorRequest(const OperatorRequest &request, Core::Instant now)
{
    implementation_->operatorRequest(request, now);
}

void Engine::connectionOpened(ConnectionId id, Core::Instant now)
{
    implementation_->connectionOpened(id, now);
}

void Engine::connectionEnded(ConnectionId id, ConnectionFailure failure, Core::Instant now)
{
    implementation_->connectionEnded(id, failure, now);
}

void Engine::databaseAnswer(ConnectionId id, Upstream::CorrelationId correlation,
                            Upstream::Answer answer, Core::Instant now)
{
    implementation_->databaseAnswer(id, correlation, std::move(answer), now);
}

void Engine::platformReply(Platform::Reply reply, Core::Instant now)
{
    implementation_->platformReply(std::move(reply), now);
}

void Engine::peerMessage(const Peer::Incoming &message, Core::Instant now)
{
    implementation_->peerMessage(message, now);
}

void Engine::tick(Core::Instant now)
{
    implementation_->tick(now);
}

void Engine::shutDown(Core::Instant now)
{
    implementation_->shutDown(now);
}

bool Engine::isReady() const
{
    return implementation_->isReady();
}

std::vector<Action> Engine::takeActions()
{
    return implementation_->takeActions();
}

} // namespace Chervilpin::Engine
