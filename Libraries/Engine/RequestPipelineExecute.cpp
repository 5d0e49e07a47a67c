#include <Core/Overloaded.h>
#include <Core/Verify.h>
#include <Engine/RequestPipeline.h>

#include <algorithm>

/// The filters of the pipeline that choose a database, borrow a connection and run a statement.
namespace Chervilpin::Engine {

namespace {

using namespace Core::Literals;

/// Told to the database, which rolls back on its own should this proxy vanish.
constexpr Core::Duration databaseTransactionIdle = 15_s;
/// How long a request waits for a primary, such as during a failover, before it is refused.
constexpr Core::Duration longestPrimaryWait = 3_s;
/// How often a request that waits for a primary looks again.
constexpr Core::Duration primaryPoll = 20_ms;
constexpr Core::Duration borrowPoll = 100_ms;

Upstream::StatementKind toStatementKind(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Read:
        return Upstream::StatementKind::Read;
    case RequestKind::Write:
        return Upstream::StatementKind::Write;
    case RequestKind::Begin:
        return Upstream::StatementKind::Begin;
    case RequestKind::Commit:
        return Upstream::StatementKind::Commit;
    case RequestKind::Rollback:
        return Upstream::StatementKind::Rollback;
    }
    return Upstream::StatementKind::Read;
}

std::string transactionOf(const Request &request)
{
    return request.beginName.empty() ? request.caller.transaction : request.beginName;
}

Upstream::Statement statementFor(const Request &request, const Route::SendTo &target)
{
    Upstream::Statement statement;
    statement.term = target.term;
    statement.kind = toStatementKind(request.caller.kind);
    statement.text = request.caller.statement;
    statement.atLeast = target.atLeast;
    statement.wait = target.wait;
    statement.transaction = transactionOf(request);
    statement.transactionIdle = databaseTransactionIdle;
    Trace::TraceContext context = request.trace;
    context.spanId = request.stageSpanId;
    statement.traceparent = context.traceparent();
    return statement;
}

Route::RouteRequest routeRequestFor(const Request &request)
{
    Route::RouteRequest wanted;
    wanted.kind = request.caller.kind;
    wanted.freshness = request.caller.freshness;
    wanted.tokenMark = request.token.demandedMark(request.group);
    wanted.maximumAge = request.caller.maximumAge;
    wanted.arrived = request.arrived;
    wanted.deadline = request.deadline;
    return wanted;
}

/// Whether the transaction is still open on its connection after this answer.
bool staysPinned(const StatementPurpose &purpose, const Upstream::Answer &answer)
{
    if (purpose.transaction.empty() || answer.reason == Upstream::Reason::NoTransaction)
        return false;
    if (purpose.kind == RequestKind::Begin)
        return answer.verdict == Upstream::Verdict::Done;
    return purpose.kind == RequestKind::Read || purpose.kind == RequestKind::Write;
}

} // namespace

void RequestPipeline::route(Request &request, Core::Instant now)
{
    GroupRuntime &group = groupOf(request);
    enter(request, Stage::Route, now);
    Route::RouteRequest wanted = routeRequestFor(request);
    wanted.excluded = request.excluded;
    for (const auto &[name, database] : group.databases) {
        if (database.settings.isLeaving && request.isRead())
            wanted.excluded.push_back(name);
    }
    const auto decision = router_.route(wanted, group.view, now);
    const Core::Overloaded follow{
        [&](const Route::SendTo &target) {
            if (request.isWriteLike() && !group.isOwnerKnown(target.term)) {
                waitForPrimary(request, {RefusalReason::NoPrimary, {}}, now);
                return;
            }
            request.target = target;
            borrow(request, group, now);
        },
        [&](const Route::AwaitSample &) {
            waitForSample(request, group);
            askForSample(group, now);
        },
        [&](const Route::Refuse &refusal) { waitForPrimary(request, refusal, now); },
    };
    std::visit(follow, decision);
}

void RequestPipeline::waitForPrimary(Request &request, const Route::Refuse &refusal,
                                     Core::Instant now)
{
    // The router has already looked for a database that is fresh enough; only a primary can come.
    const bool mayChange = refusal.reason == RefusalReason::NoPrimary;
    const Core::Instant end = std::min(request.arrived.at + longestPrimaryWait, request.deadline);
    if (!mayChange || now + primaryPoll >= end) {
        apply(request, request.attempts->refused(refusal.reason, refusal.retryAfter, now), now);
        return;
    }
    // Databases that failed it may be the only ones that can serve it once a primary is known.
    request.excluded.clear();
    enter(request, Stage::Retry, now);
    request.retryAt = now + primaryPoll;
    wakeAt(request, request.retryAt);
}

void RequestPipeline::waitForSample(Request &request, GroupRuntime &group)
{
    group.sampling.push_back(request.caller.id);
}

void RequestPipeline::askForSample(GroupRuntime &group, Core::Instant now)
{
    if (group.isSampleOutstanding)
        return;
    const auto primary = group.view.primary();
    const auto connection = primary ? node_.connections.anyOpen(primary->database) : std::nullopt;
    if (!connection)
        return;
    group.isSampleOutstanding = node_
                                    .send(*connection, Upstream::StatusQuery(), SamplePurpose(),
                                          Execute::Sharing::Pipelined, now)
                                    .has_value();
}

void RequestPipeline::sampleAgain(GroupRuntime &group, Core::Instant now)
{
    askForSample(group, now);
    // With nobody to ask, the reads are routed again, which waits for a primary or refuses them.
    if (!group.isSampleOutstanding)
        sampleEnded(group, now);
}

void RequestPipeline::sampleEnded(GroupRuntime &group, Core::Instant now)
{
    group.isSampleOutstanding = false;
    const auto waiting = std::exchange(group.sampling, {});
    for (const RequestId id : waiting) {
        Request *request = find(id);
        if (request && request->stage == Stage::Route)
            route(*request, now);
    }
}

void RequestPipeline::borrow(Request &request, GroupRuntime &group, Core::Instant now)
{
    enter(request, Stage::Borrow, now);
    DatabaseRuntime *database = group.find(request.target->database);
    if (!database) {
        auto context = retryContext(request, now);
        apply(request, request.attempts->notSent(request.target->database, context, now), now);
        return;
    }
    database->waiting.push_back(request.caller.id);
    wakeAt(request, now + borrowPoll);
    serveWaiting(group, now);
}

void RequestPipeline::serveWaiting(GroupRuntime &group, Core::Instant now)
{
    for (auto &[name, database] : group.databases) {
        while (!database.waiting.empty() && database.hasRoom()) {
            Request *request = find(database.waiting.front());
            database.waiting.pop_front();
            if (!request || request->stage != Stage::Borrow)
                continue;
            if (!lendAndSend(*request, group, database, *request->target, now)) {
                auto context = retryContext(*request, now);
                apply(*request, request->attempts->notSent(name, context, now), now);
            }
        }
    }
}

bool RequestPipeline::lendAndSend(Request &request, GroupRuntime &group, DatabaseRuntime &database,
                                  const Route::SendTo &target, Core::Instant now)
{
    const auto generation = database.pool.lend(now);
    if (!generation)
        return false;
    const auto connection = node_.connections.findPooled(target.database, *generation);
    if (connection && send(request, group, database, *connection, target, now))
        return true;
    // Lent and not used, it would count as busy for good.
    database.pool.abandoned(*generation, now);
    return false;
}

bool RequestPipeline::send(Request &request, GroupRuntime &group, DatabaseRuntime &database,
                           ConnectionId connection, const Route::SendTo &target, Core::Instant now)
{
    if (!node_.connections.isLendable(connection))
        return false;
    if (request.stage != Stage::Execute)
        enter(request, Stage::Execute, now);
    if (request.caller.kind == RequestKind::Begin && request.beginName.empty())
        request.beginName = Trace::TraceContext::createRoot(node_.random).traceId;
    const auto attempt = request.attempts->sent(target.database, now);
    const StatementPurpose purpose{request.caller.id, attempt, request.caller.kind,
                                   transactionOf(request)};
    const auto asked = node_.send(connection, statementFor(request, target), purpose,
                                  Execute::Sharing::Exclusive, now);
    // Nothing happened to the connection since it was found lendable.
    VERIFY(asked.has_value());
    database.limit.started();
    group.view.started(target.database, now);
    request.open.push_back({attempt, connection, target.database, target, *asked});
    if (request.isRead() && !request.isInTransaction())
        wakeAt(request, now + group.hedges.delay());
    return true;
}

void RequestPipeline::hedge(Request &request, Core::Instant now)
{
    if (request.isHedged || !request.attempts->mayHedge() || request.isInTransaction())
        return;
    if (request.open.size() != 1)
        return;
    GroupRuntime &group = groupOf(request);
    if (now - request.open.front().asked.at < group.hedges.delay() || !group.hedges.tryHedge(now))
        return;
    request.isHedged = true;
    Route::RouteRequest wanted = routeRequestFor(request);
    wanted.excluded = {request.open.front().database};
    const auto decision = router_.route(wanted, group.view, now);
    const auto *target = std::get_if<Route::SendTo>(&decision);
    DatabaseRuntime *database = target ? group.find(target->database) : nullptr;
    if (!database || target->database == request.open.front().database || !database->hasRoom())
        return;
    if (lendAndSend(request, group, *database, *target, now))
        node_.outbox.count("chervilpin_hedges_total");
}

void RequestPipeline::runInTransaction(Request &request, Core::Instant now)
{
    Transaction *transaction = transactions_.find(request.caller.transaction);
    GroupRuntime &group = groupOf(request);
    DatabaseRuntime *database = transaction ? group.find(transaction->database) : nullptr;
    const Connection *connection =
        transaction ? node_.connections.find(transaction->connection) : nullptr;
    const bool isUsable = database && connection && connection->generation && !transaction->running
        && !transaction->isCut && database->pool.resume(*connection->generation, now);
    if (!isUsable) {
        refuse(request,
               {RefusalReason::TransactionEnded, "the transaction was rolled back", {}, {}}, now);
        return;
    }
    Route::SendTo target;
    target.database = transaction->database;
    target.term = transaction->term;
    transaction->running = request.caller.id;
    transaction->lastUsed = now;
    if (!send(request, group, *database, transaction->connection, target, now)) {
        auto context = retryContext(request, now);
        apply(request, request.attempts->notSent(target.database, context, now), now);
    }
}

void RequestPipeline::statementAnswered(const Outstanding &outstanding, Upstream::Answer answer,
                                        Core::Instant now)
{
    const auto &purpose = std::get<StatementPurpose>(outstanding.purpose);
    GroupRuntime *group = node_.findGroup(outstanding.group);
    if (group) {
        const Core::Duration latency = now - outstanding.asked.at;
        group->view.finished(outstanding.database, latency, now);
        group->queue(purpose.kind).recordServiceTime(latency);
        if (purpose.kind == RequestKind::Read)
            group->hedges.noteLatency(latency, now);
        if (answer.reason == Upstream::Reason::Behind)
            group->view.wasBehind(outstanding.database, latency, now);
    }
    const bool isPinned = staysPinned(purpose, answer);
    releaseConnection(outstanding, answer, isPinned, now);
    Request *request = find(purpose.request);
    if (!request) {
        if (isPinned && purpose.kind == RequestKind::Begin)
            rollBackOrphan(outstanding, now);
        else if (Transaction *transaction = transactions_.find(purpose.transaction))
            statementOfTransactionEnded(*transaction, isPinned, now);
        return;
    }
    const auto open = std::ranges::find(request->open, purpose.attempt, &OpenAttempt::id);
    std::optional<OpenAttempt> attempt;
    if (open != request->open.end()) {
        attempt = *open;
        request->open.erase(open);
    }
    auto context = retryContext(*request, now);
    const auto step =
        request->attempts->answered(purpose.attempt, answer.verdict, answer.reason, context, now);
    if (std::holds_alternative<Execute::Deliver>(step)) {
        // A hedged second answer must not take the place of the one that is being confirmed.
        request->delivered = attempt;
        request->answer = std::move(answer);
        delivered(*request, *group, now);
    } else {
        request->failure = std::move(answer.message);
        apply(*request, step, now);
    }
    if (!isPinned && !purpose.transaction.empty() && purpose.kind != RequestKind::Begin)
        transactions_.remove(purpose.transaction);
}

void RequestPipeline::releaseConnection(const Outstanding &outstanding,
                                        const Upstream::Answer &answer, bool isPinned,
                                        Core::Instant now)
{
    GroupRuntime *group = node_.findGroup(outstanding.group);
    DatabaseRuntime *database = group ? group->find(outstanding.database) : nullptr;
    const Connection *connection = node_.connections.find(outstanding.connection);
    if (!database || !connection || !connection->generation)
        return;
    if (answer.reason == Upstream::Reason::Overloaded)
        database->limit.overloaded(now);
    database->limit.answered(answer.queuedMicroseconds, answer.status.queued, now);
    database->pool.answered(*connection->generation, isPinned, now);
    node_.changedGroups.insert(outstanding.group);
}

void RequestPipeline::statementLost(const Outstanding &outstanding, Core::Instant now)
{
    const auto &purpose = std::get<StatementPurpose>(outstanding.purpose);
    if (GroupRuntime *group = node_.findGroup(outstanding.group)) {
        if (DatabaseRuntime *database = group->find(outstanding.database))
            database->limit.abandoned();
        group->view.finished(outstanding.database, now - outstanding.asked.at, now);
    }
    if (!purpose.transaction.empty())
        transactions_.remove(purpose.transaction);
    Request *request = find(purpose.request);
    if (!request)
        return;
    std::erase_if(request->open,
                  [&](const OpenAttempt &open) { return open.id == purpose.attempt; });
    auto context = retryContext(*request, now);
    apply(*request, request->attempts->lost(purpose.attempt, context, now), now);
}

void RequestPipeline::rollbackEnded(const Outstanding &outstanding, Core::Instant now)
{
    releaseConnection(outstanding, {}, false, now);
}

Execute::RetryContext RequestPipeline::retryContext(const Request &request, Core::Instant now)
{
    return {budgets_.budget(request.team, request.group, now), node_.random};
}

void RequestPipeline::apply(Request &request, const Execute::AttemptStep &step, Core::Instant now)
{
    if (const auto *retry = std::get_if<Execute::Retry>(&step)) {
        enter(request, Stage::Retry, now);
        request.excluded = retry->excluded;
        request.retryAt = now + retry->after;
        wakeAt(request, request.retryAt);
        return;
    }
    if (const auto *end = std::get_if<Execute::Finish>(&step)) {
        CallerAnswer answer;
        answer.outcome = end->outcome;
        answer.reason = end->reason;
        answer.retryAfter = end->retryAfter;
        answer.message = request.failure;
        finish(request, std::move(answer), now);
    }
}

} // namespace Chervilpin::Engine
