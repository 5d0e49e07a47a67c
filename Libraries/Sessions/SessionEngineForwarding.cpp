#include <Sessions/SessionEngine.h>

#include <Sessions/Timing.h>

/// Forwarding of statements to poolers, and execution of statements forwarded by other proxies.
namespace Chervilpin::Sessions {

namespace {

/// The part of the route of a forwarded statement that the pooler needs.
std::shared_ptr<const Route> routeOf(const ForwardedStatement &message)
{
    auto route = std::make_shared<Route>();
    route->name = message.route;
    route->group = message.group;
    route->priority = message.priority;
    route->statementTimeout = message.statementTimeout;
    // Doubled, since queueTimeout() takes half of the latency objective.
    route->latencyObjective = message.queueTimeout * 2;
    return route;
}

} // namespace

void SessionEngine::setPoolMembers(std::vector<PoolerCandidate> members, Core::Instant now)
{
    poolers_.setMembers(std::move(members));
    dispatchAll(now);
}

bool SessionEngine::isPooled(const Database &database, Core::Instant now) const
{
    // The pooler of a cold database limits the statements of all proxies.
    if (memberCount_ > 1 && isCold(database, now))
        return true;
    const auto limits = limitsOf(database);
    return limits
        && ConnectionLimits::isPoolerNeeded(limits->maximumConnections, memberCount_,
                                            table_->teams.size());
}

const PoolerCandidate *SessionEngine::poolerOf(const Session &session, const Database &database,
                                               Core::Instant now)
{
    if (now < database.bypassPoolerUntil || !isPooled(database, now))
        return nullptr;
    const PoolerCandidate *pooler = poolers_.choose(database.entry, now);
    return pooler && isInAllowedRegion(session, pooler->dataCentre) ? pooler : nullptr;
}

// Forwarding side: the proxy that has the caller.

void SessionEngine::openLinkTo(const PoolerCandidate &pooler, Core::Instant now)
{
    if (poolers_.linkTo(pooler.node) == PoolerTable::Link::Opening)
        return;
    poolers_.onLinkOpening(pooler.node, now);
    actions_.emplace_back(OpenLink{pooler.node, pooler.address});
    scheduleReview(now + linkOpenTimeout);
}

void SessionEngine::assignChannel(Session &session, Database &database,
                                  const PoolerCandidate &pooler, Core::Instant now)
{
    Connection channel;
    channel.id = nextConnection_++;
    channel.group = database.entry.group;
    channel.database = database.entry.id;
    channel.team = session.team;
    channel.pooler = pooler.node;
    channel.since = now;
    const auto added = connections_.emplace(channel.id, std::move(channel)).first;
    assign(session, added->second, now);
}

void SessionEngine::forward(Session &session, Connection &channel, Core::Instant now)
{
    Operation &operation = *session.running;
    operation.stage = Operation::Stage::Executing;
    ForwardedStatement message;
    message.group = channel.group;
    message.database = channel.database;
    message.team = session.team;
    message.route = session.route->name;
    message.priority = session.route->priority;
    message.statementTimeout = operation.deadline - now;
    message.queueTimeout = operation.queueDeadline - now;
    message.isPrimaryNeeded = !operation.isOnReplica;
    message.atLeast = operation.atLeast;
    if (session.transaction == TransactionStage::Deferred)
        message.begin = session.beginKind;
    message.values = session.state.values();
    message.statement = operation.statement;
    if (message.statement.kind == StatementKind::Execute) {
        if (const PreparedShape *shape = session.state.findPrepared(message.statement.name))
            message.shape = *shape;
    }
    channel.pendingReplies.push_back({ReplyPurpose::Caller, now});
    poolers_.onStatementSent(channel.pooler, now);
    if (Database *database = findDatabase(channel.database))
        ++database->outstanding;
    actions_.emplace_back(ForwardStatement{channel.pooler, channel.id, std::move(message)});
    scheduleReview(now + reviewInterval);
}

void SessionEngine::forwardedReply(ConnectionId id, ForwardedReply forwarded, Core::Instant now)
{
    Connection *channel = findConnection(id);
    if (!channel || channel->pendingReplies.empty())
        return;
    const Connection::PendingReply pending = channel->pendingReplies.front();
    channel->pendingReplies.pop_front();
    poolers_.onStatementFinished(channel->pooler);
    DatabaseReply &reply = forwarded.reply;
    if (Database *database = findDatabase(channel->database); database && forwarded.load) {
        database->reportedLoad = forwarded.load;
        database->loadReportedAt = now;
    }
    // An answer that the pooler gave by itself carries no information about the database.
    if (reply.mark)
        updateFromReply(*channel, reply, pending, now);
    else if (Database *database = findDatabase(channel->database))
        database->outstanding -= std::min(database->outstanding, 1U);
    if (forwarded.progress == ForwardedProgress::NotAccepted
        || forwarded.progress == ForwardedProgress::Stopping) {
        forwardingRefused(*channel, forwarded, now);
        return;
    }
    Session *session = findSession(channel->session);
    const bool isBeginning = session && session->running && session->running->connection == id
        && session->transaction == TransactionStage::Deferred;
    if (isBeginning && forwarded.progress == ForwardedProgress::NotSent) {
        beginReplied(*channel, reply, now);
        return;
    }
    if (isBeginning) {
        session->transaction = TransactionStage::Open;
        session->pinnedConnection = id;
    }
    callerReplied(*channel, reply, pending, now);
}

void SessionEngine::forwardingRefused(Connection &channel, const ForwardedReply &forwarded,
                                      Core::Instant now)
{
    log(Importance::Always, "forwarding_refused",
        {{"node", channel.pooler.value()},
         {"database", channel.database.value()},
         {"why", forwarded.reply.failureText}});
    if (forwarded.progress == ForwardedProgress::Stopping)
        poolers_.onRefused(channel.pooler, now);
    else
        poolers_.onDatabaseRefused(channel.pooler, channel.database, now);
    Session *session = findSession(channel.session);
    const ConnectionId id = channel.id;
    Group &group = groups_.at(channel.group);
    removeConnection(id);
    releaseOldPrimary(group, now);
    if (!session || !session->running || session->running->connection != id)
        return;
    if (session->transaction == TransactionStage::Open) {
        // The pooler has closed the channel and rolled back its transaction.
        fail(*session, Failure::Aborted, "the transaction was rolled back: its pooler is stopping",
             now);
        return;
    }
    // The statement is queued again as if this attempt had not been made.
    Operation &operation = *session->running;
    operation.stage = Operation::Stage::Queued;
    operation.connection = 0;
    if (--operation.attempts == 0)
        operation.firstSentAt.reset();
    group.queue.insert(group.queue.begin(), session->id);
    wakeAt(session->id, operation.queueDeadline);
    scheduleReview(now);
}

void SessionEngine::channelClosed(ConnectionId id, Core::Instant now)
{
    if (findConnection(id))
        closeConnection(id, now);
}

void SessionEngine::linkOpened(const Core::NodeName &node, Core::Instant now)
{
    poolers_.onLinkOpened(node, now);
    for (auto &[name, database] : databases_) {
        const PoolerCandidate *pooler = poolers_.choose(database.entry, now);
        if (pooler && pooler->node == node)
            database.unsentSince = Core::Instant();
    }
    scheduleReview(now);
    dispatchAll(now);
}

void SessionEngine::linkHeard(const Core::NodeName &node, Core::Instant now)
{
    if (poolers_.isFailing(node))
        log(Importance::Always, "link_regained", {{"node", node.value()}});
    poolers_.onReceived(node, now);
}

void SessionEngine::linkLost(const Core::NodeName &node, Core::Instant now)
{
    if (poolers_.linkTo(node) == PoolerTable::Link::Closed)
        return;
    std::vector<ConnectionId> channels;
    for (const auto &[id, connection] : connections_) {
        if (connection.pooler == node)
            channels.push_back(id);
    }
    // A failed probe of a pooler already known to be failing is not logged.
    if (!poolers_.isFailing(node))
        log(Importance::Always, "link_lost",
            {{"node", node.value()}, {"channels", std::to_string(channels.size())}});
    poolers_.onLinkLost(node, now);
    for (const ConnectionId id : channels) {
        if (findConnection(id))
            closeConnection(id, now);
    }
    scheduleReview(now);
}

void SessionEngine::reviewLinks(Core::Instant now)
{
    const auto review = poolers_.checkLinks(now);
    for (const auto &member : review.toOpen)
        openLinkTo(member, now);
    for (const auto &node : review.toPing)
        actions_.emplace_back(PingLink{node});
    for (const auto &node : review.silent) {
        actions_.emplace_back(CloseLink{node});
        linkLost(node, now);
    }
    scheduleReview(poolers_.nextLinkCheck());
}

void SessionEngine::dispatchAll(Core::Instant now)
{
    for (auto &[name, group] : groups_) {
        if (!group.queue.empty())
            dispatch(group, now);
    }
}

// Pooler side.

void SessionEngine::forwardedStatement(SessionId id, ForwardedStatement message, Core::Instant now)
{
    const bool isNew = !sessions_.contains(id);
    if (isNew && isStopping_) {
        refuseForwarded(id, ForwardedProgress::Stopping, "the proxy is stopping");
        return;
    }
    const Database *database = findDatabase(message.database);
    // Whether this proxy is the pooler depends on whether the proxies ranked before it are
    // reachable, so a link is opened to the first one if that is not known.
    if (const PoolerCandidate *first =
            database ? poolers_.untriedFirstCandidate(database->entry) : nullptr)
        openLinkTo(*first, now);
    Session &session = sessions_[id];
    if (session.isBusy()) {
        refuseForwarded(id, ForwardedProgress::NotAccepted, "the channel is busy");
        return;
    }
    if (isNew) {
        session.id = id;
        session.team = message.team;
        session.route = routeOf(message);
        session.forwarded = {message.database, message.isPrimaryNeeded, message.atLeast};
    }
    session.lastActive = now;
    session.state.replaceValues(std::move(message.values));
    if (message.shape)
        session.state.prepare(message.statement.name, std::move(*message.shape));
    if (message.begin && session.transaction == TransactionStage::None) {
        session.transaction = TransactionStage::Deferred;
        session.beginKind = *message.begin;
    }
    if (session.transaction == TransactionStage::Failed)
        start(session, std::move(message.statement), now);
    else
        startOperation(session, std::move(message.statement), now);
}

void SessionEngine::refuseForwarded(SessionId id, ForwardedProgress progress, std::string why)
{
    ForwardedReply refusal;
    refusal.progress = progress;
    refusal.reply.failure = Failure::Busy;
    refusal.reply.failureText = std::move(why);
    actions_.emplace_back(AnswerForwarded{id, std::move(refusal)});
}

std::optional<std::string> SessionEngine::refusalReason(const ForwardedTarget &need,
                                                        const Group &group, Core::Instant now)
{
    const Database *database = findDatabase(need.database);
    if (!database || database->isDelisted)
        return "the database isn't known here";
    const bool isPrimary = group.primary == need.database && group.mayUsePrimary(now);
    if (need.isPrimaryNeeded && !isPrimary)
        return "this proxy has no right to the primary";
    const auto use = evacuations_.useOf(database->entry.dataCentre, now);
    if (use == EvacuationTable::Use::None
        || (use == EvacuationTable::Use::PrimaryOnly && !need.isPrimaryNeeded))
        return "the data centre of the database is being evacuated";
    const bool isFailing = database->failingSince != Core::Instant() && now < database->openAfter;
    if (isFailing || database->isUnresponsive(now))
        return "the database can't be reached from here";
    return {};
}

bool SessionEngine::placeForwarded(Session &session, Core::Instant now)
{
    const ForwardedTarget &need = *session.forwarded;
    Group &group = groupOf(session);
    if (auto why = refusalReason(need, group, now)) {
        if (Database *refused = findDatabase(need.database);
            refused && refused->isUnresponsive(now))
            probeReach(session, *refused, now);
        refuseForwarded(session.id, ForwardedProgress::NotAccepted, std::move(*why));
        session.running.reset();
        return true;
    }
    Database &database = *findDatabase(need.database);
    if (database.outstanding >= Placement::poolerLimit(database.entry.slots))
        return false;
    Connection *connection = findIdle(database, session.team, session.state.values());
    if (!connection) {
        if (!isOpening(database, session.team))
            openFor(database, session.team, now - session.running->arrived, now);
        noteUnsent(database, now);
        return false;
    }
    if (isCold(database, now) && !mayStartOnCold(database, now)) {
        scheduleReview(now + coldReviewInterval);
        return false;
    }
    countColdStart(database, now);
    session.running->isOnReplica = !need.isPrimaryNeeded;
    session.running->atLeast = need.atLeast;
    assign(session, *connection, now);
    return true;
}

} // namespace Chervilpin::Sessions
