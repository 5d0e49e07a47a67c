#include <Sessions/SessionEngine.h>

#include <Sessions/Timing.h>

#include <algorithm>
#include <limits>

/// Dispatch of queued statements to databases.
namespace Chervilpin::Sessions {

namespace {

constexpr std::string_view primaryBeingReplacedMessage =
    "this proxy may not use the primary now, as it is being replaced; try again in 1000 ms";
constexpr std::string_view primaryEvacuatedMessage =
    "the data centre of the primary is being evacuated; try again in 1000 ms";
constexpr std::string_view outsideRegionsMessage =
    "no database is in a region in which the route and the team may be served; try again in 1000 "
    "ms";
constexpr std::string_view primaryUnreachableMessage =
    "the primary doesn't answer this proxy; try again in 1000 ms";

/// Whether the operation that the statement belongs to can only run on the primary.
bool isPrimaryOnly(const Session &session, const Statement &statement)
{
    if (session.route->consistency == Consistency::Latest)
        return true;
    if (session.transaction != TransactionStage::None)
        return session.beginKind == StatementKind::Begin;
    if (statement.kind == StatementKind::Execute) {
        const PreparedShape *shape = session.state.findPrepared(statement.name);
        return !shape || shape->access == Access::Write;
    }
    return statement.kind != StatementKind::Read && statement.kind != StatementKind::BeginRead;
}

} // namespace

void SessionEngine::dispatch(Group &group, Core::Instant now)
{
    std::vector<std::pair<SessionId, std::string_view>> unservable;
    // Sending ends no session synchronously, so the queue is modified only here.
    std::erase_if(group.queue, [&](SessionId id) {
        Session *session = findSession(id);
        if (!session || !session->running)
            return true;
        if (const auto reason = unservableReason(*session, session->running->statement, group,
                                                 Probing::Take, now)) {
            unservable.emplace_back(id, *reason);
            return true;
        }
        const double position = session->running->fairPosition;
        const bool isPlaced = place(*session, group, now);
        if (isPlaced)
            group.fairOrder.started(position);
        return isPlaced;
    });
    for (const auto &[id, reason] : unservable) {
        Session &session = sessions_.at(id);
        returnAdmission(session);
        fail(session, Failure::Busy, std::string(reason), now);
        operationEnded(session, now);
    }
}

std::optional<std::string_view> SessionEngine::unservableReason(const Session &session,
                                                                const Statement &statement,
                                                                Group &group, Probing probing,
                                                                Core::Instant now)
{
    if (isAnyRegionLimited_
        && isOutsideAllowedRegions(session, needOf(session, statement, group, now), group))
        return outsideRegionsMessage;
    Database *primary = findDatabase(group.primary);
    // While a proxy that may reach the primary is left to be tried, statements wait for its link.
    const bool hasNoPath =
        primary && primary->isUnresponsive(now) && !poolerOf(session, *primary, now);
    const bool isUnreachable = primary && (primary->isUnreachable(now) || hasNoPath);
    const bool isEvacuated =
        primary && evacuations_.useOf(primary->entry.dataCentre, now) == EvacuationTable::Use::None;
    const bool isUsable = group.mayUsePrimary(now) && !isUnreachable && !isEvacuated;
    if (isUsable) {
        group.outageSince = Core::Instant();
        return {};
    }
    if (group.outageSince == Core::Instant())
        group.outageSince = now;
    if (session.forwarded || now < group.outageSince + primaryOutageThreshold)
        return {};
    if (needOf(session, statement, group, now).mark && hasUntriedReplica(session, group))
        return {};
    if (isEvacuated)
        return primaryEvacuatedMessage;
    if (!group.mayUsePrimary(now))
        return primaryBeingReplacedMessage;
    if (hasNoPath) {
        group.probeTeam = session.team;
        group.probedUntil = now + probeDuration;
        probePrimary(group, now);
        return primaryUnreachableMessage;
    }
    if (now >= group.nextProbeAt) {
        // Only a statement can show that the primary is reachable again.
        if (probing == Probing::Take)
            group.nextProbeAt = now + unreachableProbeInterval;
        return {};
    }
    return primaryUnreachableMessage;
}

Placement::Requirement SessionEngine::needOf(const Session &session, const Statement &statement,
                                             const Group &group, Core::Instant now) const
{
    Placement::Requirement need;
    need.isPrimaryOnly = isPrimaryOnly(session, statement);
    if (need.isPrimaryOnly)
        return need;
    need.mark = group.freshness.requiredFor(session.route->maximumAge - ageMargin, now);
    if (!need.mark)
        return need;
    if (session.route->consistency == Consistency::ReadOwnWrites) {
        const auto own = group.freshness.requiredForOwnCommit(session.lastCommitMark);
        need.mark = std::max(*need.mark, *own);
    }
    const auto since = group.freshness.knownSince(*need.mark);
    if (since)
        need.markAge = now - *since;
    return need;
}

std::vector<Placement::Candidate> SessionEngine::candidates(const Session &session,
                                                            const Group &group,
                                                            const Placement::Requirement &need,
                                                            Core::Instant now)
{
    std::vector<Placement::Candidate> result;
    std::vector<Placement::Candidate> unresponsive;
    const auto &excluded = session.running->excludedDatabases;
    for (std::size_t i = 0; i < group.databases.size(); ++i) {
        Database &database = databases_.at(group.databases[i]);
        const bool isPrimary = group.primary == database.entry.id;
        const bool isDraining = database.entry.availability == DatabaseAvailability::Draining;
        if (database.isDelisted || std::ranges::find(excluded, database.entry.id) != excluded.end())
            continue;
        // A draining primary stays in use until the fleet has replaced it.
        if (isPrimary ? !group.mayUsePrimary(now) : isDraining)
            continue;
        if (!isPrimary && !isEligibleReplica(database, need, now))
            continue;
        if (isRestricted(session, database, isPrimary, now))
            continue;
        Placement::Candidate candidate;
        candidate.index = i;
        candidate.isPrimary = isPrimary;
        candidate.isNear = database.entry.dataCentre == dataCentre_;
        candidate.outstanding = database.outstanding;
        candidate.isCold = isCold(database, now);
        candidate.limit = isPooled(database, now) && poolers_.isSelf(database.entry, now)
            ? Placement::poolerLimit(database.entry.slots)
            : Placement::statementLimit(database.entry.slots, memberCount_);
        estimateTime(candidate, database, now);
        if (const PoolerCandidate *pooler = poolerOf(session, database, now)) {
            candidate.limit = Placement::forwardedLimit;
            candidate.hasConnection = poolers_.linkTo(pooler->node) == PoolerTable::Link::Up;
            candidate.canOpen = true;
        } else if (candidate.isCold && !mayStartOnCold(database, now)) {
            continue;
        } else {
            candidate.hasConnection = findIdle(database, session.team, session.state.values());
            candidate.canOpen = now >= database.openAfter;
        }
        if (database.isUnresponsive(now)) {
            probeReach(session, database, now);
            unresponsive.push_back(candidate);
            continue;
        }
        result.push_back(candidate);
    }
    return result.empty() ? unresponsive : result;
}

void SessionEngine::probeReach(const Session &session, Database &database, Core::Instant now)
{
    // It is tried beside the work, so that no statement has to wait for it.
    if (now < database.reachProbeAt)
        return;
    database.reachProbeAt = now + unreachableProbeInterval;
    const PoolerCandidate *pooler = session.forwarded ? nullptr : poolerOf(session, database, now);
    if (pooler) {
        if (poolers_.linkTo(pooler->node) != PoolerTable::Link::Up)
            openLinkTo(*pooler, now);
    } else if (!isOpening(database, session.team)) {
        openFor(database, session.team, evictionWaitTime, now);
    }
}

void SessionEngine::probePrimary(Group &group, Core::Instant now)
{
    Database *primary = findDatabase(group.primary);
    if (!primary || now >= group.probedUntil || !primary->isUnresponsive(now))
        return;
    if (now >= primary->reachProbeAt) {
        primary->reachProbeAt = now + unreachableProbeInterval;
        if (!isOpening(*primary, group.probeTeam))
            openFor(*primary, group.probeTeam, evictionWaitTime, now);
    }
    scheduleReview(primary->reachProbeAt);
}

void SessionEngine::noteUnsent(Database &database, Core::Instant now)
{
    if (database.unsentSince != Core::Instant() || now < database.lastReply + unresponsiveTimeout)
        return;
    database.unsentSince = now;
    scheduleReview(now + unresponsiveTimeout);
}

bool SessionEngine::isEligibleReplica(const Database &replica, const Placement::Requirement &need,
                                      Core::Instant now)
{
    if (need.isPrimaryOnly || !need.mark)
        return false;
    // A replica gets no replies without statements, so it is probed regularly to find out that it
    // has caught up.
    return Placement::isExpectedFresh(need, replica.lastKnownMark, replica.lag)
        || now >= replica.lastPlacedAt + lagProbeInterval;
}

void SessionEngine::estimateTime(Placement::Candidate &candidate, const Database &database,
                                 Core::Instant now) const
{
    candidate.serviceMilliseconds = database.serviceMilliseconds;
    const auto roundTrip = roundTrips_.find(database.entry.dataCentre);
    if (roundTrip != roundTrips_.end())
        candidate.roundTripMilliseconds = std::max(
            candidate.roundTripMilliseconds, static_cast<double>(roundTrip->second.milliseconds()));
    const Core::Duration age = now - database.loadReportedAt;
    if (!database.reportedLoad || age > reportedLoadLifetime)
        return;
    const auto wait = std::max(database.reportedLoad->wait - age, Core::Duration(0));
    candidate.waitMilliseconds = static_cast<double>(wait.milliseconds());
    candidate.serviceMilliseconds =
        static_cast<double>(database.reportedLoad->service.milliseconds());
}

std::optional<std::size_t> SessionEngine::chooseDatabase(Session &session, Group &group,
                                                         const Placement::Requirement &need,
                                                         Core::Instant now)
{
    using Side = DepartureControl::Side;
    const auto options = Placement::findOptions(need, candidates(session, group, need, now));
    const auto &[near, far] = options;
    Operation &operation = *session.running;
    if (!near || !far) {
        operation.reach = near ? Placement::Reach::Near : Placement::Reach::OnlyFar;
        const auto &only = near ? near : far;
        return only ? std::optional(only->index) : std::nullopt;
    }
    // A far replica relieves a near primary, which alone can run writes. A cold database is
    // avoided.
    const bool isRoleDecisive = near->isPrimary || near->isCold != far->isCold;
    const bool isFar = isRoleDecisive
        ? Placement::isBetter(*far, *near)
        : group.departures.choose(near->milliseconds, far->milliseconds, crossingCost_, now)
            == Side::Far;
    operation.reach = isFar ? Placement::Reach::FarIsFaster : Placement::Reach::Near;
    return isFar ? far->index : near->index;
}

bool SessionEngine::place(Session &session, Group &group, Core::Instant now)
{
    if (session.forwarded)
        return placeForwarded(session, now);
    const auto need = needOf(session, session.running->statement, group, now);
    const auto chosen = chooseDatabase(session, group, need, now);
    if (!chosen)
        return false;
    Database &database = databases_.at(group.databases[*chosen]);
    const PoolerCandidate *pooler = poolerOf(session, database, now);
    Connection *connection =
        pooler ? nullptr : findIdle(database, session.team, session.state.values());
    if (pooler && poolers_.linkTo(pooler->node) != PoolerTable::Link::Up) {
        openLinkTo(*pooler, now);
        noteUnsent(database, now);
        return false;
    }
    if (!pooler && !connection) {
        if (!isOpening(database, session.team))
            openFor(database, session.team, now - session.running->arrived, now);
        noteUnsent(database, now);
        return false;
    }
    const bool isReplica = group.primary != database.entry.id;
    session.running->isOnReplica = isReplica;
    session.running->atLeast = isReplica ? need.mark : std::nullopt;
    database.lastPlacedAt = now;
    if (pooler) {
        assignChannel(session, database, *pooler, now);
        return true;
    }
    countColdStart(database, now);
    assign(session, *connection, now);
    return true;
}

Connection *SessionEngine::findIdle(const Database &database, const Core::TeamName &team,
                                    const SessionValues &values)
{
    Connection *found = nullptr;
    for (const ConnectionId id : database.connections) {
        Connection &connection = connections_.at(id);
        if (connection.state != Connection::State::Idle || connection.team != team)
            continue;
        if (connection.context.hasValues(values))
            return &connection;
        found = &connection;
    }
    return found;
}

bool SessionEngine::isOpening(const Database &database, const Core::TeamName &team) const
{
    return std::ranges::any_of(database.connections, [&](ConnectionId id) {
        const Connection &connection = connections_.at(id);
        return connection.state == Connection::State::Opening && connection.team == team;
    });
}

std::optional<GroupLimits> SessionEngine::limitsOf(const Database &database) const
{
    const auto group = table_->groups.find(database.entry.group);
    return group == table_->groups.end() ? std::nullopt : std::optional(group->second);
}

ConnectionLimits SessionEngine::connectionLimits(const Database &database, Core::Instant now)
{
    const auto limits = limitsOf(database);
    if (!limits)
        return {};
    if (!isPooled(database, now))
        return ConnectionLimits::forProxy(limits->maximumConnections, memberCount_,
                                          table_->teams.size());
    return poolers_.isSelf(database.entry, now)
        ? ConnectionLimits::forPooler(limits->maximumConnections)
        : ConnectionLimits::forNonPooler(limits->maximumConnections);
}

double SessionEngine::evictionRate(const Database &database, Core::Instant now)
{
    const double slotMilliseconds = 1'000.0 * database.entry.slots * evictionSlotFraction;
    const std::size_t proxies = isPooled(database, now) ? 1 : memberCount_;
    return slotMilliseconds / openSlotMilliseconds / static_cast<double>(proxies);
}

const Connection *SessionEngine::findEvictionCandidate(const Database &database) const
{
    // Prefers connections of teams that have more than one, and among those the one that has been
    // idle for longest.
    std::map<Core::TeamName, unsigned> held;
    for (const ConnectionId id : database.connections)
        ++held[connections_.at(id).team];
    const Connection *candidate = nullptr;
    bool isCandidateSpare = false;
    for (const ConnectionId id : database.connections) {
        const Connection &connection = connections_.at(id);
        if (connection.state != Connection::State::Idle)
            continue;
        const bool isConnectionSpare = held.at(connection.team) > 1;
        const bool isBetter = isConnectionSpare != isCandidateSpare
            ? isConnectionSpare
            : !candidate || connection.since < candidate->since;
        if (candidate && !isBetter)
            continue;
        candidate = &connection;
        isCandidateSpare = isConnectionSpare;
    }
    return candidate;
}

bool SessionEngine::isAnyInUseForStatement(const Database &database,
                                           const Core::TeamName &team) const
{
    return std::ranges::any_of(database.connections, [&](ConnectionId id) {
        const Connection &connection = connections_.at(id);
        return connection.team == team && connection.state == Connection::State::InUse
            && !connection.isInTransaction;
    });
}

void SessionEngine::openFor(Database &database, const Core::TeamName &team, Core::Duration waited,
                            Core::Instant now)
{
    if (now < database.openAfter)
        return;
    const std::size_t observedLimit = now < database.observedLimitUntil
        ? database.observedConnectionLimit
        : std::numeric_limits<std::size_t>::max();
    if (database.connections.size()
        >= std::min(observedLimit, connectionLimits(database, now).maximumOpen)) {
        const Connection *candidate = findEvictionCandidate(database);
        if (!candidate)
            return;
        // Opening a connection costs the database as much as a statement, so a recently used
        // connection is left to its team unless the statement has waited for evictionWaitTime.
        const bool isOwnFreeSoon =
            waited < ownConnectionWaitTime && isAnyInUseForStatement(database, team);
        const bool isCandidateRecent =
            now < candidate->since + evictionMinimumIdleTime && waited < evictionWaitTime;
        if (isOwnFreeSoon || isCandidateRecent) {
            scheduleReview(now + evictionWaitTime);
            return;
        }
        if (!database.evictions.take(evictionRate(database, now), evictionBurst, now)) {
            scheduleReview(now + evictionWaitTime);
            return;
        }
        closeConnection(candidate->id, now);
    }
    Connection connection;
    connection.id = nextConnection_++;
    connection.group = database.entry.group;
    connection.database = database.entry.id;
    connection.team = team;
    connection.since = now;
    database.connections.insert(connection.id);
    actions_.emplace_back(OpenConnection{connection.id, connection.group, connection.database,
                                         database.entry.address, team});
    connections_.emplace(connection.id, std::move(connection));
    scheduleReview(now + reviewInterval);
}

void SessionEngine::assign(Session &session, Connection &connection, Core::Instant now)
{
    connection.enter(Connection::State::InUse, now);
    connection.session = session.id;
    Operation &operation = *session.running;
    operation.connection = connection.id;
    operation.database = connection.database;
    operation.stage = Operation::Stage::Queued;
    ++operation.attempts;
    if (!operation.firstSentAt)
        operation.firstSentAt = now;
    proceed(session, now);
    wakeAt(session.id, operation.deadline);
}

void SessionEngine::proceed(Session &session, Core::Instant now)
{
    Operation &operation = *session.running;
    Connection &connection = connections_.at(operation.connection);
    if (connection.isChannel()) {
        forward(session, connection, now);
        return;
    }
    const Statement &statement = operation.statement;
    const PreparedShape *shape = statement.kind == StatementKind::Execute
        ? session.state.findPrepared(statement.name)
        : nullptr;
    if (operation.stage == Operation::Stage::Queued) {
        operation.stage = Operation::Stage::Preparing;
        for (auto &setup : connection.context.setUpFor(session.state.values(), shape))
            send(connection, ReplyPurpose::Setup, std::move(setup), {}, now);
    }
    if (operation.stage == Operation::Stage::Preparing) {
        if (!connection.pendingReplies.empty())
            return;
        operation.stage = Operation::Stage::Beginning;
        if (session.transaction == TransactionStage::Deferred) {
            Statement begin;
            begin.kind = session.beginKind;
            send(connection, ReplyPurpose::Begin, std::move(begin), operation.atLeast, now);
            return;
        }
    }
    operation.stage = Operation::Stage::Executing;
    Statement sent = statement;
    if (shape)
        sent.name = connection.context.preparedNameOf(*shape);
    // In a transaction, the freshness was already verified when it began.
    const bool isSingle = session.transaction == TransactionStage::None;
    send(connection, ReplyPurpose::Caller, std::move(sent),
         isSingle ? operation.atLeast : std::nullopt, now);
}

void SessionEngine::send(Connection &connection, ReplyPurpose purpose, Statement statement,
                         std::optional<Core::LogMark> atLeast, Core::Instant now)
{
    connection.pendingReplies.push_back({purpose, now});
    if (Database *database = findDatabase(connection.database))
        ++database->outstanding;
    actions_.emplace_back(SendStatement{connection.id, std::move(statement), atLeast});
    scheduleReview(now + reviewInterval);
}

} // namespace Chervilpin::Sessions
