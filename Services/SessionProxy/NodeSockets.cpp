#include <Services/SessionProxy/Node.h>

#include <Core/Overloaded.h>
#include <Core/SteadyClock.h>
#include <Fleet/RelayTiming.h>
#include <FleetWire/PeerMessageCodec.h>
#include <Services/SessionProxy/NodeTiming.h>

#include <platform/Documents.h>

/// The part of Node that handles input from callers, databases, peers and the store.
namespace Chervilpin::SessionProxy {

namespace asio = boost::asio;
using Fleet::ObjectKind;
using Observe::Severity;

namespace {

std::vector<Sessions::PoolerCandidate> poolMembers(const Fleet::MembersChanged &change)
{
    std::vector<Sessions::PoolerCandidate> members;
    members.reserve(change.members.size());
    for (const auto &member : change.members) {
        auto address = forwardAddressOf(member.address);
        if (address)
            members.push_back(
                {member.node, member.dataCentre, std::move(*address), member.capacity});
        else
            Observe::log(Severity::Warning, "address_unusable",
                         {{"node", member.node.value()}, {"address", member.address}});
    }
    return members;
}

} // namespace

void Node::handleAccepted(asio::ip::tcp::socket socket)
{
    if (callers_.size() >= settings_.maximumSessions) {
        metrics_.add("chervilpin_sessions_refused_total", "");
        return;
    }
    const Sessions::SessionId id = nextSession_++;
    LineConnection::Handlers handlers;
    handlers.message = [this, id](std::string_view line) {
        handleCallerLine(id, line);
    };
    handlers.closed = [this, id] {
        handleCallerClosed(id);
    };
    handlers.batchEnded = [this] {
        pump();
    };
    const auto connection =
        std::make_shared<LineConnection>(std::move(socket), std::move(handlers));
    callers_[id].connection = connection;
    connection->start();
}

void Node::handleCallerLine(Sessions::SessionId id, std::string_view line)
{
    const Core::Instant now = Core::SteadyClock::now();
    const auto found = callers_.find(id);
    if (found == callers_.end())
        return;
    Caller &caller = found->second;
    const auto refuse = [&](Sessions::Failure failure, std::string_view why) {
        const auto connection = caller.connection;
        connection->send(Adapter::encodeError(failure, why));
        connection->finish();
        handleCallerClosed(id);
    };
    Adapter::CallerMessage message = Adapter::decodeCallerLine(line);
    std::visit(Core::Overloaded{
                   [&](const Adapter::ConnectMessage &connectMessage) {
                       if (caller.isConnected) {
                           refuse(Sessions::Failure::Malformed, "the session is open already");
                           return;
                       }
                       caller.isConnected = true;
                       sessions_.sessionOpened(id, connectMessage.databaseName, connectMessage.key,
                                               now);
                   },
                   [&](Sessions::Statement &statement) {
                       if (!caller.isConnected) {
                           refuse(Sessions::Failure::Malformed, "the session isn't open yet");
                           return;
                       }
                       sessions_.statement(id, std::move(statement), now);
                       if (sessions_.isSaturated(id))
                           caller.connection->pause();
                   },
                   [&](const Adapter::ReleaseMessage &) {
                       const auto connection = caller.connection;
                       connection->finish();
                       handleCallerClosed(id);
                   },
                   [&](const Adapter::MalformedMessage &) {
                       refuse(Sessions::Failure::Malformed, "the message can't be understood");
                   },
               },
               message);
}

void Node::handleCallerClosed(Sessions::SessionId id)
{
    if (callers_.erase(id) > 0)
        sessions_.sessionClosed(id, Core::SteadyClock::now());
}

void Node::openDatabase(const Sessions::OpenConnection &open)
{
    metrics_.add("chervilpin_database_connections_opened_total", "");
    const auto endpoint = Http::parseEndpoint(open.address);
    if (!endpoint) {
        Observe::log(Severity::Warning, "address_unusable",
                     {{"database", open.database.value()}, {"address", open.address}});
        sessions_.connectionEnded(open.connection, {}, Core::SteadyClock::now());
        return;
    }
    const Sessions::ConnectionId id = open.connection;
    LineConnection::Handlers handlers;
    handlers.message = [this, id](std::string_view line) {
        handleDatabaseLine(id, line);
    };
    handlers.closed = [this, id] {
        handleDatabaseClosed(id, {});
    };
    handlers.batchEnded = [this] {
        pump();
    };
    const auto connection =
        std::make_shared<LineConnection>(asio::ip::tcp::socket(context_), std::move(handlers));
    databases_[id].connection = connection;
    connection->connect(
        *endpoint,
        [connection,
         connectMessage = Adapter::encodeConnect(open.group, open.team, open.database)] {
            connection->send(connectMessage);
        });
}

void Node::handleDatabaseLine(Sessions::ConnectionId id, std::string_view line)
{
    const auto found = databases_.find(id);
    if (found == databases_.end())
        return;
    DatabaseConnection &link = found->second;
    auto taken = link.reader.take(line);
    if (!taken) {
        Observe::log(Severity::Warning, "database_reply_unreadable",
                     {{"why", taken.error().message}});
        handleDatabaseClosed(id, {});
        return;
    }
    const Core::Instant now = Core::SteadyClock::now();
    if (!link.isReady) {
        // A database that refuses the session sends an error as its first reply and then closes.
        if (const auto refusal = link.reader.pendingFailure()) {
            handleDatabaseClosed(id, refusal);
            return;
        }
        if (!*taken)
            return;
        link.isReady = true;
        sessions_.connectionOpened(id, (*taken)->mark, now);
        return;
    }
    if (*taken)
        sessions_.reply(id, std::move(**taken), now);
}

void Node::handleDatabaseClosed(Sessions::ConnectionId id, std::optional<Sessions::Failure> reason)
{
    const auto link = databases_.find(id);
    if (link == databases_.end())
        return;
    link->second.connection->reset();
    databases_.erase(link);
    sessions_.connectionEnded(id, reason, Core::SteadyClock::now());
}

void Node::startStoreLinks()
{
    sources_ = std::make_unique<StoreSources>(context_, *store_, settings_.node,
                                              settings_.dataCentre, [this] {
                                                  for (auto *link : otherLinks())
                                                      link->sourceChanged();
                                                  recordsLink_->sourceChanged();
                                              });
    recordsLink_ = makeStoreLink(ObjectKind::Records,
                                 [this](const StoreUpdate &update) { handleRecords(update); });
    if (settings_.firstStart == FirstStart::Yes)
        recordsLink_->setInitialWatchDelay(Fleet::firstStartDelay);
    recordsLink_->start();
}

void Node::startOtherLinks()
{
    if (configurationLink_)
        return;
    configurationLink_ =
        makeStoreLink(ObjectKind::Configuration, [this](const StoreUpdate &update) {
            handleConfigurationList(update.objects);
        });
    directoryLink_ = makeStoreLink(ObjectKind::Directory, [this](const StoreUpdate &update) {
        if (update.isList)
            handleDirectoryList(update.objects);
        else
            handleDirectoryChanges(update.objects);
    });
    if (settings_.followsEvacuations)
        evacuationsLink_ =
            makeStoreLink(ObjectKind::Evacuations,
                          [this](const StoreUpdate &update) { handleEvacuations(update); });
    for (auto *link : otherLinks())
        link->start();
    updateFeedRole();
}

std::vector<StoreLink *> Node::otherLinks() const
{
    if (!configurationLink_)
        return {};
    std::vector<StoreLink *> links{configurationLink_.get(), directoryLink_.get()};
    if (evacuationsLink_)
        links.push_back(evacuationsLink_.get());
    return links;
}

std::unique_ptr<StoreLink> Node::makeStoreLink(ObjectKind kind,
                                               std::function<void(const StoreUpdate &)> onUpdate)
{
    StoreLink::Handlers handlers;
    handlers.updated = [this, kind, onUpdate = std::move(onUpdate)](const StoreUpdate &update) {
        storeEraBegan(Fleet::eraOf(update.revision));
        onUpdate(update);
        relayToPeers(kind, update);
        pump();
    };
    handlers.reachabilityChanged = [this, kind](bool isReachable, const std::string &why) {
        storeReachabilityChanged(kind, isReachable, why);
    };
    return std::make_unique<StoreLink>(context_, *sources_, metrics_, kind, std::move(handlers));
}

void Node::storeEraBegan(Fleet::Era era)
{
    if (storeEra_ && era <= *storeEra_)
        return;
    const bool isFirst = !storeEra_;
    storeEra_ = era;
    metrics_.set("chervilpin_store_era", "", static_cast<std::int64_t>(era));
    if (isFirst)
        return;
    Observe::log(Severity::Warning, "store_restored_from_copy", {{"era", std::to_string(era)}});
    recordsLink_->eraBegan(era);
    for (auto *link : otherLinks())
        link->eraBegan(era);
}

void Node::relayToPeers(ObjectKind kind, const StoreUpdate &update)
{
    std::vector<Fleet::StoredObject> relayed;
    relayed.reserve(update.objects.size());
    for (const auto &object : update.objects)
        relayed.push_back(Adapter::toRelayed(object));
    const Core::Instant now = Core::SteadyClock::now();
    if (update.isList)
        relayResponder_.listed(kind, relayed, update.revision, update.confirmedAt, now);
    else
        relayResponder_.changed(kind, relayed, update.revision, update.confirmedAt, now);
}

void Node::storeReachabilityChanged(ObjectKind kind, bool isReachable, const std::string &why)
{
    using Contact = Fleet::RelayResponder::Contact;
    relayResponder_.setContact(kind, isReachable ? Contact::Good : Contact::Lost,
                               Core::SteadyClock::now());
    if (kind == ObjectKind::Records)
        recordsReachabilityChanged(isReachable);
    Observe::log(isReachable ? Severity::Info : Severity::Warning,
                 isReachable ? "store_regained" : "store_lost",
                 {{"objects", std::string(Fleet::toString(kind))}, {"why", why}});
}

void Node::recordsReachabilityChanged(bool isReachable)
{
    fleet_.storeReachable(isReachable, Core::SteadyClock::now());
    // The watches of the other links may be stuck on connections that stalled together with this
    // one, so they list again. While the store is unreachable, one link is enough to probe it.
    const auto probing =
        isReachable ? Fleet::StoreWatcher::Probing::Yes : Fleet::StoreWatcher::Probing::No;
    for (auto *link : otherLinks()) {
        link->setProbing(probing);
        link->refresh();
    }
}

void Node::updateFeedRole()
{
    using Role = Fleet::RelayResponder::Role;
    if (shutdownSequence_)
        relayResponder_.setRole(Role::Other);
    else if (!configurationLink_)
        relayResponder_.setRole(Role::Undecided);
    else
        relayResponder_.setRole(sources_->isFeed() ? Role::Feed : Role::Other);
}

void Node::handleConfigurationList(const std::vector<Adapter::StoreObject> &objects)
{
    for (const auto &object : objects) {
        if (object.name != Adapter::configurationName() || object.isDeleted)
            continue;
        auto table = Adapter::readRoutingTable(object.content);
        if (!table) {
            Observe::log(
                Severity::Warning, "configuration_unreadable",
                {{"revision", std::to_string(object.revision)}, {"why", table.error().message}});
            continue;
        }
        // The version never goes back during the lifetime of a process.
        if (table->version <= configurationVersion_)
            continue;
        configurationVersion_ = table->version;
        const Core::Instant now = Core::SteadyClock::now();
        rates_.setLimits(table->teams, now);
        std::map<Core::GroupName, std::uint32_t> synchronousReplicas;
        for (const auto &[group, limits] : table->groups)
            synchronousReplicas[group] = limits.synchronousReplicas;
        fleet_.setSynchronousReplicas(std::move(synchronousReplicas));
        sessions_.configure(std::make_shared<const Sessions::RoutingTable>(std::move(*table)), now);
        nextEngineSyncAt_ = Core::Instant();
    }
}

std::optional<Sessions::DatabaseEntry> Node::readEntry(const Adapter::StoreObject &object)
{
    auto entry = Adapter::readDatabaseEntry(object.name, object.content);
    if (entry)
        return std::move(*entry);
    if (reportedUnreadableEntries_.insert(object.name).second)
        Observe::log(Severity::Warning, "directory_entry_unreadable",
                     {{"name", object.name}, {"why", entry.error().message}});
    return {};
}

void Node::handleDirectoryList(const std::vector<Adapter::StoreObject> &objects)
{
    std::vector<Sessions::DatabaseEntry> entries;
    for (const auto &object : objects) {
        if (auto entry = readEntry(object))
            entries.push_back(std::move(*entry));
    }
    const Core::Instant now = Core::SteadyClock::now();
    directory_.replace(entries, now);
    applyDirectory(now);
}

void Node::handleDirectoryChanges(const std::vector<Adapter::StoreObject> &objects)
{
    if (objects.empty())
        return;
    const Core::Instant now = Core::SteadyClock::now();
    for (const auto &object : objects) {
        const auto entry = object.isDeleted ? std::nullopt : readEntry(object);
        if (entry)
            directory_.put(*entry);
        else
            directory_.remove(Core::DatabaseName(object.name), now);
    }
    applyDirectory(now);
}

void Node::handleEvacuations(const StoreUpdate &update)
{
    std::set<Core::DataCentreName> evacuated;
    if (!update.isList)
        evacuated = evacuated_;
    for (const auto &object : update.objects) {
        if (object.isDeleted)
            evacuated.erase(Core::DataCentreName(object.name));
        else
            evacuated.insert(Core::DataCentreName(object.name));
    }
    if (evacuated == evacuated_)
        return;
    evacuated_ = std::move(evacuated);
    const std::vector<Core::DataCentreName> dataCentres(evacuated_.begin(), evacuated_.end());
    const Core::Instant now = Core::SteadyClock::now();
    fleet_.evacuationsChanged(dataCentres, now);
    sessions_.evacuationsChanged(dataCentres, now);
}

void Node::applyDirectory(Core::Instant now)
{
    const auto entries = directory_.entries(now);
    sessions_.directoryChanged(entries, now);
    fleet_.directoryChanged(entries, now);
}

void Node::handlePeerDatagram(std::string_view text)
{
    const auto message = FleetWire::decode(text);
    if (!message) {
        metrics_.add("chervilpin_peer_messages_unreadable_total", "");
        return;
    }
    const Core::Instant now = Core::SteadyClock::now();
    std::visit(Core::Overloaded{
                   [&](const Fleet::Heartbeat &heartbeat) { fleet_.heartbeat(heartbeat, now); },
                   [&](const Rates::TokenRequest &tokenRequest) {
                       peers_->send(tokenRequest.replyTo,
                                    FleetWire::encode(rates_.handleRequest(tokenRequest, now)));
                   },
                   [&](const Rates::TokenGrant &grant) { rates_.handleGrant(grant, now); },
                   [&](const Rates::ShareReport &report) { rates_.handleReport(report, now); },
                   [&](const Rates::ShareLease &lease) { rates_.handleLease(lease, now); },
                   [&](const Rates::ShareQuery &query) { rates_.handleQuery(query, now); },
               },
               *message);
    pump();
}

void Node::handleMembersChanged(const Fleet::MembersChanged &change, Core::Instant now)
{
    std::vector<Rates::Member> members;
    members.reserve(change.members.size());
    for (const auto &member : change.members)
        members.push_back({member.node, member.dataCentre, member.address,
                           member.level >= Fleet::rateShareLevel ? Rates::ShareSupport::Yes
                                                                 : Rates::ShareSupport::No});
    rates_.setMembers(std::move(members), change.known, now);
    sessions_.setPoolMembers(poolMembers(change), now);
    sources_->setMembers(change.members,
                         fleet_.isLeader() ? Fleet::SourceSelector::Leading::Yes
                                           : Fleet::SourceSelector::Leading::No);
    updateFeedRole();
}

void Node::handleRecords(const StoreUpdate &update)
{
    std::vector<Fleet::StoredObject> records;
    records.reserve(update.objects.size());
    for (const auto &object : update.objects)
        records.push_back(Adapter::toStoredObject(object));
    const Core::Instant now = Core::SteadyClock::now();
    if (update.isList)
        fleet_.recordsListed(records, update.revision, update.confirmedAt, now);
    else
        fleet_.recordsChanged(records, update.confirmedAt, now);
    pump();
    // On the first start of a fleet, the first list lacks most members and therefore the feeds.
    if (!update.isList || settings_.firstStart == FirstStart::No)
        startOtherLinks();
}

void Node::answerReady(const Http::Request &request, const Http::Responder &responder) const
{
    constexpr unsigned ready = 200;
    constexpr unsigned notReady = 503;
    constexpr unsigned notFound = 404;
    Http::Response response;
    const bool isReady = !shutdownSequence_ && sessions_.isReady();
    response.status = isReady ? ready : notReady;
    if (request.target != Adapter::readinessPath())
        response.status = notFound;
    response.body = "{}";
    responder(std::move(response));
}

void Node::answerMetrics(const Http::Responder &responder)
{
    metrics_.set("chervilpin_sessions", "", static_cast<std::int64_t>(sessions_.sessionCount()));
    metrics_.set("chervilpin_database_connections", "",
                 static_cast<std::int64_t>(sessions_.connectionCount()));
    metrics_.set("chervilpin_members", "", static_cast<std::int64_t>(fleet_.memberCount()));
    metrics_.set("chervilpin_rate_shares_held", "",
                 static_cast<std::int64_t>(rates_.heldShareCount(Core::SteadyClock::now())));
    metrics_.set("chervilpin_leader", "", fleet_.isLeader() ? 1 : 0);
    metrics_.set("chervilpin_configuration_version", "",
                 static_cast<std::int64_t>(configurationVersion_));
    metrics_.set(
        "chervilpin_log_lines_left_out", "",
        static_cast<std::int64_t>(rateLimitedLineCount_ + sessions_.sampledLinesSkipped()));
    metrics_.set("chervilpin_log_lines_dropped", "",
                 static_cast<std::int64_t>(Observe::droppedLogLines()));
    Http::Response response;
    response.contentType = "text/plain; version=0.0.4";
    response.body = metrics_.text();
    responder(std::move(response));
}

} // namespace Chervilpin::SessionProxy
