#include <Engine/ConnectionTable.h>

#include <algorithm>

namespace Chervilpin::Engine {

ConnectionId ConnectionTable::add(Connection connection)
{
    const ConnectionId id = nextId_++;
    if (connection.generation)
        pooled_[connection.database][*connection.generation] = id;
    byDatabase_[connection.database].push_back(id);
    connections_.emplace(id, std::move(connection));
    return id;
}

void ConnectionTable::opened(ConnectionId id, Core::Instant now)
{
    Connection *connection = find(id);
    if (!connection)
        return;
    connection->isOpen = true;
    connection->heardAt = now;
    matcher_.opened(key(id), now);
}

std::vector<Outstanding> ConnectionTable::remove(ConnectionId id, Core::Instant now)
{
    std::vector<Outstanding> unanswered;
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return unanswered;
    for (const auto handle : matcher_.closed(key(id), now)) {
        const auto request = outstanding_.find(handle);
        if (request == outstanding_.end())
            continue;
        unanswered.push_back(std::move(request->second));
        outstanding_.erase(request);
    }
    const Connection &connection = found->second;
    if (connection.generation)
        pooled_[connection.database].erase(*connection.generation);
    std::erase(byDatabase_[connection.database], id);
    connections_.erase(found);
    return unanswered;
}

std::optional<Upstream::CorrelationId> ConnectionTable::ask(ConnectionId id, Purpose purpose,
                                                            Execute::Sharing sharing,
                                                            const Route::Stamp &asked,
                                                            Core::Instant now)
{
    const Connection *connection = find(id);
    if (!connection || !connection->isOpen)
        return std::nullopt;
    const Execute::RequestHandle handle = nextHandle_++;
    const auto correlation = matcher_.ask(key(id), handle, sharing, now);
    if (correlation)
        outstanding_.emplace(
            handle,
            Outstanding{id, connection->group, connection->database, asked, std::move(purpose)});
    return correlation;
}

std::optional<Outstanding>
ConnectionTable::answered(ConnectionId id, Upstream::CorrelationId correlation, Core::Instant now)
{
    if (Connection *connection = find(id)) {
        connection->heardAt = now;
        connection->probedAt.reset();
    }
    const auto handle = matcher_.answered(key(id), correlation, now);
    if (!handle)
        return std::nullopt;
    const auto request = outstanding_.find(*handle);
    if (request == outstanding_.end())
        return std::nullopt;
    Outstanding result = std::move(request->second);
    outstanding_.erase(request);
    return result;
}

Connection *ConnectionTable::find(ConnectionId id)
{
    const auto found = connections_.find(id);
    return found == connections_.end() ? nullptr : &found->second;
}

std::optional<ConnectionId> ConnectionTable::findPooled(const Core::DatabaseName &database,
                                                        Borrow::Generation generation) const
{
    const auto ofDatabase = pooled_.find(database);
    if (ofDatabase == pooled_.end())
        return std::nullopt;
    const auto found = ofDatabase->second.find(generation);
    if (found == ofDatabase->second.end())
        return std::nullopt;
    return found->second;
}

std::optional<ConnectionId> ConnectionTable::anyOpen(const Core::DatabaseName &database) const
{
    std::optional<ConnectionId> best;
    const auto candidates = byDatabase_.find(database);
    if (candidates == byDatabase_.end())
        return best;
    Core::Instant bestHeard;
    for (const ConnectionId id : candidates->second) {
        const Connection &connection = connections_.at(id);
        if (!connection.isOpen)
            continue;
        if (matcher_.isLendable(key(id)))
            return id;
        if (!best || connection.heardAt > bestHeard) {
            best = id;
            bestHeard = connection.heardAt;
        }
    }
    return best;
}

std::vector<ConnectionId> ConnectionTable::silentFor(Core::Duration silence,
                                                     Core::Instant now) const
{
    std::vector<ConnectionId> silent;
    for (const auto &[id, connection] : connections_) {
        if (!connection.isOpen)
            continue;
        const auto waitingSince = matcher_.waitingSince(key(id));
        if (!waitingSince)
            continue;
        const Core::Instant quietSince = std::max(*waitingSince, connection.heardAt);
        if (now - quietSince >= silence)
            silent.push_back(id);
    }
    return silent;
}

bool ConnectionTable::owesStatement(ConnectionId id) const
{
    const auto found = connections_.find(id);
    return found != connections_.end() && found->second.isOpen && !matcher_.isLendable(key(id));
}

std::vector<ConnectionId> ConnectionTable::connectionsOf(const Core::DatabaseName &database) const
{
    const auto found = byDatabase_.find(database);
    return found == byDatabase_.end() ? std::vector<ConnectionId>() : found->second;
}

} // namespace Chervilpin::Engine
