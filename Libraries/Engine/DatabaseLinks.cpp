#include <Engine/DatabaseLinks.h>

namespace Chervilpin::Engine {

namespace {

using namespace Core::Literals;

/// A connection that owes an answer this long is asked for its status.
constexpr Core::Duration probeAfter = 500_ms;
/// A connection that answers nothing, the probe included, for this long is given up.
constexpr Core::Duration silentAfter = 1000_ms;

} // namespace

DatabaseLinks::DatabaseLinks(Node &node, Share share, Observer observer)
    : node_(node)
    , share_(std::move(share))
    , observer_(std::move(observer))
{ }

void DatabaseLinks::opened(ConnectionId id, Core::Instant now)
{
    node_.connections.opened(id, now);
    const Connection *connection = node_.connections.find(id);
    if (!connection)
        return;
    GroupRuntime *group = node_.findGroup(connection->group);
    DatabaseRuntime *database = group ? group->find(connection->database) : nullptr;
    if (!database)
        return;
    group->view.setReachability(connection->database, Route::Reachability::Open, now);
    node_.changedGroups.insert(connection->group);
    if (connection->generation) {
        database->pool.opened(*connection->generation, now);
        heartbeat(id, now);
    }
    const auto waiting = waitingForOpen_.find(id);
    if (waiting == waitingForOpen_.end())
        return;
    const Failover::SendToDatabase request = std::move(waiting->second);
    waitingForOpen_.erase(waiting);
    node_.send(id, request.body, FailoverPurpose{request.token}, Execute::Sharing::Pipelined, now);
}

DatabaseLinks::End DatabaseLinks::ended(ConnectionId id, Core::Instant now)
{
    End end;
    const Connection *found = node_.connections.find(id);
    if (!found)
        return end;
    const Connection connection = *found;
    end.unanswered = node_.connections.remove(id, now);
    const auto waiting = waitingForOpen_.find(id);
    if (waiting != waitingForOpen_.end()) {
        end.unsent.push_back(waiting->second.token);
        waitingForOpen_.erase(waiting);
    }
    GroupRuntime *group = node_.findGroup(connection.group);
    DatabaseRuntime *database = group ? group->find(connection.database) : nullptr;
    if (!database)
        return end;
    if (connection.generation)
        database->pool.closed(*connection.generation, now);
    if (!node_.connections.anyOpen(connection.database))
        group->view.setReachability(connection.database, Route::Reachability::Broken, now);
    node_.changedGroups.insert(connection.group);
    return end;
}

void DatabaseLinks::answered(const Outstanding &request, Core::Instant now)
{
    const Connection *connection = node_.connections.find(request.connection);
    if (!connection)
        return;
    if (connection->generation) {
        GroupRuntime *group = node_.findGroup(request.group);
        DatabaseRuntime *database = group ? group->find(request.database) : nullptr;
        if (database && std::holds_alternative<HeartbeatPurpose>(request.purpose))
            database->pool.pingAnswered(*connection->generation, now);
        return;
    }
    node_.outbox.push(CloseConnection{request.connection});
    // A fresh connection carries a single request, so nothing is left unanswered.
    const End end = ended(request.connection, now);
    static_cast<void>(end);
}

bool DatabaseLinks::sendControl(const Failover::SendToDatabase &request, Core::Instant now)
{
    const FailoverPurpose purpose{request.token};
    if (request.connection == Failover::ConnectionChoice::PreferOpen) {
        const auto open = node_.connections.anyOpen(request.database);
        if (open && node_.send(*open, request.body, purpose, Execute::Sharing::Pipelined, now))
            return true;
    }
    for (auto &[name, group] : node_.groups) {
        const DatabaseRuntime *database = group.find(request.database);
        if (!database)
            continue;
        if (freshCount(request.database) >= controlConnectionReserve)
            return false;
        waitingForOpen_.emplace(openFresh(name, database->settings), request);
        return true;
    }
    return false;
}

std::size_t DatabaseLinks::freshCount(const Core::DatabaseName &name) const
{
    std::size_t count = 0;
    for (const ConnectionId id : node_.connections.connectionsOf(name)) {
        if (!node_.connections.find(id)->generation)
            ++count;
    }
    return count;
}

ConnectionId DatabaseLinks::openFresh(const Core::GroupName &group,
                                      const Configuration::Database &database)
{
    Connection connection;
    connection.group = group;
    connection.database = database.name;
    const ConnectionId id = node_.connections.add(std::move(connection));
    node_.outbox.push(OpenConnection{id, group, database.name, database.address});
    return id;
}

void DatabaseLinks::maintain(Core::Instant now)
{
    for (auto &[name, group] : node_.groups) {
        for (auto &[databaseName, database] : group.databases)
            maintainDatabase(name, database, now);
    }
}

void DatabaseLinks::maintainDatabase(const Core::GroupName &group, DatabaseRuntime &database,
                                     Core::Instant now)
{
    database.pool.setShare(share_(database.settings.name));
    database.pool.setWaiting(static_cast<std::uint32_t>(database.waiting.size()));
    for (const auto &action : database.pool.tick(now)) {
        if (const auto *toOpen = std::get_if<Borrow::Open>(&action)) {
            open(group, database, toOpen->generation);
            continue;
        }
        if (const auto *toClose = std::get_if<Borrow::Close>(&action)) {
            const auto id =
                node_.connections.findPooled(database.settings.name, toClose->generation);
            if (!id)
                continue;
            node_.outbox.push(CloseConnection{*id});
            const End end = ended(*id, now);
            static_cast<void>(end);
            continue;
        }
        const auto generation = std::get<Borrow::Ping>(action).generation;
        if (const auto id = node_.connections.findPooled(database.settings.name, generation))
            heartbeat(*id, now);
    }
}

void DatabaseLinks::open(const Core::GroupName &group, const DatabaseRuntime &database,
                         Borrow::Generation generation)
{
    Connection connection;
    connection.group = group;
    connection.database = database.settings.name;
    connection.generation = generation;
    const ConnectionId id = node_.connections.add(std::move(connection));
    node_.outbox.push(OpenConnection{id, group, database.settings.name, database.settings.address});
}

void DatabaseLinks::heartbeat(ConnectionId id, Core::Instant now)
{
    const Connection *connection = node_.connections.find(id);
    if (!connection)
        return;
    const Core::DatabaseName database = connection->database;
    if (node_.send(id, Upstream::StatusQuery(), HeartbeatPurpose(), Execute::Sharing::Pipelined,
                   now))
        observer_({database, id, Failover::Observation::Pinged()});
}

std::vector<ConnectionId> DatabaseLinks::findSilent(Core::Instant now)
{
    std::vector<ConnectionId> silent;
    for (const ConnectionId id : node_.connections.silentFor(probeAfter, now)) {
        Connection *connection = node_.connections.find(id);
        if (connection->probedAt) {
            if (now - *connection->probedAt >= silentAfter - probeAfter)
                silent.push_back(id);
            continue;
        }
        if (node_.send(id, Upstream::StatusQuery(), ProbePurpose(), Execute::Sharing::Pipelined,
                       now))
            connection->probedAt = now;
    }
    return silent;
}

std::vector<ConnectionId> DatabaseLinks::connectionsOf(const Core::DatabaseName &name) const
{
    return node_.connections.connectionsOf(name);
}

void DatabaseLinks::leave()
{
    for (auto &[name, group] : node_.groups) {
        for (auto &[databaseName, database] : group.databases)
            database.pool.leave();
    }
}

} // namespace Chervilpin::Engine
