#include <Sessions/SessionEngine.h>

#include <Sessions/Timing.h>

#include <algorithm>

/// Control plane inputs and timers.
namespace Chervilpin::Sessions {

SessionEngine::SessionEngine(Core::NodeName self, Core::DataCentreName dataCentre,
                             Core::Instant now)
    : dataCentre_(std::move(dataCentre))
    , poolers_(std::move(self))
    , table_(std::make_shared<const RoutingTable>())
    , reviewAt_(now)
{ }

void SessionEngine::configure(RoutingTablePointer table, Core::Instant now)
{
    table_ = std::move(table);
    isAnyRegionLimited_ = table_->hasRegionLimits();
    for (const auto &[name, limits] : table_->groups)
        groups_[name].name = name;
    for (auto &[id, session] : sessions_) {
        // The proxy that has the caller decides whether a forwarded session continues.
        const bool isWithdrawn = session.terminateAt.has_value();
        if (session.forwarded || (session.isDraining && !isWithdrawn))
            continue;
        const auto route = table_->findRoute(session.databaseName);
        const auto *team = table_->findTeam(session.key);
        const bool isServed = route && (route->isOpenToAll || (team && *team == session.team));
        if (isServed && isWithdrawn) {
            session.terminateAt.reset();
            session.isDraining = isStopping_;
        }
        if (isServed || isWithdrawn)
            continue;
        if (!session.isBusy() && session.transaction == TransactionStage::None) {
            closeSession(session, {}, {});
            continue;
        }
        session.isDraining = true;
        session.terminateAt = now + withdrawnKeyGracePeriod;
        wakeAt(id, *session.terminateAt);
    }
    log(Importance::Always, "configuration_in_force",
        {{"version", std::to_string(table_->version)},
         {"routes", std::to_string(table_->routes.size())},
         {"keys", std::to_string(table_->keys.size())}});
}

void SessionEngine::directoryChanged(std::span<const DatabaseEntry> entries, Core::Instant now)
{
    isDirectoryKnown_ = true;
    for (auto &[name, database] : databases_)
        database.isDelisted = true;
    std::vector<ConnectionId> restarted;
    for (const auto &entry : entries) {
        Database &database = databases_[entry.id];
        const bool isNew = database.entry.startedAtMilliseconds != entry.startedAtMilliseconds
            || database.entry.address != entry.address;
        if (isNew) {
            restarted.insert(restarted.end(), database.connections.begin(),
                             database.connections.end());
            database.lastKnownMark = {};
            database.lag = {};
        }
        if (isNew || database.entry.coldRemaining != entry.coldRemaining)
            database.coldUntil = now + entry.coldRemaining;
        database.entry = entry;
        database.isDelisted = false;
    }
    for (auto &[name, group] : groups_)
        group.databases.clear();
    for (const auto &[name, database] : databases_) {
        Group &group = groups_[database.entry.group];
        group.name = database.entry.group;
        if (!database.isDelisted)
            group.databases.push_back(name);
    }
    for (const ConnectionId id : restarted)
        closeConnection(id, now);
    std::erase_if(databases_, [](const auto &entry) {
        return entry.second.isDelisted && entry.second.connections.empty();
    });
    scheduleReview(now);
}

void SessionEngine::setPrimaryLease(const PrimaryLease &lease, Core::Instant now)
{
    Group &group = groups_[lease.group];
    group.name = lease.group;
    if (lease.revision < group.revision)
        return;
    if (lease.revision > group.revision) {
        if (group.isPrimaryActive && group.releasedRevision == group.revision) {
            group.previousPrimary = group.primary;
            group.previousLeaseExpiry = group.leaseExpiry;
            const bool isSuspect = group.health == PrimaryHealth::Suspect;
            group.releaseDeadline = isSuspect ? now : now + replacedPrimaryGracePeriod;
        }
        if (group.primary != lease.database || !group.isPrimaryActive) {
            group.primarySince = now;
            // Earlier failures say nothing about the database in its role as the primary.
            if (Database *database = findDatabase(lease.database)) {
                database->failingSince = Core::Instant();
                database->failures = 0;
            }
        }
        group.revision = lease.revision;
        group.primary = lease.database;
        group.isPrimaryActive = lease.isActive;
        group.health = PrimaryHealth::Unknown;
    }
    group.leaseExpiry = lease.validUntil;
    if (group.mayUsePrimary(now))
        group.isLeaseExpiryHandled = false;
    releaseOldPrimary(group, now);
    if (!group.queue.empty())
        dispatch(group, now);
    if (group.isPrimaryActive)
        scheduleReview(std::max(now, group.leaseExpiry));
}

void SessionEngine::releaseOldPrimary(Group &group, Core::Instant now)
{
    if (group.releasedRevision >= group.revision)
        return;
    const bool isSame = group.isPrimaryActive && group.previousPrimary == group.primary;
    const bool isInUse = !isSame && std::ranges::any_of(connections_, [&](const auto &entry) {
        const Connection &connection = entry.second;
        return connection.database == group.previousPrimary
            && connection.state != Connection::State::Idle
            && connection.state != Connection::State::Opening;
    });
    if (isInUse) {
        scheduleReview(std::max(now, group.releaseDeadline));
        return;
    }
    group.releasedRevision = group.revision;
    group.previousPrimary = {};
    actions_.emplace_back(ReportHealth{group.name, group.health, group.highestMark});
    actions_.emplace_back(ReportReleased{group.name, group.revision});
}

void SessionEngine::closeActiveConnections(const Core::DatabaseName &name, const char *why,
                                           Core::Instant now)
{
    // This includes channels through its pooler.
    std::vector<ConnectionId> busy;
    for (const auto &[id, connection] : connections_) {
        const bool isBusy = connection.state != Connection::State::Idle
            && connection.state != Connection::State::Opening;
        if (connection.database == name && isBusy)
            busy.push_back(id);
    }
    if (busy.empty())
        return;
    log(Importance::Always, "database_cut",
        {{"database", name.value()}, {"why", why}, {"connections", std::to_string(busy.size())}});
    for (const ConnectionId id : busy) {
        if (findConnection(id))
            closeConnection(id, now);
    }
}

void SessionEngine::setMemberCount(std::size_t count, Core::Instant now)
{
    // A decrease takes effect only after departedMemberHoldTime: a departed proxy usually returns
    // soon, and the databases may still count its connections.
    if (count >= memberCount_) {
        memberCount_ = std::max<std::size_t>(1, count);
        memberCountUpdatedAt_ = now;
    } else if (now >= memberCountUpdatedAt_ + departedMemberHoldTime) {
        memberCount_ = std::max<std::size_t>(1, count);
    }
}

void SessionEngine::shutDown(Core::Instant transactionsUntil, Core::Instant now)
{
    isStopping_ = true;
    transactionDeadline_ = transactionsUntil;
    for (auto &[id, session] : sessions_) {
        if (session.isDraining)
            continue;
        const bool isIdle = !session.isBusy() && session.transaction == TransactionStage::None;
        if (isIdle) {
            closeSession(session, {}, {});
            continue;
        }
        session.isDraining = true;
    }
    scheduleReview(now);
}

void SessionEngine::wakeAt(SessionId id, Core::Instant at)
{
    wakeups_.push({at, id});
}

std::optional<Core::Instant> SessionEngine::nextDeadlineOf(const Session &session) const
{
    std::optional<Core::Instant> due = session.terminateAt;
    const auto consider = [&](Core::Instant at) {
        due = due ? std::min(*due, at) : at;
    };
    if (session.running) {
        const bool isQueued = session.running->stage == Operation::Stage::Queued;
        consider(isQueued ? std::min(session.running->queueDeadline, session.running->deadline)
                          : session.running->deadline);
    } else if (session.transaction == TransactionStage::Open && !session.forwarded) {
        consider(session.lastActive + table_->transactionIdleTimeout);
    }
    return due;
}

Core::Instant SessionEngine::nextDeadline()
{
    while (!wakeups_.empty()) {
        const Wakeup top = wakeups_.top();
        const Session *session = findSession(top.session);
        const auto due = session ? nextDeadlineOf(*session) : std::nullopt;
        if (due && *due <= top.at)
            break;
        wakeups_.pop();
        if (due)
            wakeups_.push({*due, top.session});
    }
    const Core::Instant session = wakeups_.empty() ? Core::Instant::never() : wakeups_.top().at;
    return isReviewScheduled_ ? std::min(session, reviewAt_) : session;
}

void SessionEngine::advance(Core::Instant now)
{
    while (nextDeadline() <= now) {
        if (isReviewScheduled_ && reviewAt_ <= now) {
            isReviewScheduled_ = false;
            reviewEvacuations(now);
            reviewConnections(now);
            for (auto &[name, group] : groups_)
                reviewGroup(group, now);
            continue;
        }
        const SessionId id = wakeups_.top().session;
        wakeups_.pop();
        if (Session *session = findSession(id))
            review(*session, now);
    }
}

void SessionEngine::review(Session &session, Core::Instant now)
{
    if (session.terminateAt && now >= *session.terminateAt) {
        session.terminateAt.reset();
        terminateSession(session, Failure::AuthenticationFailed, "the key or route was withdrawn",
                         now);
        return;
    }
    if (!session.running) {
        if (session.transaction != TransactionStage::Open || session.forwarded
            || now < session.lastActive + table_->transactionIdleTimeout)
            return;
        Connection *connection = findConnection(session.pinnedConnection);
        session.transaction = TransactionStage::Failed;
        session.pinnedConnection = 0;
        log(Importance::Always, "transaction_idle", {{"session", std::to_string(session.id)}});
        if (connection)
            recycle(*connection, now);
        return;
    }
    Operation &operation = *session.running;
    if (operation.stage == Operation::Stage::Queued) {
        if (now < std::min(operation.queueDeadline, operation.deadline))
            return;
        refuseForLackOfRoom(session, lackOfRoomRetryDelay, now);
        return;
    }
    if (now < operation.deadline)
        return;
    // The connection is closed so that a statement still in transit can't start.
    operation.attempts = maximumAttempts;
    log(Importance::Always, "statement_timeout",
        {{"id", operation.statement.id}, {"database", operation.database.value()}});
    Database *database = findDatabase(operation.database);
    // Direct connections show whether the database or its pooler is at fault.
    if (database && connections_.at(operation.connection).isChannel())
        database->bypassPoolerUntil = now + poolerBackoff;
    closeConnection(operation.connection, now);
}

void SessionEngine::scheduleReview(Core::Instant at)
{
    if (at == Core::Instant::never() || (isReviewScheduled_ && reviewAt_ <= at))
        return;
    isReviewScheduled_ = true;
    reviewAt_ = at;
}

void SessionEngine::reviewConnections(Core::Instant now)
{
    std::vector<ConnectionId> stuck;
    bool isAnyBusy = false;
    for (const auto &[id, connection] : connections_) {
        const bool isOpening = connection.state == Connection::State::Opening;
        const bool isCleaning = connection.state == Connection::State::CleaningUp;
        isAnyBusy |= connection.state != Connection::State::Idle;
        if ((isOpening && now >= connection.since + connectionOpenTimeout)
            || (isCleaning && now >= connection.since + cleanupTimeout))
            stuck.push_back(id);
    }
    for (const ConnectionId id : stuck) {
        Connection *connection = findConnection(id);
        if (!connection)
            continue;
        recordConnectionFailure(databases_.at(connection->database), now);
        closeConnection(id, now);
    }
    reviewLinks(now);
    closeIdleConnections(now);
    if (isAnyBusy || !statusQueries_.empty())
        scheduleReview(now + reviewInterval);
    serveStatusQueries(now);
    if (isStopping_ && now >= transactionDeadline_) {
        std::vector<SessionId> late;
        for (const auto &[id, session] : sessions_) {
            if (!session.isBusy())
                late.push_back(id);
        }
        for (const SessionId id : late) {
            Session &session = sessions_.at(id);
            if (session.transaction == TransactionStage::None)
                closeSession(session, {}, {});
            else
                terminateSession(session, Failure::Aborted, "the proxy is stopping", now);
        }
    } else if (isStopping_) {
        scheduleReview(transactionDeadline_);
    }
}

void SessionEngine::closeIdleConnections(Core::Instant now)
{
    std::vector<ConnectionId> expired;
    for (const auto &[name, database] : databases_) {
        if (database.connections.empty() || connectionLimits(database, now).keepsIdle)
            continue;
        for (const ConnectionId id : database.connections) {
            const Connection &connection = connections_.at(id);
            if (connection.state != Connection::State::Idle)
                continue;
            if (now >= connection.since + idleConnectionTimeout)
                expired.push_back(id);
            else
                scheduleReview(connection.since + idleConnectionTimeout);
        }
    }
    for (const ConnectionId id : expired)
        closeConnection(id, now);
}

void SessionEngine::reviewGroup(Group &group, Core::Instant now)
{
    if (group.releasedRevision < group.revision && now >= group.releaseDeadline) {
        closeActiveConnections(group.previousPrimary, "the primary is being replaced", now);
        releaseOldPrimary(group, now);
    }
    const bool isLeaseExpired = group.isPrimaryActive && now >= group.leaseExpiry;
    if (isLeaseExpired && !group.isLeaseExpiryHandled) {
        group.isLeaseExpiryHandled = true;
        closeActiveConnections(group.primary, "the lease of the primary expired", now);
    }
    if (group.isPrimaryActive && !isLeaseExpired)
        scheduleReview(group.leaseExpiry);
    reviewHealth(group, now);
    probePrimary(group, now);
    if (group.queue.empty())
        return;
    dispatch(group, now);
    if (!group.queue.empty())
        scheduleReview(now + reviewInterval);
}

void SessionEngine::reviewHealth(Group &group, Core::Instant now)
{
    const Database *database = findDatabase(group.primary);
    if (!database || !group.isPrimaryActive)
        return;
    const bool isSilent =
        now >= database->lastReply + primarySilenceTimeout
        && std::ranges::any_of(database->connections, [&](ConnectionId id) {
               const Connection &connection = connections_.at(id);
               return !connection.pendingReplies.empty()
                   && now >= connection.pendingReplies.front().sentAt + primarySilenceTimeout;
           });
    if (isSilent || database->isUnreachable(now))
        group.health = PrimaryHealth::Suspect;
    else if (now < database->lastReply + primarySilenceTimeout
             && database->lastReply != Core::Instant())
        group.health = PrimaryHealth::Healthy;
    else if (group.health == PrimaryHealth::Healthy)
        group.health = PrimaryHealth::Unknown;
    actions_.emplace_back(ReportHealth{group.name, group.health, group.highestMark});
}

std::vector<Action> SessionEngine::takeActions()
{
    return std::exchange(actions_, {});
}

Session *SessionEngine::findSession(SessionId id)
{
    const auto found = sessions_.find(id);
    return found == sessions_.end() ? nullptr : &found->second;
}

Connection *SessionEngine::findConnection(ConnectionId id)
{
    const auto found = connections_.find(id);
    return found == connections_.end() ? nullptr : &found->second;
}

Database *SessionEngine::findDatabase(const Core::DatabaseName &name)
{
    const auto found = databases_.find(name);
    return found == databases_.end() ? nullptr : &found->second;
}

Group &SessionEngine::groupOf(const Session &session)
{
    Group &group = groups_[session.route->group];
    group.name = session.route->group;
    return group;
}

void SessionEngine::log(Importance importance, std::string name,
                        std::vector<std::pair<std::string, std::string>> fields)
{
    actions_.emplace_back(LogLine{importance, std::move(name), std::move(fields)});
}

} // namespace Chervilpin::Sessions
