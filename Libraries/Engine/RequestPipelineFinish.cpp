#include <Engine/RequestPipeline.h>
#include <Route/Containment.h>

#include <algorithm>

/// The filters of the pipeline that confirm and answer, and the ends of transactions.
namespace Chervilpin::Engine {

void RequestPipeline::delivered(Request &request, GroupRuntime &group, Core::Instant now)
{
    if (request.isInTransaction())
        deliveredInTransaction(request, group, now);
    else if (request.caller.kind == RequestKind::Begin)
        beginDelivered(request, now);
    else if (request.isRead())
        deliveredRead(request, group, now);
    else
        confirm(request, group, Confirm::ConfirmationKind::Write, now);
}

void RequestPipeline::deliveredRead(Request &request, GroupRuntime &group, Core::Instant now)
{
    const OpenAttempt &attempt = *request.delivered;
    const auto verdict = Route::verifyRead(attempt.target.demand, request.answer.status,
                                           attempt.asked, group.view, now);
    if (verdict == Route::ReadVerdict::Release) {
        releaseRead(request, now);
        return;
    }
    if (verdict == Route::ReadVerdict::Confirm) {
        confirm(request, group, Confirm::ConfirmationKind::StrongRead, now);
        return;
    }
    auto context = retryContext(request, now);
    apply(request, request.attempts->rejected(attempt.id, context, now), now);
}

void RequestPipeline::releaseRead(Request &request, Core::Instant now)
{
    // A strong read covers the session's earlier writes, so that its next read needs no sample.
    const Route::ReadDemand &demand = request.delivered->target.demand;
    if (demand.freshness == Freshness::Strong)
        request.token.advance(request.group, Route::coveredMark(demand, request.answer.status));
    finishDone(request, now);
}

void RequestPipeline::deliveredInTransaction(Request &request, GroupRuntime &group,
                                             Core::Instant now)
{
    if (request.caller.kind == RequestKind::Commit)
        confirm(request, group, Confirm::ConfirmationKind::Write, now);
    else
        finishDone(request, now);
}

void RequestPipeline::beginDelivered(Request &request, Core::Instant now)
{
    const OpenAttempt &attempt = *request.delivered;
    Transaction transaction;
    transaction.name = request.beginName;
    transaction.team = request.team;
    transaction.keyId = request.keyId;
    transaction.group = request.group;
    transaction.database = attempt.database;
    transaction.connection = attempt.connection;
    transaction.term = attempt.target.term;
    transaction.lastUsed = now;
    transactions_.add(transaction);
    const auto mark = request.token.demandedMark(request.group);
    if (mark && !Route::contains(request.answer.status.held, *mark)) {
        // A superseded primary; the session's own writes are elsewhere.
        rollBack(*transactions_.find(request.beginName), now);
        request.beginName.clear();
        auto context = retryContext(request, now);
        apply(request, request.attempts->rejected(attempt.id, context, now), now);
        return;
    }
    if (request.cutAt)
        rollBack(*transactions_.find(request.beginName), now);
    finishDone(request, now);
}

void RequestPipeline::confirm(Request &request, GroupRuntime &group, Confirm::ConfirmationKind kind,
                              Core::Instant now)
{
    enter(request, Stage::Confirm, now);
    const OpenAttempt &attempt = *request.delivered;
    const bool isWrite = kind == Confirm::ConfirmationKind::Write;
    Confirm::Confirmable waiting;
    waiting.id = nextConfirmation_++;
    waiting.kind = kind;
    waiting.database = attempt.database;
    waiting.term = isWrite ? attempt.target.term : attempt.target.demand.term;
    waiting.mark = request.answer.status.held;
    waiting.since = isWrite ? node_.stamps.next(now) : request.arrived;
    waiting.deadline = request.deadline;
    group.confirming[waiting.id] = request.caller.id;
    group.tracker.track(waiting, now);
    node_.changedGroups.insert(request.group);
}

void RequestPipeline::reviewConfirmations(GroupRuntime &group, Core::Instant now)
{
    const auto takeRequest = [&](Confirm::ConfirmationId id) -> Request * {
        const auto entry = group.confirming.extract(id);
        return entry.empty() ? nullptr : find(entry.mapped());
    };
    const auto result = group.tracker.review(group.view, now);
    for (const auto id : result.confirmed) {
        if (Request *request = takeRequest(id))
            confirmed(*request, now);
    }
    for (const auto id : result.superseded) {
        if (Request *request = takeRequest(id))
            notConfirmed(*request, now);
    }
    for (const auto id : result.timedOut) {
        if (Request *request = takeRequest(id))
            confirmationTimedOut(*request, now);
    }
    for (const auto &needed : group.tracker.neededQueries(group.view, now)) {
        const auto connection = node_.connections.anyOpen(needed.database);
        const bool isSent = connection
            && node_.send(*connection, needed.query, ConfirmPurpose(), Execute::Sharing::Pipelined,
                          now);
        if (!isSent)
            group.tracker.queryEnded(needed.database, Confirm::QueryEnd::Failed, now);
    }
}

void RequestPipeline::confirmed(Request &request, Core::Instant now)
{
    if (request.isWriteLike()) {
        request.token.advance(request.group, request.answer.status.held);
        finishDone(request, now);
        return;
    }
    const OpenAttempt &attempt = *request.delivered;
    const auto verdict = Route::verifyRead(attempt.target.demand, request.answer.status,
                                           attempt.asked, groupOf(request).view, now);
    if (verdict == Route::ReadVerdict::Reject)
        notConfirmed(request, now);
    else
        releaseRead(request, now);
}

void RequestPipeline::notConfirmed(Request &request, Core::Instant now)
{
    if (!request.isRead()) {
        confirmationTimedOut(request, now);
        return;
    }
    auto context = retryContext(request, now);
    apply(request, request.attempts->rejected(request.delivered->id, context, now), now);
}

void RequestPipeline::confirmationTimedOut(Request &request, Core::Instant now)
{
    CallerAnswer answer;
    answer.outcome = Core::Outcome::Unknown;
    answer.reason = RefusalReason::AnswerLost;
    answer.message = "it ran, but it could not be proved that its effect is kept";
    finish(request, std::move(answer), now);
}

void RequestPipeline::finishDone(Request &request, Core::Instant now)
{
    CallerAnswer answer;
    answer.outcome = Core::Outcome::Done;
    answer.rows = std::move(request.answer.rows);
    answer.transaction = request.beginName;
    if (request.isRead() && request.delivered) {
        const bool isPrimary = request.answer.status.role == Upstream::Role::Primary;
        node_.outbox.count("chervilpin_reads_total",
                           isPrimary ? "role=\"primary\"" : "role=\"replica\"");
    }
    finish(request, std::move(answer), now);
}

void RequestPipeline::refuse(Request &request, const Refusal &refusal, Core::Instant now)
{
    CallerAnswer answer;
    answer.outcome = Core::Outcome::NotRun;
    answer.reason = refusal.reason;
    answer.message = refusal.message;
    answer.retryAfter = refusal.retryAfter;
    answer.location = refusal.location;
    finish(request, std::move(answer), now);
}

void RequestPipeline::finish(Request &request, CallerAnswer answer, Core::Instant now)
{
    const RequestId id = request.caller.id;
    answer.id = id;
    answer.traceId = request.trace.traceId;
    answer.sessionToken = request.token.encode();
    if (request.trace.isSampled) {
        enter(request, request.stage, now);
        request.hops.push_back({"request", request.trace.spanId, request.callerSpanId,
                                request.arrived.at, now,
                                std::string(Core::toString(answer.outcome))});
        node_.outbox.push(RecordTrace{request.trace.traceId, std::move(request.hops)});
    }
    if (request.isTakenFromQueue)
        groupOf(request).queue(request.caller.kind).finished(ticketTeam(request));
    const std::string transactionName = request.caller.transaction;
    wakeups_.erase({request.deadline, id});
    requests_.erase(id);
    node_.outbox.push(AnswerCaller{std::move(answer)});
    Transaction *transaction = transactions_.find(transactionName);
    if (transaction && transaction->running == id) {
        const bool isStillRunning = isStatementOutstanding(*transaction);
        if (!isStillRunning)
            statementOfTransactionEnded(*transaction, true, now);
        else
            transaction->isCut = true;
    }
}

void RequestPipeline::statementOfTransactionEnded(Transaction &transaction, bool isStillOpen,
                                                  Core::Instant now)
{
    transaction.running.reset();
    transaction.lastUsed = now;
    if (!isStillOpen)
        transactions_.remove(transaction.name);
    else if (transaction.isCut)
        rollBack(transaction, now);
}

bool RequestPipeline::isStatementOutstanding(const Transaction &transaction) const
{
    return node_.connections.owesStatement(transaction.connection);
}

void RequestPipeline::rollBack(Transaction &transaction, Core::Instant now)
{
    if (transaction.running) {
        transaction.isCut = true;
        return;
    }
    Outstanding place;
    place.connection = transaction.connection;
    place.group = transaction.group;
    place.database = transaction.database;
    const Core::Term term = transaction.term;
    transactions_.remove(std::string(transaction.name));
    sendRollback(place, term, now);
}

void RequestPipeline::rollBackOrphan(const Outstanding &outstanding, Core::Instant now)
{
    const GroupRuntime *group = node_.findGroup(outstanding.group);
    const auto primary = group ? group->view.primary() : std::nullopt;
    sendRollback(outstanding, primary ? primary->term : 0, now);
}

void RequestPipeline::sendRollback(const Outstanding &place, Core::Term term, Core::Instant now)
{
    GroupRuntime *group = node_.findGroup(place.group);
    DatabaseRuntime *database = group ? group->find(place.database) : nullptr;
    const Connection *connection = node_.connections.find(place.connection);
    const bool isUsable = database && connection && connection->generation
        && database->pool.resume(*connection->generation, now);
    if (!isUsable)
        return;
    Upstream::Statement rollback;
    rollback.kind = Upstream::StatementKind::Rollback;
    rollback.term = term;
    if (node_.send(place.connection, rollback, RollbackPurpose(), Execute::Sharing::Exclusive, now))
        database->limit.started();
}

} // namespace Chervilpin::Engine
