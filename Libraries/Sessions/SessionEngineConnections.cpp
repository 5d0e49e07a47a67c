#include <Sessions/SessionEngine.h>

#include <Core/Verify.h>
#include <Sessions/Timing.h>

#include <algorithm>

/// Connections to databases, and the end of sessions.
namespace Chervilpin::Sessions {

void SessionEngine::connectionOpened(ConnectionId id, std::optional<Core::LogMark> mark,
                                     Core::Instant now)
{
    Connection *connection = findConnection(id);
    if (!connection)
        return;
    Database &database = databases_.at(connection->database);
    database.failures = 0;
    database.failingSince = Core::Instant();
    database.unsentSince = Core::Instant();
    if (mark) {
        database.lastKnownMark = *mark;
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
        recordConnectionLimit(database, now);
    } else if (connection->state != Connection::State::Idle) {
        recordConnectionFailure(database, now);
    }
    closeConnection(id, now);
}

void SessionEngine::recordConnectionLimit(Database &database, Core::Instant now)
{
    const std::size_t others = database.connections.size() - 1;
    if (others == 0) {
        database.openAfter = now + connectionLimitDelay;
        return;
    }
    // A database counts the connections of a failed proxy for some seconds. Until then, teams share
    // the connections that are open here.
    database.observedConnectionLimit = others;
    database.observedLimitUntil = now + connectionLimitDelay;
    scheduleReview(now);
}

void SessionEngine::recordConnectionFailure(Database &database, Core::Instant now)
{
    if (database.failingSince == Core::Instant())
        database.failingSince = now;
    ++database.failures;
    // A single broken connection is replaced at once, since the database may be healthy.
    if (database.failures > 1)
        database.openAfter = now + reopenDelay;
    scheduleReview(std::max(now, database.openAfter));
}

void SessionEngine::closeConnection(ConnectionId id, Core::Instant now)
{
    Connection &connection = connections_.at(id);
    const SessionId sessionId = connection.session;
    Group &group = groups_.at(connection.group);
    removeConnection(id);
    Session *session = findSession(sessionId);
    if (session && session->running && session->running->connection == id)
        handleConnectionLoss(*session, "the database connection was lost", now);
    else if (session && session->pinnedConnection == id)
        failLostTransaction(*session);
    releaseOldPrimary(group, now);
}

void SessionEngine::failLostTransaction(Session &session)
{
    // No statement is pending, so the caller gets the failure with its next statement.
    session.transaction = TransactionStage::Failed;
    session.pinnedConnection = 0;
    log(Importance::Always, "transaction_lost", {{"session", std::to_string(session.id)}});
}

void SessionEngine::removeConnection(ConnectionId id)
{
    const auto found = connections_.find(id);
    const Connection &connection = found->second;
    const auto pending = static_cast<unsigned>(connection.pendingReplies.size());
    if (Database *database = findDatabase(connection.database)) {
        database->outstanding -= std::min(database->outstanding, pending);
        database->connections.erase(id);
    }
    if (!connection.isChannel())
        actions_.emplace_back(CloseConnection{id});
    if (connection.isChannel() && pending > 0)
        poolers_.onStatementFinished(connection.pooler);
    // A channel with neither was closed by its last reply.
    if (connection.isChannel() && (pending > 0 || connection.isInTransaction))
        actions_.emplace_back(CloseChannel{connection.pooler, id});
    connections_.erase(found);
}

void SessionEngine::release(Connection &connection, Core::Instant now)
{
    VERIFY(!connection.isInTransaction && connection.pendingReplies.empty());
    if (connection.isChannel()) {
        Group &group = groups_.at(connection.group);
        removeConnection(connection.id);
        releaseOldPrimary(group, now);
        dispatch(group, now);
        return;
    }
    const Database &database = databases_.at(connection.database);
    connection.session = 0;
    connection.enter(Connection::State::Idle, now);
    Group &group = groups_.at(connection.group);
    releaseOldPrimary(group, now);
    if (database.isDelisted || database.entry.availability == DatabaseAvailability::Draining) {
        if (group.primary != connection.database) {
            removeConnection(connection.id);
            return;
        }
    }
    serveStatusQueries(now);
    dispatch(group, now);
}

void SessionEngine::recycle(Connection &connection, Core::Instant now)
{
    connection.session = 0;
    if (connection.isChannel()) {
        Group &group = groups_.at(connection.group);
        removeConnection(connection.id);
        releaseOldPrimary(group, now);
        return;
    }
    if (!connection.pendingReplies.empty()
        && connection.pendingReplies.back().purpose != ReplyPurpose::Cleanup) {
        // It is cleaned up when the reply arrives; reviewConnections() limits the wait to
        // cleanupTimeout.
        connection.enter(Connection::State::CleaningUp, now);
        return;
    }
    if (!connection.isInTransaction) {
        release(connection, now);
        return;
    }
    connection.enter(Connection::State::CleaningUp, now);
    Statement rollback;
    rollback.kind = StatementKind::Rollback;
    send(connection, ReplyPurpose::Cleanup, std::move(rollback), {}, now);
}

void SessionEngine::sessionClosed(SessionId id, Core::Instant now)
{
    Session *session = findSession(id);
    if (!session)
        return;
    Connection *connection =
        findConnection(session->running ? session->running->connection : session->pinnedConnection);
    if (session->route)
        std::erase(groupOf(*session).queue, id);
    returnAdmission(*session);
    sessions_.erase(id);
    if (connection && connection->session == id)
        recycle(*connection, now);
}

void SessionEngine::terminateSession(Session &session, Failure failure, std::string text,
                                     Core::Instant now)
{
    const SessionId id = session.id;
    closeSession(session, failure, std::move(text));
    sessionClosed(id, now);
}

void SessionEngine::closeSession(Session &session, std::optional<Failure> failure, std::string text)
{
    if (session.isCloseRequested)
        return;
    log(failure ? Importance::Always : Importance::Sampled, "session_ended",
        {{"session", std::to_string(session.id)},
         {"team", session.team.value()},
         {"database_name", session.databaseName},
         {"failure", failure ? std::string(toString(*failure)) : "none"},
         {"configuration", std::to_string(table_->version)}});
    // The session is removed by sessionClosed(), once the caller's connection is closed.
    session.isDraining = true;
    session.isCloseRequested = true;
    session.clearPipelined();
    actions_.emplace_back(EndSession{session.id, failure, std::move(text)});
}

void SessionEngine::queryStatus(const Core::DatabaseName &database, Core::Instant now)
{
    if (std::ranges::find(statusQueries_, database) == statusQueries_.end())
        statusQueries_.push_back(database);
    serveStatusQueries(now);
}

void SessionEngine::serveStatusQueries(Core::Instant now)
{
    std::erase_if(statusQueries_, [&](const Core::DatabaseName &name) {
        Database *database = findDatabase(name);
        if (!database || database->isDelisted)
            return true;
        for (const ConnectionId id : database->connections) {
            Connection &connection = connections_.at(id);
            if (connection.state == Connection::State::Opening)
                return false;
            if (connection.state != Connection::State::Idle)
                continue;
            connection.enter(Connection::State::InUse, now);
            Statement status;
            status.kind = StatementKind::Status;
            send(connection, ReplyPurpose::Status, std::move(status), {}, now);
            return true;
        }
        openFor(*database, Core::TeamName(), evictionWaitTime, now);
        return false;
    });
}

} // namespace Chervilpin::Sessions
