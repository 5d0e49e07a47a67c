#include <Sessions/SessionEngine.h>

#include <Core/Verify.h>
#include <Sessions/Timing.h>

#include <algorithm>

/// Connections to databases, and how sessions and connections part.
namespace Chervilpin::Sessions {

void SessionEngine::connectionOpened(ConnectionId id, std::optional<Core::LogMark> mark,
                                     Core::Instant now)
{
    Connection *connection = findConnection(id);
    if (!connection)
        return;
    Database &database = databases_.at(connection->database);
    database.failures = 0;
    database.troubleSince = Core::Instant();
    if (mark) {
        database.known = *mark;
        Group &group = groups_.at(connection->group);
        if (group.primary != connection->database)
            database.lag = group.freshness.ageOf(*mark, now);
    }
    release(*connection, now);
}

void SessionEngine::connectionEnded(ConnectionId id, std::optional<Failure> reason,
                                    Core::Instant now)
{
    Connection *connection = findConnection(id);
    if (!connection)
        return;
    Database &database = databases_.at(connection->database);
    log(Importance::Always, "connection_ended",
        {{"database", database.entry.id.value()},
         {"team", connection->team.value()},
         {"state", connection->state == Connection::State::Opening ? "opening" : "open"},
         {"reason", reason ? std::string(toString(*reason)) : "broken"}});
    if (reason == Failure::ConnectionLimit) {
        noteConnectionLimit(database, now);
    } else if (connection->state != Connection::State::Idle) {
        noteFailure(database, now);
    }
    drop(id, now);
}

void SessionEngine::noteConnectionLimit(Database &database, Core::Instant now)
{
    const std::size_t others = database.connections.size() - 1;
    if (others == 0) {
        database.openAfter = now + connectionLimitDelay;
        return;
    }
    // Connections of a proxy that went dark count for some seconds. Those that are open here are
    // passed from team to team meanwhile.
    database.roomSeen = others;
    database.roomSeenUntil = now + connectionLimitDelay;
    scheduleReview(now);
}

void SessionEngine::noteFailure(Database &database, Core::Instant now)
{
    if (database.troubleSince == Core::Instant())
        database.troubleSince = now;
    ++database.failures;
    // One that broke is replaced at once; the database may be well.
    if (database.failures > 1)
        database.openAfter = now + reopenDelay;
    scheduleReview(std::max(now, database.openAfter));
}

void SessionEngine::drop(ConnectionId id, Core::Instant now)
{
    Connection &connection = connections_.at(id);
    const SessionId sessionId = connection.session;
    Group &group = groups_.at(connection.group);
    forget(id);
    Session *session = findSession(sessionId);
    if (session && session->running && session->running->connection == id)
        lost(*session, "the database connection was lost", now);
    else if (session && session->pinned == id)
        loseTransaction(*session);
    releaseOldPrimary(group, now);
}

void SessionEngine::loseTransaction(Session &session)
{
    // The caller asked nothing, so it is told with its next statement.
    session.transaction = TransactionStage::Failed;
    session.pinned = 0;
    log(Importance::Always, "transaction_lost", {{"session", std::to_string(session.id)}});
}

void SessionEngine::forget(ConnectionId id)
{
    const auto found = connections_.find(id);
    const Connection &connection = found->second;
    const auto owed = static_cast<unsigned>(connection.owed.size());
    if (Database *database = findDatabase(connection.database)) {
        database->outstanding -= std::min(database->outstanding, owed);
        database->connections.erase(id);
    }
    if (!connection.isChannel())
        actions_.emplace_back(CloseConnection{id});
    if (connection.isChannel() && owed > 0)
        poolers_.settled(connection.pooler);
    // A channel without either ended with its last answer.
    if (connection.isChannel() && (owed > 0 || connection.isInTransaction))
        actions_.emplace_back(CloseChannel{connection.pooler, id});
    connections_.erase(found);
}

void SessionEngine::release(Connection &connection, Core::Instant now)
{
    VERIFY(!connection.isInTransaction && connection.owed.empty());
    if (connection.isChannel()) {
        Group &group = groups_.at(connection.group);
        forget(connection.id);
        releaseOldPrimary(group, now);
        dispatch(group, now);
        return;
    }
    const Database &database = databases_.at(connection.database);
    connection.session = 0;
    connection.enter(Connection::State::Idle, now);
    Group &group = groups_.at(connection.group);
    releaseOldPrimary(group, now);
    if (database.isGone || database.entry.availability == DatabaseAvailability::Draining) {
        if (group.primary != connection.database) {
            forget(connection.id);
            return;
        }
    }
    serveStatus(now);
    dispatch(group, now);
}

void SessionEngine::abandon(Connection &connection, Core::Instant now)
{
    connection.session = 0;
    if (connection.isChannel()) {
        Group &group = groups_.at(connection.group);
        forget(connection.id);
        releaseOldPrimary(group, now);
        return;
    }
    if (!connection.owed.empty() && connection.owed.back().purpose != Purpose::Cleanup) {
        // Cleaned when the answer comes; reviewConnections() bounds the wait.
        connection.enter(Connection::State::Cleaning, now);
        return;
    }
    if (!connection.isInTransaction) {
        release(connection, now);
        return;
    }
    connection.enter(Connection::State::Cleaning, now);
    Statement rollback;
    rollback.kind = StatementKind::Rollback;
    send(connection, Purpose::Cleanup, std::move(rollback), {}, now);
}

void SessionEngine::sessionClosed(SessionId id, Core::Instant now)
{
    Session *session = findSession(id);
    if (!session)
        return;
    Connection *connection =
        findConnection(session->running ? session->running->connection : session->pinned);
    if (session->route)
        std::erase(groupOf(*session).queue, id);
    returnAdmission(*session);
    sessions_.erase(id);
    if (connection && connection->session == id)
        abandon(*connection, now);
}

void SessionEngine::cutSession(Session &session, Failure failure, std::string text,
                               Core::Instant now)
{
    const SessionId id = session.id;
    end(session, failure, std::move(text));
    sessionClosed(id, now);
}

void SessionEngine::end(Session &session, std::optional<Failure> failure, std::string text)
{
    if (session.isEnded)
        return;
    log(failure ? Importance::Always : Importance::Sampled, "session_ended",
        {{"session", std::to_string(session.id)},
         {"team", session.team.value()},
         {"database_name", session.databaseName},
         {"failure", failure ? std::string(toString(*failure)) : "none"},
         {"configuration", std::to_string(table_->version)}});
    // The shell closes the caller's connection and reports it, which removes the session.
    session.isEnding = true;
    session.isEnded = true;
    session.waiting.clear();
    actions_.emplace_back(EndSession{session.id, failure, std::move(text)});
}

void SessionEngine::askStatus(const Core::DatabaseName &database, Core::Instant now)
{
    if (std::ranges::find(statusWanted_, database) == statusWanted_.end())
        statusWanted_.push_back(database);
    serveStatus(now);
}

void SessionEngine::serveStatus(Core::Instant now)
{
    std::erase_if(statusWanted_, [&](const Core::DatabaseName &name) {
        Database *database = findDatabase(name);
        if (!database || database->isGone)
            return true;
        for (const ConnectionId id : database->connections) {
            Connection &connection = connections_.at(id);
            if (connection.state == Connection::State::Opening)
                return false;
            if (connection.state != Connection::State::Idle)
                continue;
            connection.enter(Connection::State::Lent, now);
            Statement status;
            status.kind = StatementKind::Status;
            send(connection, Purpose::Status, std::move(status), {}, now);
            return true;
        }
        openFor(*database, Core::TeamName(), evictionPatience, now);
        return false;
    });
}

} // namespace Chervilpin::Sessions
