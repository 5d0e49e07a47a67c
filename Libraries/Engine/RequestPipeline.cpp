#include <Engine/RequestPipeline.h>

#include <Core/Verify.h>

#include <algorithm>

namespace Chervilpin::Engine {

namespace {

using namespace Core::Literals;

constexpr Core::Duration ownerRetryAfter = 500_ms;
constexpr Core::Duration isolatedRetryAfter = 1_s;
constexpr Core::Duration stoppingRetryAfter = 100_ms;
constexpr Core::Duration notReadyRetryAfter = 500_ms;
constexpr Core::Duration expiredRetryAfter = 250_ms;
/// A statement that runs under a withdrawn key is cut after this.
constexpr Core::Duration withdrawnGrace = 2_s;
/// A transaction without a statement for this long is rolled back.
constexpr Core::Duration transactionIdleLimit = 10_s;
/// A request that waits this long for a connection of one database is routed again.
constexpr Core::Duration longestBorrow = 100_ms;

Queue::Ticket ticketFor(const Request &request)
{
    Queue::Ticket ticket;
    ticket.id = request.caller.id;
    ticket.team = ticketTeam(request);
    ticket.keyId = request.keyId.value();
    ticket.latestStart = request.deadline;
    return ticket;
}

bool needsSample(const Request &request)
{
    if (!request.isRead() || request.caller.freshness == Freshness::StatedAge)
        return false;
    return request.caller.freshness == Freshness::Strong
        || !request.token.demandedMark(request.group);
}

} // namespace

RequestPipeline::RequestPipeline(Node &node, ControlPlane &control)
    : node_(node)
    , control_(control)
    , admission_(control.allotment())
    , router_({}, Core::Random(node.random.bits()))
    , budgets_({})
{ }

void RequestPipeline::accept(CallerRequest caller, Core::Instant now)
{
    const RequestId id = caller.id;
    Request &request = requests_[id];
    request.caller = std::move(caller);
    prepare(request, now);
    // A transaction that is open may still be ended.
    if (isRefusingNew_ && !request.isInTransaction()) {
        refuse(request,
               {RefusalReason::ShuttingDown, "this VM is stopping", stoppingRetryAfter, {}}, now);
        return;
    }
    if (const auto refusal = authenticate(request, now)) {
        refuse(request, *refusal, now);
        return;
    }
    wakeAt(request, request.deadline);
    admit(request, now);
}

void RequestPipeline::prepare(Request &request, Core::Instant now)
{
    request.arrived = node_.stamps.next(now);
    request.deadline = now + request.caller.deadline;
    request.stageSince = now;
    const auto parent = Trace::TraceContext::parse(request.caller.traceparent);
    if (parent) {
        request.callerSpanId = parent->spanId;
        request.trace = parent->createChild(node_.random);
    } else {
        request.trace = Trace::TraceContext::createRoot(node_.random);
        request.trace.isSampled = node_.random.below(node_.settings.traceSampleOneIn) == 0;
    }
    request.stageSpanId = request.trace.createChild(node_.random).spanId;
    const auto token = Session::SessionToken::decode(request.caller.sessionToken);
    // A token that is missing or garbled may hide a write, so reads are then served as Strong.
    request.token = token ? *token : Session::SessionToken::startedLate();
}

RequestPipeline::MaybeRefusal RequestPipeline::authenticate(Request &request, Core::Instant now)
{
    if (node_.snapshot->revision() == 0)
        return Refusal{
            RefusalReason::NotReady, "this VM has no configuration yet", notReadyRetryAfter, {}};
    const auto *route = node_.snapshot->findRoute(Core::RouteName(request.caller.route));
    if (!route)
        return Refusal{RefusalReason::UnknownRoute, "no such route", {}, {}};
    request.group = route->group;
    const GroupRuntime *group = node_.findGroup(route->group);
    if (!group)
        return Refusal{RefusalReason::UnknownRoute, "the route's group is gone", {}, {}};
    if (!route->isOpenToAll) {
        if (auto refusal = checkTeam(request, *route, now))
            return refusal;
    }
    if (auto refusal = checkOwner(request, *group))
        return refusal;
    if (request.isInTransaction())
        return checkTransaction(request);
    return std::nullopt;
}

RequestPipeline::MaybeRefusal RequestPipeline::checkTeam(Request &request,
                                                         const Configuration::RouteSpec &route,
                                                         Core::Instant now)
{
    const auto key = node_.keyring.authenticate(request.caller.key, now);
    if (!key) {
        const bool isIsolated = key.error().code == Core::ErrorCode::Unavailable;
        return Refusal{RefusalReason::UnknownKey,
                       key.error().message,
                       isIsolated ? isolatedRetryAfter : Core::Duration(),
                       {}};
    }
    request.team = key->team;
    request.keyId = key->keyId;
    // The key has done its work; nothing behind this filter ever holds it.
    request.caller.key.clear();
    if (std::ranges::find(route.teams, request.team) != route.teams.end())
        return std::nullopt;
    const auto *team = node_.snapshot->findTeam(request.team);
    if (!team || !route.teams.empty())
        return Refusal{RefusalReason::UnknownRoute, "the route isn't open to this team", {}, {}};
    const Core::HalfName &owner = node_.findGroup(request.group)->effectiveOwner();
    if (team->half == owner)
        return std::nullopt;
    const auto *half = node_.snapshot->findHalf(owner);
    return Refusal{RefusalReason::WrongHalf, "the group belongs to the other half", ownerRetryAfter,
                   half ? half->callerEndpoint : std::string()};
}

RequestPipeline::MaybeRefusal RequestPipeline::checkOwner(const Request &,
                                                          const GroupRuntime &group) const
{
    const Core::HalfName &self = node_.settings.half;
    const Core::HalfName &owner = group.effectiveOwner();
    if (self.isEmpty() || self == owner)
        return std::nullopt;
    const auto *half = node_.snapshot->findHalf(owner);
    return Refusal{RefusalReason::WrongHalf, "the other half owns the group", ownerRetryAfter,
                   half ? half->callerEndpoint : std::string()};
}

RequestPipeline::MaybeRefusal RequestPipeline::checkTransaction(const Request &request)
{
    const Transaction *transaction = transactions_.find(request.caller.transaction);
    const bool isOwn = transaction && transaction->team == request.team
        && transaction->keyId == request.keyId && transaction->group == request.group;
    if (!isOwn || transaction->isCut)
        return Refusal{RefusalReason::TransactionEnded,
                       "the transaction was rolled back, or is none of this caller's",
                       {},
                       {}};
    if (transaction->running)
        return Refusal{
            RefusalReason::BadRequest, "a statement of the transaction is still running", {}, {}};
    return std::nullopt;
}

void RequestPipeline::admit(Request &request, Core::Instant now)
{
    GroupRuntime &group = groupOf(request);
    Execute::StatementTraits traits;
    traits.kind = request.caller.kind;
    traits.repeatability = request.caller.repeatability;
    traits.pinning =
        request.isInTransaction() ? Execute::Pinning::Transaction : Execute::Pinning::Free;
    traits.deadline = request.deadline;
    request.attempts.emplace(traits, Execute::RetryPolicy({}));
    if (request.team.isEmpty()) {
        enqueue(request, now);
        return;
    }
    const Core::Duration wait = request.isInTransaction()
        ? Core::Duration()
        : group.queue(request.caller.kind)
              .estimatedWait(request.team, group.slots(request.caller.kind));
    const RequestId id = request.caller.id;
    const auto admission = admission_.admit(id, request.team, request.deadline, wait, now);
    if (const auto *refused = std::get_if<Admit::Refused>(&admission)) {
        refuse(request, {refused->reason, "the team is over its rate", refused->retryAfter, {}},
               now);
        return;
    }
    if (std::holds_alternative<Admit::Waiting>(admission)) {
        control_.flushAllotment(now);
        return;
    }
    enqueue(request, now);
}

void RequestPipeline::decided(const Allotment::Decision &decision, Core::Instant now)
{
    const auto verdict = admission_.decided(decision, now);
    Request *request = verdict ? find(verdict->request) : nullptr;
    if (!request)
        return;
    if (const auto *refused = std::get_if<Admit::Refused>(&verdict->result))
        refuse(*request, {refused->reason, "the team is over its rate", refused->retryAfter, {}},
               now);
    else
        enqueue(*request, now);
}

void RequestPipeline::enqueue(Request &request, Core::Instant now)
{
    budgets_.budget(request.team, request.group, now).noteRequest(now);
    if (request.isInTransaction()) {
        runInTransaction(request, now);
        return;
    }
    GroupRuntime &group = groupOf(request);
    enter(request, Stage::Queue, now);
    const auto result = group.queue(request.caller.kind)
                            .enqueue(ticketFor(request), group.slots(request.caller.kind), now);
    if (result.verdict != Queue::EnqueueVerdict::Queued) {
        refuse(request,
               {RefusalReason::QueueFull,
                "the deadline can't be met with what is queued",
                result.retryAfter,
                {}},
               now);
        return;
    }
    // Asked now, the sample is there by the time that the read leaves the queue.
    if (needsSample(request))
        askForSample(group, now);
    node_.changedGroups.insert(request.group);
}

void RequestPipeline::takeFromQueues(GroupRuntime &group, Core::Instant now)
{
    refuseExpired(group.reads, now);
    refuseExpired(group.writes, now);
    while (group.roomForReads() > 0) {
        const auto ticket = group.reads.takeNext(now);
        if (!ticket)
            break;
        if (Request *request = find(ticket->id)) {
            request->isTakenFromQueue = true;
            route(*request, now);
        }
    }
    while (!group.isDraining(now) && group.roomForWrites() > 0) {
        const auto ticket = group.writes.takeNext(now);
        if (!ticket)
            break;
        if (Request *request = find(ticket->id)) {
            request->isTakenFromQueue = true;
            route(*request, now);
        }
    }
}

void RequestPipeline::refuseExpired(Queue::FairQueue &queue, Core::Instant now)
{
    for (const auto &ticket : queue.takeExpired(now)) {
        if (Request *request = find(ticket.id))
            refuse(*request,
                   {RefusalReason::DeadlinePassed,
                    "the deadline came before its turn",
                    expiredRetryAfter,
                    {}},
                   now);
    }
}

void RequestPipeline::dispatch(Core::Instant now)
{
    while (!node_.changedGroups.empty()) {
        const auto changed = std::exchange(node_.changedGroups, {});
        for (const auto &name : changed) {
            GroupRuntime *group = node_.findGroup(name);
            if (!group)
                continue;
            serveWaiting(*group, now);
            takeFromQueues(*group, now);
            reviewConfirmations(*group, now);
        }
    }
}

void RequestPipeline::tick(Core::Instant now)
{
    while (!wakeups_.empty() && wakeups_.begin()->first <= now) {
        const RequestId id = wakeups_.begin()->second;
        wakeups_.erase(wakeups_.begin());
        if (Request *request = find(id))
            wake(*request, now);
    }
    const auto isIdleTooLong = [now](const Transaction &transaction) {
        return !transaction.running && now - transaction.lastUsed >= transactionIdleLimit;
    };
    for (const auto &name : transactions_.namesIf(isIdleTooLong))
        rollBack(*transactions_.find(name), now);
    if (node_.keyring.isIsolated(now)) {
        cutIf([](const Request &request) { return !request.keyId.isEmpty(); },
              [](const Transaction &transaction) { return !transaction.keyId.isEmpty(); }, now);
    }
    for (auto &[name, group] : node_.groups) {
        if (!group.sampling.empty() && !group.isSampleOutstanding)
            sampleAgain(group, now);
        if (!group.reads.isEmpty() || !group.writes.isEmpty() || group.tracker.waitingCount() > 0)
            node_.changedGroups.insert(name);
    }
}

void RequestPipeline::wake(Request &request, Core::Instant now)
{
    const bool isRunning = request.stage == Stage::Execute || request.stage == Stage::Confirm;
    if (request.cutAt && now >= *request.cutAt && isRunning) {
        CallerAnswer answer;
        answer.outcome = Core::Outcome::Unknown;
        answer.reason = RefusalReason::UnknownKey;
        answer.message = "the key was withdrawn while the statement was running";
        finish(request, std::move(answer), now);
        return;
    }
    if (now >= request.deadline && request.stage != Stage::Confirm) {
        admission_.cancel(request.caller.id);
        static_cast<void>(groupOf(request).queue(request.caller.kind).cancel(request.caller.id));
        apply(request, request.attempts->tick(now), now);
        return;
    }
    if (request.stage == Stage::Retry && now >= request.retryAt) {
        route(request, now);
        return;
    }
    if (request.stage == Stage::Borrow && now - request.stageSince >= longestBorrow) {
        const Core::DatabaseName database = request.target->database;
        std::erase(groupOf(request).find(database)->waiting, request.caller.id);
        auto context = retryContext(request, now);
        apply(request, request.attempts->notSent(database, context, now), now);
        return;
    }
    if (request.stage == Stage::Execute)
        hedge(request, now);
}

void RequestPipeline::keysWithdrawn(std::span<const Authenticate::KeyId> ids, Core::Instant now)
{
    const auto isWithdrawn = [ids](const Authenticate::KeyId &id) {
        return std::ranges::find(ids, id) != ids.end();
    };
    cutIf([&](const Request &request) { return isWithdrawn(request.keyId); },
          [&](const Transaction &transaction) { return isWithdrawn(transaction.keyId); }, now);
}

void RequestPipeline::cutIf(const std::function<bool(const Request &)> &isRequestCut,
                            const std::function<bool(const Transaction &)> &isTransactionCut,
                            Core::Instant now)
{
    std::vector<RequestId> cut;
    for (const auto &[id, request] : requests_) {
        if (!request.cutAt && isRequestCut(request))
            cut.push_back(id);
    }
    for (const RequestId id : cut) {
        Request &request = *find(id);
        request.cutAt = now + withdrawnGrace;
        if (request.stage == Stage::Execute || request.stage == Stage::Confirm) {
            // What runs may still be answered truthfully; it is cut when it takes too long.
            wakeAt(request, *request.cutAt);
            continue;
        }
        admission_.cancel(id);
        static_cast<void>(groupOf(request).queue(request.caller.kind).cancel(id));
        apply(request, request.attempts->refused(RefusalReason::UnknownKey, {}, now), now);
    }
    for (const auto &name : transactions_.namesIf(isTransactionCut))
        rollBack(*transactions_.find(name), now);
}

void RequestPipeline::abandonAll(Core::Instant now)
{
    const auto isAny = [](const auto &) {
        return true;
    };
    for (const auto &name : transactions_.namesIf(isAny))
        rollBack(*transactions_.find(name), now);
    std::vector<RequestId> ids;
    for (const auto &[id, request] : requests_)
        ids.push_back(id);
    for (const RequestId id : ids) {
        if (Request *request = find(id))
            apply(*request, request->attempts->refused(RefusalReason::ShuttingDown, {}, now), now);
    }
}

void RequestPipeline::enter(Request &request, Stage stage, Core::Instant now)
{
    if (request.trace.isSampled)
        request.hops.push_back({toString(request.stage), request.stageSpanId, request.trace.spanId,
                                request.stageSince, now, "done"});
    request.stage = stage;
    request.stageSince = now;
    request.stageSpanId = request.trace.createChild(node_.random).spanId;
}

void RequestPipeline::wakeAt(const Request &request, Core::Instant at)
{
    wakeups_.emplace(at, request.caller.id);
}

Request *RequestPipeline::find(RequestId id)
{
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
}

GroupRuntime &RequestPipeline::groupOf(const Request &request)
{
    GroupRuntime *group = node_.findGroup(request.group);
    // A group is kept for as long as a request of it is under way.
    VERIFY(group != nullptr);
    return *group;
}

} // namespace Chervilpin::Engine
