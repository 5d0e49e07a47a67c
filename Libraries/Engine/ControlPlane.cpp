#include <Engine/ControlPlane.h>

#include <Core/Overloaded.h>
#include <Engine/DatabaseLinks.h>
#include <Engine/Engine.h>
#include <Engine/ModuleSettings.h>

#include <algorithm>
#include <utility>

namespace Chervilpin::Engine {

namespace {

using namespace Core::Literals;

/// How often the use of connections and the conditions of resources are reported.
constexpr Core::Duration reportInterval = 100_ms;

std::string numberText(std::uint64_t number)
{
    return std::to_string(number);
}

Operator::Method methodFromText(std::string_view text)
{
    if (text == "GET")
        return Operator::Method::Get;
    if (text == "PUT")
        return Operator::Method::Put;
    if (text == "POST")
        return Operator::Method::Post;
    if (text == "DELETE")
        return Operator::Method::Delete;
    return Operator::Method::Other;
}

Failover::Group toFailoverGroup(const Configuration::Resource &resource)
{
    const auto &spec = std::get<Configuration::UpstreamGroupSpec>(resource.spec);
    Failover::Group group;
    group.name = Core::GroupName(resource.id.name);
    group.owner = spec.half;
    for (const auto &database : spec.databases)
        group.databases.push_back({database.name, database.dataCentre, database.address});
    return group;
}

/// What the fleet may share of a database's connections; the rest is for failover's own requests.
std::uint32_t sharedConnections(const Configuration::UpstreamGroupSpec &group)
{
    if (group.maxConnections <= controlConnectionReserve)
        return group.maxConnections;
    return group.maxConnections - controlConnectionReserve;
}

Operator::Condition primaryCondition(const GroupRuntime &group)
{
    Operator::Condition condition;
    condition.type = "PrimaryKnown";
    const auto primary = group.view.primary();
    condition.isTrue = primary.has_value();
    condition.reason = primary ? "Serving" : "NoPrimary";
    condition.message = primary
        ? primary->database.value() + " is the primary of term " + numberText(primary->term)
        : "no primary is known to this VM";
    return condition;
}

Operator::Condition ownerCondition(const Ownership::HandoverStatus &status)
{
    Operator::Condition condition;
    condition.type = "Owned";
    condition.isTrue = status.state == Ownership::HandoverState::Serving;
    condition.reason = std::string(Ownership::toString(status.state));
    condition.message =
        "owned by " + status.owner.value() + ", to be owned by " + status.desiredOwner.value();
    return condition;
}

} // namespace

ControlPlane::ControlPlane(Node &node)
    : node_(node)
    , membership_(membershipSettings(node.settings), node.random.bits())
    , configuration_(configurationSettings(node.settings), node.random.bits())
    , operators_(operatorSettings(node.settings), configuration_, membership_, node.random.bits())
    , failover_(createFailover(node.settings, node.random.bits()))
    , handover_(failover_)
    , allotment_(createAllotment(node.settings))
{ }

void ControlPlane::start(Core::Instant now)
{
    perform(membership_.start(now), now);
    perform(configuration_.start(now), now);
    passOnMembers(now);
}

void ControlPlane::tick(Core::Instant now)
{
    perform(membership_.tick(now), now);
    perform(configuration_.tick(now), now);
    perform(operators_.tick(now), now);
    perform(failover_.tick(now), now);
    perform(handover_.tick(now), now);
    perform(allotment_->tick(now), now);
    passOnMembers(now);
    if (now < nextReport_)
        return;
    nextReport_ = now + reportInterval;
    reportUse();
    reportConditions(now);
}

void ControlPlane::platformReply(Platform::Reply reply, Core::Instant now)
{
    const auto origin = calls_.replied(reply.id);
    if (!origin)
        return;
    if (!std::holds_alternative<Platform::NoAnswer>(reply.body))
        node_.keyring.confirmContact(origin->askedAt);
    reply.id = origin->id;
    switch (origin->module) {
    case CallingModule::Membership:
        perform(membership_.platformReply(reply, now), now);
        return;
    case CallingModule::Configuration:
        perform(configuration_.platformReply(reply, now), now);
        return;
    case CallingModule::Failover:
        perform(failover_.platformReply(reply, now), now);
        return;
    case CallingModule::Allotment:
        perform(allotment_->platformReply(reply, now), now);
        return;
    }
}

void ControlPlane::peerMessage(const Peer::Incoming &message, Core::Instant now)
{
    const Membership::Member *sender = membership_.find(message.from);
    if (sender && sender->dataCentre != node_.settings.dataCentre)
        node_.keyring.confirmContact(now);
    switch (message.kind) {
    case Peer::MessageKind::Membership:
        perform(membership_.peerMessage(message, now), now);
        return;
    case Peer::MessageKind::Configuration:
        perform(configuration_.peerMessage(message, now), now);
        return;
    case Peer::MessageKind::Failover:
        perform(failover_.peerMessage(message, now), now);
        return;
    case Peer::MessageKind::Allotment:
        perform(allotment_->peerMessage(message, now), now);
        return;
    }
    // A kind of a newer version is ignored, so that versions can mix.
}

void ControlPlane::operatorRequest(const OperatorRequest &request, Core::Instant now)
{
    Operator::OperatorRequest read;
    read.id = request.id;
    read.method = methodFromText(request.method);
    read.target = request.target;
    read.authorization = request.authorization;
    read.body = request.body;
    perform(operators_.handle(read, now), now);
}

void ControlPlane::observe(const Failover::Observation &observation, Core::Instant now)
{
    perform(failover_.observe(observation, now), now);
}

void ControlPlane::failoverAnswer(Failover::RequestToken token, const Upstream::Answer &answer,
                                  Core::Instant now)
{
    perform(failover_.databaseAnswer(token, answer, now), now);
}

void ControlPlane::failoverGotNoAnswer(Failover::RequestToken token,
                                       Failover::RequestFailure reason, Core::Instant now)
{
    perform(failover_.databaseRequestFailed(token, reason, now), now);
}

std::uint32_t ControlPlane::share(const Core::DatabaseName &database, Core::Instant now) const
{
    const auto share =
        allotment_->usableUnits(Allotment::ResourceLimit::connectionsOf(database), now);
    return static_cast<std::uint32_t>(std::max<std::int64_t>(share, 0));
}

void ControlPlane::flushAllotment(Core::Instant now)
{
    perform(allotment_->flush(now), now);
}

void ControlPlane::leave(Core::Instant now)
{
    isLeaving_ = true;
    perform(membership_.leave(now), now);
    perform(failover_.release(now), now);
    allotment_->leave(now);
}

bool ControlPlane::isLeft(Core::Instant now) const
{
    return isLeaving_ && allotment_->hasLeft(now);
}

std::vector<ControlEvent> ControlPlane::takeEvents()
{
    return std::exchange(events_, {});
}

void ControlPlane::call(Platform::Call call, CallingModule module, Core::Instant now)
{
    calls_.send(module, std::move(call), now, node_.outbox);
}

void ControlPlane::send(Peer::Outgoing message)
{
    std::string address = addressOf(message.to);
    if (!address.empty())
        node_.outbox.push(SendToPeer{std::move(address), std::move(message)});
}

void ControlPlane::perform(Membership::Actions actions, Core::Instant now)
{
    const Core::Overloaded performOne{
        [&](Platform::Call &body) { call(std::move(body), CallingModule::Membership, now); },
        [&](Peer::Outgoing &message) { send(std::move(message)); },
        [&](const Membership::MemberChanged &changed) { memberChanged(changed.member); },
        [&](const Membership::PeerStatus &peer) {
            perform(configuration_.peerStatus(peer.peer, peer.status.configurationRevision,
                                              peer.status.configurationDigest, now),
                    now);
        },
        [&](const Membership::Event &event) {
            node_.outbox.log(EventLevel::Warning, std::string(Membership::toString(event.kind)),
                             {{"detail", event.detail}});
        },
    };
    for (auto &action : actions)
        std::visit(performOne, action);
}

void ControlPlane::memberChanged(const Membership::Member &member)
{
    areMembersChanged_ = true;
    node_.outbox.log(EventLevel::Info, "member_changed",
                     {{"member", member.name.value()},
                      {"health", std::string(Membership::toString(member.health))},
                      {"leaving", member.isLeaving ? "true" : "false"}});
}

void ControlPlane::perform(Configuration::Actions actions, Core::Instant now)
{
    const Core::Overloaded performOne{
        [&](Platform::Call &body) { call(std::move(body), CallingModule::Configuration, now); },
        [&](Peer::Outgoing &message) { send(std::move(message)); },
        [&](const Configuration::Apply &newer) { apply(newer.snapshot, now); },
        [&](const Configuration::ProposalAnswer &answer) {
            perform(operators_.proposalAnswered(answer, now), now);
        },
        [&](const Configuration::Event &event) {
            node_.outbox.log(EventLevel::Info, std::string(Configuration::toString(event.kind)),
                             {{"revision", numberText(event.revision)}, {"detail", event.detail}});
        },
    };
    for (auto &action : actions)
        std::visit(performOne, action);
}

void ControlPlane::apply(const Configuration::SnapshotPointer &snapshot, Core::Instant now)
{
    node_.snapshot = snapshot;
    events_.emplace_back(ConfigurationApplied{snapshot});
    perform(membership_.setStatus({snapshot->revision(), snapshot->digest()}, now), now);
    configureFailover(*snapshot, now);
    configureLimits(*snapshot, now);
    perform(operators_.configurationApplied(now), now);
}

void ControlPlane::configureFailover(const Configuration::Snapshot &snapshot, Core::Instant now)
{
    std::vector<Failover::Group> groups;
    for (const auto &resource : snapshot.resources(Configuration::Kind::UpstreamGroup))
        groups.push_back(toFailoverGroup(resource));
    perform(failover_.setGroups(groups, now), now);
    for (const auto &group : groups)
        handover_.setDesiredOwner(group.name, group.owner, now);
    for (const auto &[name, group] : node_.groups) {
        if (!snapshot.findGroup(name))
            handover_.removeGroup(name);
    }
}

void ControlPlane::configureLimits(const Configuration::Snapshot &snapshot, Core::Instant now)
{
    using Allotment::ResourceLimit;
    std::vector<ResourceLimit> limits;
    for (const auto &resource : snapshot.resources(Configuration::Kind::Team)) {
        const auto &team = std::get<Configuration::TeamSpec>(resource.spec);
        const auto rate =
            static_cast<std::int64_t>(team.ratePerSecond) * Allotment::microUnitsPerUnit;
        limits.push_back(ResourceLimit::tokens(Core::TeamName(resource.id.name), rate, team.burst));
    }
    for (const auto &resource : snapshot.resources(Configuration::Kind::UpstreamGroup)) {
        const auto &group = std::get<Configuration::UpstreamGroupSpec>(resource.spec);
        for (const auto &database : group.databases)
            limits.push_back(ResourceLimit::connections(database.name, sharedConnections(group)));
    }
    allotment_->setLimits(limits, now);
}

void ControlPlane::perform(Failover::Actions actions, Core::Instant now)
{
    const Core::Overloaded performOne{
        [&](Failover::SendToDatabase &request) { events_.emplace_back(std::move(request)); },
        [&](Failover::CallPlatform &body) {
            call(std::move(body.call), CallingModule::Failover, now);
        },
        [&](Failover::SendToPeer &message) { send(std::move(message.message)); },
        [&](Failover::PrimaryKnown &known) { primaryKnown(std::move(known)); },
        [&](Failover::GroupDraining &draining) { events_.emplace_back(std::move(draining)); },
        [&](const Failover::Event &event) { logEvent(event); },
        [&](const Failover::FailoverTimings &timings) { logTimings(timings); },
    };
    for (auto &action : actions)
        std::visit(performOne, action);
}

void ControlPlane::primaryKnown(Failover::PrimaryKnown known)
{
    node_.outbox.log(EventLevel::Info, "primary_known",
                     {{"group", known.group.value()},
                      {"term", numberText(known.term)},
                      {"database", known.database.value()},
                      {"owner", known.owner.value()}});
    events_.emplace_back(std::move(known));
}

void ControlPlane::logEvent(const Failover::Event &event)
{
    std::vector<EventField> fields;
    for (const auto &field : event.fields)
        fields.push_back({field.name, field.value});
    node_.outbox.log(EventLevel::Info, event.name, std::move(fields));
}

void ControlPlane::logTimings(const Failover::FailoverTimings &timings)
{
    const auto text = [](Core::Duration duration) {
        return std::to_string(duration.milliseconds());
    };
    node_.outbox.log(EventLevel::Info, "failover_timings",
                     {{"group", timings.group.value()},
                      {"term", numberText(timings.term)},
                      {"detect_ms", text(timings.detect)},
                      {"claim_ms", text(timings.claim)},
                      {"fence_ms", text(timings.fence)},
                      {"promote_ms", text(timings.promote)},
                      {"learn_ms", text(timings.learn)}});
}

void ControlPlane::perform(std::vector<Allotment::Action> actions, Core::Instant now)
{
    const Core::Overloaded performOne{
        [&](Allotment::CallPlatform &body) {
            call(std::move(body.call), CallingModule::Allotment, now);
        },
        [&](Allotment::SendToPeer &message) { send(std::move(message.message)); },
        [&](const Allotment::Decision &decision) { events_.emplace_back(decision); },
        [&](const Allotment::OwnershipChanged &changed) {
            node_.outbox.log(EventLevel::Info, "allotment_ownership",
                             {{"epoch", numberText(changed.epoch)},
                              {"owner", changed.isOwner ? "true" : "false"}});
        },
    };
    for (auto &action : actions)
        std::visit(performOne, action);
}

void ControlPlane::perform(Operator::Actions actions, Core::Instant now)
{
    const Core::Overloaded performOne{
        [&](Operator::OperatorAnswer &answer) {
            node_.outbox.push(AnswerOperator{answer.id, answer.status, std::move(answer.body)});
        },
        [&](Operator::Propose &propose) {
            perform(configuration_.propose(std::move(propose.proposal), now), now);
        },
    };
    for (auto &action : actions)
        std::visit(performOne, action);
}

void ControlPlane::passOnMembers(Core::Instant now)
{
    if (!areMembersChanged_)
        return;
    areMembersChanged_ = false;
    std::vector<Failover::PeerNode> nodes{{node_.settings.name, node_.settings.dataCentre}};
    std::vector<Configuration::PeerNode> peers;
    std::vector<Core::NodeName> names{node_.settings.name};
    for (const auto &member : membership_.members()) {
        if (!member.isUsable())
            continue;
        nodes.push_back({member.name, member.dataCentre});
        peers.push_back({member.name, member.dataCentre});
        names.push_back(member.name);
    }
    perform(failover_.setNodes(std::move(nodes), now), now);
    perform(configuration_.setPeers(peers, now), now);
    allotment_->setMembers(names, now);
}

void ControlPlane::reportUse()
{
    for (const auto &[name, group] : node_.groups) {
        const auto primary = group.view.primary();
        for (const auto &[databaseName, database] : group.databases) {
            const bool isPrimary = primary && primary->database == databaseName;
            // A primary that is leaving keeps its writes until its role has moved.
            const bool isEmptied = database.settings.isLeaving && !isPrimary;
            const std::uint32_t wanted = isEmptied ? 0 : database.pool.wanted();
            allotment_->setUsage(Allotment::ResourceLimit::connectionsOf(databaseName), wanted,
                                 database.pool.size());
        }
    }
}

void ControlPlane::reportConditions(Core::Instant now)
{
    for (const auto &[name, group] : node_.groups) {
        const Configuration::ResourceId id{Configuration::Kind::UpstreamGroup, name.value()};
        operators_.setCondition(id, primaryCondition(group), now);
        if (const auto status = handover_.status(name))
            operators_.setCondition(id, ownerCondition(*status), now);
    }
}

std::string ControlPlane::addressOf(const Core::NodeName &name) const
{
    if (const Membership::Member *member = membership_.find(name))
        return member->peerAddress;
    const auto &seeds = node_.settings.seedPeers;
    const auto seed = std::ranges::find(seeds, name, &SeedPeer::name);
    return seed == seeds.end() ? std::string() : seed->address;
}

} // namespace Chervilpin::Engine
