#include <Sessions/SessionEngine.h>

#include <Sessions/Timing.h>

#include <algorithm>
#include <utility>

/// Replies of databases and answers to callers.
namespace Chervilpin::Sessions {

namespace {

/// Weight of the newest sample in the moving average of the service time.
constexpr double serviceWeight = 0.15;

TransactionState stateOf(const Session &session)
{
    switch (session.transaction) {
    case TransactionStage::None:
        return TransactionState::None;
    case TransactionStage::Failed:
        return TransactionState::Failed;
    default:
        return TransactionState::Open;
    }
}

constexpr std::string_view doneOutcome = "done";

CountOutcome outcomeOf(const Operation &operation, std::optional<Failure> failure,
                       Core::Instant now)
{
    CountOutcome outcome;
    outcome.outcome = failure ? toString(*failure) : doneOutcome;
    outcome.isOnReplica = operation.isOnReplica;
    outcome.reach = Placement::toString(operation.reach);
    outcome.time = now - operation.arrived;
    outcome.queued = operation.firstSentAt.value_or(now) - operation.arrived;
    return outcome;
}

} // namespace

void SessionEngine::reply(ConnectionId id, DatabaseReply reply, Core::Instant now)
{
    Connection *connection = findConnection(id);
    if (!connection || connection->pendingReplies.empty())
        return;
    const Connection::PendingReply pending = connection->pendingReplies.front();
    connection->pendingReplies.pop_front();
    updateFromReply(*connection, reply, pending, now);
    switch (pending.purpose) {
    case ReplyPurpose::Setup:
        setupReplied(*connection, reply, now);
        break;
    case ReplyPurpose::Begin:
        beginReplied(*connection, reply, now);
        break;
    case ReplyPurpose::Caller:
        callerReplied(*connection, reply, pending, now);
        break;
    case ReplyPurpose::Cleanup:
        cleanupReplied(*connection, reply, now);
        break;
    case ReplyPurpose::Status:
        if (reply.status) {
            reply.status->queriedAt = pending.sentAt;
            actions_.emplace_back(ReportStatus{connection->database, *reply.status});
        }
        release(*connection, now);
        break;
    }
}

void SessionEngine::updateFromReply(Connection &connection, const DatabaseReply &reply,
                                    const Connection::PendingReply &pending, Core::Instant now)
{
    Database *database = findDatabase(connection.database);
    Group &group = groups_.at(connection.group);
    if (!database)
        return;
    database->outstanding -= std::min(database->outstanding, 1U);
    database->lastReply = now;
    database->failingSince = Core::Instant();
    database->failures = 0;
    database->unsentSince = Core::Instant();
    if (pending.purpose == ReplyPurpose::Caller) {
        const auto time = static_cast<double>((now - pending.sentAt).milliseconds());
        auto &smoothed = database->serviceMilliseconds;
        smoothed = smoothed == 0 ? time : smoothed + serviceWeight * (time - smoothed);
    }
    if (!reply.mark)
        return;
    database->lastKnownMark = *reply.mark;
    group.highestMark = std::max(group.highestMark, *reply.mark);
    const bool isPrimary = group.primary == connection.database;
    if (isPrimary && pending.sentAt >= group.primarySince && group.mayUsePrimary(pending.sentAt))
        group.freshness.add(pending.sentAt, *reply.mark);
    if (!isPrimary)
        database->lag = group.freshness.ageOf(*reply.mark, now);
}

void SessionEngine::setupReplied(Connection &connection, const DatabaseReply &reply,
                                 Core::Instant now)
{
    Session *session = findSession(connection.session);
    if (reply.failure) {
        // The state of the connection is unknown now.
        log(Importance::Always, "setup_failed",
            {{"database", connection.database.value()},
             {"failure", std::string(toString(*reply.failure))}});
        closeConnection(connection.id, now);
        return;
    }
    if (!connection.pendingReplies.empty())
        return;
    if (session && session->running && session->running->connection == connection.id)
        proceed(*session, now);
    else
        recycle(connection, now);
}

void SessionEngine::beginReplied(Connection &connection, const DatabaseReply &reply,
                                 Core::Instant now)
{
    Session *session = findSession(connection.session);
    if (!reply.failure)
        connection.isInTransaction = true;
    if (!session || !session->running || session->running->connection != connection.id) {
        recycle(connection, now);
        return;
    }
    if (reply.failure) {
        const Failure failure = *reply.failure;
        release(connection, now);
        if (!retry(*session, failure, now))
            fail(*session, failure, "the transaction could not begin: " + reply.failureText, now);
        return;
    }
    session->transaction = TransactionStage::Open;
    session->pinnedConnection = connection.id;
    proceed(*session, now);
}

void SessionEngine::callerReplied(Connection &connection, DatabaseReply &reply,
                                  const Connection::PendingReply &, Core::Instant now)
{
    connection.isInTransaction = reply.state != TransactionState::None;
    Session *session = findSession(connection.session);
    if (!session || !session->running || session->running->connection != connection.id) {
        recycle(connection, now);
        return;
    }
    const bool isSingle = session->transaction == TransactionStage::None;
    if (reply.failure && isSingle && retry(*session, *reply.failure, now)) {
        release(connection, now);
        return;
    }
    const bool mayHaveCommitted = mayCommitWrites(*session);
    Group &group = groupOf(*session);
    if (!reply.failure && mayHaveCommitted && !group.mayConfirm(connection.database, now)) {
        // Another database may be the primary by now, and the commit may be lost with this one.
        log(Importance::Always, "success_withheld",
            {{"id", session->running->statement.id},
             {"database", connection.database.value()},
             {"revision", std::to_string(group.revision)}});
        reply.body.clear();
        reply.failure = Failure::InDoubt;
        reply.failureText = "the primary may have been replaced before the commit";
    }
    if (!reply.failure && mayHaveCommitted && reply.mark)
        session->lastCommitMark = std::max(session->lastCommitMark, *reply.mark);
    if (!connection.isInTransaction) {
        session->pinnedConnection = 0;
        session->transaction = TransactionStage::None;
        release(connection, now);
    } else if (isSingle) {
        closeConnection(connection.id, now);
    }
    finish(*session, std::move(reply), now);
}

bool SessionEngine::mayCommitWrites(const Session &session) const
{
    const Statement &statement = session.running->statement;
    if (session.transaction != TransactionStage::None)
        return statement.kind == StatementKind::Commit && session.beginKind == StatementKind::Begin;
    if (statement.kind == StatementKind::Execute) {
        const PreparedShape *shape = session.state.findPrepared(statement.name);
        return !shape || shape->access == Access::Write;
    }
    return statement.kind != StatementKind::Read;
}

void SessionEngine::cleanupReplied(Connection &connection, const DatabaseReply &reply,
                                   Core::Instant now)
{
    connection.isInTransaction = reply.state != TransactionState::None;
    if (connection.isInTransaction)
        closeConnection(connection.id, now);
    else
        release(connection, now);
}

bool SessionEngine::retry(Session &session, Failure failure, Core::Instant now)
{
    Operation &operation = *session.running;
    const bool isRetryableElsewhere =
        failure == Failure::Busy || failure == Failure::Lagging || failure == Failure::ReadOnly;
    const bool isRetryableHere = failure == Failure::UnknownPrepared;
    if (!isRetryableElsewhere && !isRetryableHere)
        return false;
    // There is no alternative to the primary, and a forwarded statement is retried by the proxy
    // that has the caller. In both cases the database's reply is passed on.
    if (isRetryableElsewhere && (!operation.isOnReplica || session.forwarded))
        return false;
    if (operation.attempts >= maximumAttempts || now >= operation.deadline)
        return false;
    if (isRetryableElsewhere)
        operation.excludedDatabases.push_back(operation.database);
    requeue(session, now);
    return true;
}

void SessionEngine::requeue(Session &session, Core::Instant now)
{
    Operation &operation = *session.running;
    log(Importance::Sampled, "statement_requeued",
        {{"id", operation.statement.id},
         {"database", operation.database.value()},
         {"attempts", std::to_string(operation.attempts)}});
    operation.stage = Operation::Stage::Queued;
    operation.connection = 0;
    operation.queueDeadline = std::min(operation.deadline, now + queueTimeout(*session.route));
    wakeAt(session.id, operation.queueDeadline);
    Group &group = groupOf(session);
    // It has already waited, so it goes to the front. It is dispatched by the next review or reply,
    // since the caller of this function still uses the connection.
    group.queue.insert(group.queue.begin(), session.id);
    scheduleReview(now);
}

void SessionEngine::finish(Session &session, DatabaseReply reply, Core::Instant now)
{
    answer(session, std::move(reply), now);
    if (session.transaction == TransactionStage::None)
        operationEnded(session, now);
}

void SessionEngine::fail(Session &session, Failure failure, std::string text, Core::Instant now)
{
    if (session.running) {
        Group &group = groupOf(session);
        std::erase(group.queue, session.id);
    }
    if (session.transaction != TransactionStage::None)
        session.transaction = TransactionStage::Failed;
    session.pinnedConnection = 0;
    answer(session, {{}, failure, std::move(text)}, now);
}

void SessionEngine::answer(Session &session, DatabaseReply reply, Core::Instant now)
{
    const bool isStateFromDatabase =
        session.transaction == TransactionStage::Open && session.running.has_value();
    reply.state = isStateFromDatabase ? reply.state : stateOf(session);
    if (session.forwarded) {
        answerForwarded(session, std::move(reply), now);
        return;
    }
    AnswerSession answered;
    answered.session = session.id;
    answered.body = std::move(reply.body);
    answered.failure = reply.failure;
    answered.text = std::move(reply.failureText);
    answered.mark = reply.mark;
    answered.state = reply.state;
    if (session.running) {
        CountOutcome outcome = outcomeOf(*session.running, reply.failure, now);
        // The log line of a successful statement is not built if sampling would drop it.
        if (reply.failure || sampling_ == Sampling::Open)
            logEnded(session, "statement_ended", outcome, answered.text);
        else
            ++sampledLinesSkipped_;
        actions_.emplace_back(std::move(outcome));
    }
    session.running.reset();
    session.lastActive = now;
    if (session.transaction == TransactionStage::Open)
        wakeAt(session.id, now + table_->transactionIdleTimeout);
    actions_.emplace_back(std::move(answered));
    startNext(session, now);
}

void SessionEngine::answerForwarded(Session &session, DatabaseReply reply, Core::Instant now)
{
    ForwardedReply answered;
    if (session.running) {
        const Operation &operation = *session.running;
        answered.progress =
            operation.isExecuting() ? ForwardedProgress::Sent : ForwardedProgress::NotSent;
        if (reply.failure || sampling_ == Sampling::Open)
            logEnded(session, "forwarded_ended", outcomeOf(operation, reply.failure, now),
                     reply.failureText);
        else
            ++sampledLinesSkipped_;
    }
    session.running.reset();
    answered.load = poolerLoad(session);
    session.lastActive = now;
    // The idle timeout of the transaction is enforced by the proxy that has the caller.
    answered.reply = std::move(reply);
    actions_.emplace_back(AnswerForwarded{session.id, std::move(answered)});
}

void SessionEngine::logEnded(const Session &session, std::string name, const CountOutcome &outcome,
                             const std::string &text)
{
    const Operation &operation = *session.running;
    const bool isFailure = outcome.outcome != doneOutcome;
    log(isFailure ? Importance::Always : Importance::Sampled, std::move(name),
        {{"id", operation.statement.id},
         {"session", std::to_string(session.id)},
         {"team", session.team.value()},
         {"route", session.route->name.value()},
         {"database", operation.database.value()},
         {"outcome", outcome.outcome},
         {"text", text},
         {"attempts", std::to_string(operation.attempts)},
         {"ms", std::to_string(outcome.time.milliseconds())},
         {"queued_ms", std::to_string(outcome.queued.milliseconds())},
         {"configuration", std::to_string(table_->version)}});
}

void SessionEngine::startNext(Session &session, Core::Instant now)
{
    // A statement that is answered at once leads back here. Starting the next one in a loop keeps
    // the stack from growing with the number of statements that a caller has sent.
    if (std::exchange(session.isStartingNext, true))
        return;
    while (!session.pipelined.empty() && !session.isBusy()) {
        start(session, session.popPipelined(), now);
    }
    session.isStartingNext = false;
}

void SessionEngine::operationEnded(Session &session, Core::Instant)
{
    const bool isIdle = !session.isBusy() && session.transaction == TransactionStage::None
        && session.pipelined.empty();
    if (session.isDraining && isIdle)
        closeSession(session, {}, {});
}

void SessionEngine::handleConnectionLoss(Session &session, const char *why, Core::Instant now)
{
    Operation &operation = *session.running;
    const bool isCommit = operation.statement.kind == StatementKind::Commit;
    const bool isOpen = session.transaction == TransactionStage::Open;
    if (isOpen && !(isCommit && operation.isExecuting() && mayCommitWrites(session))) {
        // The database rolls back the transaction when its connection is closed.
        fail(session, Failure::Aborted, std::string("the transaction was rolled back: ") + why,
             now);
        return;
    }
    if (!isOpen && (!operation.isExecuting() || !mayCommitWrites(session))) {
        if (operation.attempts < maximumAttempts && now < operation.deadline) {
            requeue(session, now);
            return;
        }
        fail(session, Failure::Aborted, why, now);
        return;
    }
    session.transaction = TransactionStage::None;
    session.pinnedConnection = 0;
    answer(session, {{}, Failure::InDoubt, why}, now);
    operationEnded(session, now);
}

} // namespace Chervilpin::Sessions
