#include <Sessions/SessionEngine.h>

#include <Sessions/Timing.h>

#include <algorithm>

/// Statements of callers, up to the queue.
namespace Chervilpin::Sessions {

namespace {

bool isEndOfTransaction(StatementKind kind)
{
    return kind == StatementKind::Commit || kind == StatementKind::Rollback;
}

bool isAnsweredLocally(StatementKind kind)
{
    switch (kind) {
    case StatementKind::SetValue:
    case StatementKind::Prepare:
    case StatementKind::Deallocate:
    case StatementKind::Malformed:
    case StatementKind::Reset:
    case StatementKind::Status:
        return true;
    default:
        return false;
    }
}

} // namespace

void SessionEngine::sessionOpened(SessionId id, std::string_view databaseName, std::string_view key,
                                  Core::Instant now)
{
    Session &session = sessions_[id];
    session.id = id;
    session.databaseName = databaseName;
    session.key = key;
    session.lastActive = now;
    if (!resolveRoute(session, now))
        return;
    session.isDraining = isStopping_;
    actions_.emplace_back(AcceptSession{id});
}

bool SessionEngine::resolveRoute(Session &session, Core::Instant)
{
    if (!isConfigured()) {
        closeSession(session, Failure::Busy, "no configuration is known yet; try again in 1 s");
        return false;
    }
    session.route = table_->findRoute(session.databaseName);
    if (!session.route) {
        closeSession(session, Failure::UnknownRoute, "no route has this database name");
        return false;
    }
    const Core::TeamName *team = table_->findTeam(session.key);
    if (!team && !session.route->isOpenToAll) {
        closeSession(session, Failure::AuthenticationFailed, "the key is unknown or was withdrawn");
        return false;
    }
    session.team = team ? *team : Core::TeamName();
    return true;
}

void SessionEngine::statement(SessionId id, Statement statement, Core::Instant now)
{
    Session *session = findSession(id);
    if (!session || session->isCloseRequested)
        return;
    session->lastActive = now;
    if (session->isBusy()) {
        session->pushPipelined(std::move(statement));
        return;
    }
    start(*session, std::move(statement), now);
}

bool SessionEngine::isSaturated(SessionId id) const
{
    const auto found = sessions_.find(id);
    if (found == sessions_.end())
        return false;
    const Session &session = found->second;
    return session.pipelined.size() >= maximumPipelinedStatements
        || session.pipelinedBytes >= maximumPipelinedBytes;
}

void SessionEngine::start(Session &session, Statement statement, Core::Instant now)
{
    if (session.transaction == TransactionStage::Failed) {
        if (isEndOfTransaction(statement.kind))
            endFailedTransaction(session, statement, now);
        else
            answer(session, {{}, Failure::Malformed, "the transaction failed; roll it back"}, now);
        return;
    }
    if (isAnsweredLocally(statement.kind)) {
        answerLocally(session, statement, now);
        return;
    }
    if (session.transaction == TransactionStage::None) {
        if (isEndOfTransaction(statement.kind)) {
            answer(session, {{}, Failure::Malformed, "no transaction is open"}, now);
            return;
        }
        if (!resolveRoute(session, now))
            return;
        // What no database can serve must not use up the rate of its team.
        if (const auto reason =
                unservableReason(session, statement, groupOf(session), Probing::Check, now)) {
            refuseUnservable(session, statement, *reason, now);
            return;
        }
        if (!session.team.isEmpty()) {
            session.awaitingAdmission = std::move(statement);
            actions_.emplace_back(RequestAdmission{session.id, session.team});
            return;
        }
    }
    startOperation(session, std::move(statement), now);
}

void SessionEngine::startOperation(Session &session, Statement statement, Core::Instant now)
{
    if (statement.kind == StatementKind::Begin || statement.kind == StatementKind::BeginRead) {
        begin(session, statement, now);
        return;
    }
    if (statement.kind == StatementKind::Rollback) {
        rollBackTransaction(session, now);
        return;
    }
    if (statement.kind == StatementKind::Execute && !session.state.findPrepared(statement.name)) {
        answer(session, {{}, Failure::UnknownPrepared, "no prepared statement has this name"}, now);
        return;
    }
    if (session.transaction == TransactionStage::Open)
        runPinned(session, std::move(statement), now);
    else
        enqueue(session, std::move(statement), now);
}

void SessionEngine::answerLocally(Session &session, const Statement &statement, Core::Instant now)
{
    DatabaseReply reply;
    switch (statement.kind) {
    case StatementKind::SetValue:
        session.state.setValue(statement.name, statement.arguments);
        break;
    case StatementKind::Prepare:
        session.state.prepare(statement.name, {statement.access, statement.arguments});
        break;
    case StatementKind::Deallocate:
        if (!session.state.deallocate(statement.name)) {
            reply.failure = Failure::UnknownPrepared;
            reply.failureText = "no prepared statement has this name";
        }
        break;
    default:
        reply.failure = Failure::Malformed;
        reply.failureText = "the statement can't be understood";
        break;
    }
    answer(session, std::move(reply), now);
}

void SessionEngine::admitted(SessionId id, Core::Instant now)
{
    Session *session = findSession(id);
    if (!session || session->isCloseRequested || !session->awaitingAdmission)
        return;
    Statement statement = std::move(*session->awaitingAdmission);
    session->awaitingAdmission.reset();
    // The configuration may have changed since the statement arrived.
    if (resolveRoute(*session, now))
        startOperation(*session, std::move(statement), now);
}

void SessionEngine::returnAdmission(const Session &session)
{
    // A forwarded operation was admitted by the proxy that has the caller.
    if (session.forwarded)
        return;
    // Later statements of a transaction are never queued, so a queued one is the first of its
    // operation.
    const bool isUnsent = session.running && session.running->stage == Operation::Stage::Queued
        && !session.running->firstSentAt;
    if (isUnsent && !session.team.isEmpty())
        actions_.emplace_back(ReturnAdmission{session.team});
}

void SessionEngine::refused(SessionId id, const RateRefusal &refusal, Core::Instant now)
{
    Session *session = findSession(id);
    if (!session || session->isCloseRequested || !session->awaitingAdmission)
        return;
    const Statement statement = std::move(*session->awaitingAdmission);
    session->awaitingAdmission.reset();
    const std::string wait = std::to_string(refusal.retryAfter.milliseconds());
    log(Importance::Always, "refused_over_rate",
        {{"id", statement.id},
         {"session", std::to_string(id)},
         {"team", session->team.value()},
         {"configuration", std::to_string(table_->version)},
         {"rate", std::to_string(refusal.ratePerSecond)},
         {"decided_by", refusal.decidedBy},
         {"role", refusal.decider == RateDecider::Owner ? "owner" : "holder"},
         {"retry_after_ms", wait}});
    answer(*session, {{}, Failure::Busy, "the team is over its rate; try again in " + wait + " ms"},
           now);
    operationEnded(*session, now);
}

void SessionEngine::refuseUnservable(Session &session, const Statement &statement,
                                     std::string_view reason, Core::Instant now)
{
    const Group &group = groupOf(session);
    log(Importance::Always, "refused_unservable",
        {{"id", statement.id},
         {"session", std::to_string(session.id)},
         {"team", session.team.value()},
         {"route", session.route->name.value()},
         {"group", group.name.value()},
         {"primary", group.primary.value()},
         {"revision", std::to_string(group.revision)},
         {"configuration", std::to_string(table_->version)},
         {"text", std::string(reason)}});
    answer(session, {{}, Failure::Busy, std::string(reason)}, now);
    operationEnded(session, now);
}

void SessionEngine::begin(Session &session, const Statement &statement, Core::Instant now)
{
    if (session.transaction != TransactionStage::None) {
        answer(session, {{}, Failure::Malformed, "a transaction is open already"}, now);
        return;
    }
    // The transaction starts on a database together with its first statement, so that no connection
    // is held while the caller pauses.
    session.transaction = TransactionStage::Deferred;
    session.beginKind = statement.kind;
    answer(session, {}, now);
}

void SessionEngine::endFailedTransaction(Session &session, const Statement &statement,
                                         Core::Instant now)
{
    const bool isCommit = statement.kind == StatementKind::Commit;
    session.transaction = TransactionStage::None;
    DatabaseReply reply;
    if (isCommit) {
        reply.failure = Failure::Aborted;
        reply.failureText = "the transaction was rolled back";
    }
    answer(session, std::move(reply), now);
    operationEnded(session, now);
}

void SessionEngine::rollBackTransaction(Session &session, Core::Instant now)
{
    const bool isOpen = session.transaction == TransactionStage::Open;
    session.transaction = TransactionStage::None;
    if (Connection *connection = isOpen ? findConnection(session.pinnedConnection) : nullptr)
        recycle(*connection, now);
    session.pinnedConnection = 0;
    answer(session, {}, now);
    operationEnded(session, now);
}

void SessionEngine::enqueue(Session &session, Statement statement, Core::Instant now)
{
    Operation operation;
    operation.statement = std::move(statement);
    operation.arrived = now;
    operation.deadline = now + session.route->statementTimeout;
    operation.queueDeadline = now + queueTimeout(*session.route);
    session.running = std::move(operation);
    Group &group = groupOf(session);
    session.running->fairPosition = group.fairOrder.enter(session.team);
    insertByOrder(group, session);
    dispatch(group, now);
    if (!session.running || session.running->stage != Operation::Stage::Queued)
        return;
    wakeAt(session.id, session.running->queueDeadline);
    refuseIfUnmeetable(session, group, now);
}

void SessionEngine::runPinned(Session &session, Statement statement, Core::Instant now)
{
    Connection *connection = findConnection(session.pinnedConnection);
    if (!connection) {
        session.transaction = TransactionStage::Failed;
        answer(session, {{}, Failure::Aborted, "the database connection was lost"}, now);
        return;
    }
    Operation operation;
    operation.statement = std::move(statement);
    operation.arrived = now;
    operation.deadline = now + session.route->statementTimeout;
    operation.queueDeadline = operation.deadline;
    operation.firstSentAt = now;
    operation.connection = connection->id;
    operation.database = connection->database;
    operation.isOnReplica = groupOf(session).primary != connection->database;
    session.running = std::move(operation);
    proceed(session, now);
    wakeAt(session.id, session.running->deadline);
}

} // namespace Chervilpin::Sessions
