#include <Failover/GroupFailover.h>
#include <Failover/WatcherSelection.h>

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace Chervilpin::Failover {

namespace {

/// A request that the engine never reported back is dropped after this time.
constexpr Core::Duration requestRetention{5000};
/// Between two pings or state queries of a node that does not know the current primary.
constexpr Core::Duration primarySearchInterval{300};
/// After this time the coordinator leaves remaining Follow requests to all watchers.
constexpr Core::Duration promotionRetention{5000};
constexpr std::size_t maximumPeersQueriedForState = 3;

std::vector<Core::NodeName> namesOf(const std::vector<PeerNode> &nodes)
{
    std::vector<Core::NodeName> names;
    names.reserve(nodes.size());
    for (const auto &node : nodes)
        names.push_back(node.name);
    return names;
}

bool isPrimaryOfItsTerm(const Upstream::Status &status)
{
    // The log of a fenced primary ends in its own term, which is lower than the term it knows.
    return status.role == Upstream::Role::Primary && status.held.term == status.knownTerm;
}

bool isInProgress(const std::optional<PromotionCoordinator> &promotion)
{
    return promotion
        && (promotion->state() == PromotionCoordinator::State::Fencing
            || promotion->state() == PromotionCoordinator::State::Promoting);
}

} // namespace

GroupFailover::GroupFailover(ThisNode self, Group group, GroupNumber number, FailoverPolicy policy,
                             Core::Random random, Core::Instant now)
    : self_(std::move(self))
    , group_(std::move(group))
    , policy_(policy)
    , pendingRequests_(number)
    , replicationReconciler_(policy_.promotion.followRetryInterval)
    , random_(random)
    , reservation_(self_, group_, policy_, Core::Random(random_.bits()))
    , suspicionPoll_(policy_, self_)
    , primaryTracker_(now)
{
    for (const auto &database : group_.databases)
        databases_.push_back({database, FailureDetector(policy_.detection, now)});
    setNodes({});
}

void GroupFailover::setNodes(const std::vector<PeerNode> &live)
{
    live_ = live;
    std::erase_if(live_, [this](const PeerNode &node) { return node.name == self_.name; });
    std::vector<PeerNode> all = live_;
    all.push_back({self_.name, self_.dataCentre});
    watchers_ = selectWatchers(group_.name, all, policy_.reservationCount);
    reservation_.setHolders(namesOf(watchers_));
}

void GroupFailover::observed(const Observation &observation, Core::Instant now)
{
    WatchedDatabase *watched = find(observation.database);
    if (watched == nullptr)
        return;
    const auto &what = observation.what;
    if (std::holds_alternative<Observation::Pinged>(what))
        watched->detector.pinged(observation.connection, now);
    if (std::holds_alternative<Observation::Ended>(what))
        watched->detector.connectionEnded(observation.connection);
    if (std::holds_alternative<Observation::Refused>(what))
        watched->detector.connectRefused(now);
    if (const auto *answer = std::get_if<Observation::Answered>(&what)) {
        watched->detector.answered(observation.connection, now);
        recordStatus(*watched, answer->status, now);
    }
}

Health GroupFailover::health(const Core::DatabaseName &database, Core::Instant now) const
{
    const WatchedDatabase *watched = find(database);
    return watched == nullptr ? Health::Unknown : watched->detector.health(now);
}

void GroupFailover::answered(RequestToken token, const Upstream::Answer &answer, Core::Instant now)
{
    const std::optional<PendingRequests::Entry> request = pendingRequests_.take(token);
    if (!request)
        return;
    WatchedDatabase *watched = find(request->database);
    watched->detector.pingAnswered(now - request->sentAt, now);
    if (promotion_) {
        send(promotion_->answered(request->database, request->body, answer, now), now);
        if (std::holds_alternative<Upstream::Follow>(request->body)
            && answer.verdict == Upstream::Verdict::Done)
            reportTimings(now);
        advancePromotion(now);
    }
    recordStatus(*watched, answer.status, now);
}

void GroupFailover::requestFailed(RequestToken token, RequestFailure why, Core::Instant now)
{
    const std::optional<PendingRequests::Entry> request = pendingRequests_.take(token);
    if (request && why == RequestFailure::Refused)
        find(request->database)->detector.connectRefused(now);
}

void GroupFailover::replied(const Platform::ReplyBody &reply, Core::Instant now)
{
    reservation_.replied(reply, now);
    learnFromObject(now);
}

void GroupFailover::received(const Core::NodeName &from, const PeerMessage &message,
                             Core::Instant now)
{
    if (const auto *query = std::get_if<PeerQuery>(&message)) {
        const bool canTell = isWatcher() && !isPossiblyIsolated(now);
        const Health seen = canTell ? health(query->database, now) : Health::Unknown;
        sendToPeer(
            from,
            PeerVerdict{group_.name, query->database, query->queryId, seen, self_.dataCentre});
    }
    if (const auto *verdict = std::get_if<PeerVerdict>(&message))
        suspicionPoll_.answered(from, verdict->queryId, verdict->health);
    if (const auto *state = std::get_if<GroupState>(&message))
        learn({state->term, state->primary, state->owner}, policy_.relayFanOut, now);
    if (std::holds_alternative<GroupStateQuery>(message) && primaryTracker_.known().term != 0)
        sendToPeer(from,
                   GroupState{group_.name, primaryTracker_.known().term,
                              primaryTracker_.known().primary, primaryTracker_.known().owner});
    if (const auto *notice = std::get_if<DrainingNotice>(&message);
        notice != nullptr && notice->term > primaryTracker_.known().term)
        actions_.emplace_back(GroupDraining{group_.name, notice->term, notice->remaining});
}

std::optional<Platform::CallBody> GroupFailover::tick(Core::Instant now)
{
    pendingRequests_.dropSentBefore(now - requestRetention);
    ping(now);
    queryPeerState(now);
    if (promotion_) {
        send(promotion_->tick(now), now);
        advancePromotion(now);
    }
    if (isWatcher() && !isInProgress(promotion_)) {
        considerPrimaryLoss(now);
        considerTakeover(now);
        reconcileReplication(now);
    }
    return reservation_.tick(now);
}

void GroupFailover::requestOwnership(const Core::HalfName &owner)
{
    reservation_.requestOwnership(owner);
}

void GroupFailover::startHandover(Core::Instant now)
{
    const std::optional<Core::Term> term = reservation_.ownershipTerm();
    if (!term || isInProgress(promotion_) || *term <= primaryTracker_.highestTerm())
        return;
    timings_ = FailoverTimings{.group = group_.name};
    startPromotion(*term, primaryTracker_.known().primary, now);
}

GroupView GroupFailover::view() const
{
    const auto &object = reservation_.object();
    // An object older than the known term does not show what was granted since.
    const bool isRecent = object && object->highestGranted >= primaryTracker_.known().term;
    return GroupView{.term = primaryTracker_.known().term,
                     .primary = primaryTracker_.known().primary,
                     .owner = primaryTracker_.known().owner,
                     .grantedOwner =
                         isRecent ? object->ownerIn(object->highestGranted) : std::nullopt,
                     .highestTermSeen = primaryTracker_.highestTerm(),
                     .isWatcher = isWatcher(),
                     .watcherRank = watcherRank(),
                     .isPromoting = isInProgress(promotion_),
                     .isPlatformUnavailable = reservation_.isPlatformUnavailable(),
                     .reservedTerm = reservation_.reservedTerm(),
                     .ownershipTerm = reservation_.ownershipTerm()};
}

Actions GroupFailover::takeActions()
{
    return std::exchange(actions_, {});
}

GroupFailover::WatchedDatabase *GroupFailover::find(const Core::DatabaseName &database)
{
    const auto found = std::ranges::find_if(databases_, [&](const WatchedDatabase &watched) {
        return watched.database.name == database;
    });
    return found == databases_.end() ? nullptr : &*found;
}

const GroupFailover::WatchedDatabase *GroupFailover::find(const Core::DatabaseName &database) const
{
    const auto found = std::ranges::find_if(databases_, [&](const WatchedDatabase &watched) {
        return watched.database.name == database;
    });
    return found == databases_.end() ? nullptr : &*found;
}

bool GroupFailover::isWatcher() const
{
    return watcherRank() < watchers_.size();
}

std::size_t GroupFailover::watcherRank() const
{
    const auto found = std::ranges::find(watchers_, self_.name, &PeerNode::name);
    return static_cast<std::size_t>(std::distance(watchers_.begin(), found));
}

void GroupFailover::send(const Core::DatabaseName &database, const Upstream::RequestBody &body,
                         ConnectionChoice connection, Core::Instant now)
{
    const RequestToken token = pendingRequests_.add({database, body, now});
    actions_.emplace_back(SendToDatabase{database, body, token, connection});
}

void GroupFailover::send(const PromotionCoordinator::Requests &requests, Core::Instant now)
{
    for (const auto &request : requests)
        send(request.database, request.body, ConnectionChoice::PreferOpen, now);
}

void GroupFailover::sendToPeer(const Core::NodeName &to, const PeerMessage &message)
{
    actions_.emplace_back(
        SendToPeer{{.to = to, .kind = Peer::MessageKind::Failover, .payload = encode(message)}});
}

void GroupFailover::logEvent(std::string_view event, std::vector<EventField> fields)
{
    fields.insert(fields.begin(), {"group", group_.name.value()});
    actions_.emplace_back(Event{std::string(event), std::move(fields)});
}

void GroupFailover::ping(Core::Instant now)
{
    const bool isSearching = primaryTracker_.isOutdated();
    if (!isWatcher() && !isSearching)
        return;
    const Core::Duration interval =
        isWatcher() ? policy_.detection.pingInterval : primarySearchInterval;
    for (auto &watched : databases_) {
        if (!watched.pingedAt || now - *watched.pingedAt >= interval) {
            watched.pingedAt = now;
            send(watched.database.name, Upstream::StatusQuery{}, ConnectionChoice::PreferOpen, now);
        }
        if (isWatcher() && watched.detector.shouldPingNewConnection(now)) {
            watched.detector.pingedOnNewConnection(now);
            send(watched.database.name, Upstream::StatusQuery{}, ConnectionChoice::OpenNew, now);
        }
    }
}

void GroupFailover::recordStatus(WatchedDatabase &watched, const Upstream::Status &status,
                                 Core::Instant now)
{
    watched.status = status;
    if (primaryTracker_.recordTerm(status.knownTerm, now))
        reservation_.recordSeenTerm(status.knownTerm);
    learnFromDatabase(watched, now);
}

void GroupFailover::learn(const KnownPrimary &state, std::size_t peerCount, Core::Instant now)
{
    using Effect = PrimaryTracker::Effect;
    const Effect effect = primaryTracker_.learn(state, now);
    if (effect == Effect::Contradicted)
        logEvent("primary_contradicted",
                 {{"term", std::to_string(state.term)},
                  {"known", primaryTracker_.known().primary.value()},
                  {"told", state.primary.value()}});
    if (effect != Effect::Learned)
        return;
    confirmedAt_.reset();
    suspicionPoll_.stop();
    reservation_.recordSeenTerm(state.term);
    replicationReconciler_.setPrimary(state.term, state.primary);
    actions_.emplace_back(PrimaryKnown{group_.name, state.term, state.primary, state.owner});
    announceToPeers(peerCount);
}

void GroupFailover::learnFromDatabase(const WatchedDatabase &watched, Core::Instant now)
{
    const Upstream::Status &status = *watched.status;
    if (!isPrimaryOfItsTerm(status))
        return;
    const bool isNew =
        primaryTracker_.recordPrimaryWithoutOwner(status.knownTerm, watched.database.name);
    resolveOwner(now);
    if (isNew && primaryTracker_.isAwaitingOwner())
        logEvent("owner_unknown", {{"term", std::to_string(status.knownTerm)}});
}

void GroupFailover::resolveOwner(Core::Instant now)
{
    if (!reservation_.object())
        return;
    const std::optional<KnownPrimary> owned = primaryTracker_.withOwnerFrom(*reservation_.object());
    if (owned)
        learn(*owned, policy_.relayFanOut, now);
}

void GroupFailover::learnFromObject(Core::Instant now)
{
    const auto &object = reservation_.object();
    if (!object)
        return;
    const CurrentPrimary &current = object->current;
    const std::optional<Core::HalfName> owner = object->ownerIn(current.term);
    if (current.term > 0 && owner)
        learn({current.term, current.primary, *owner}, policy_.relayFanOut, now);
    resolveOwner(now);
}

void GroupFailover::announceToPeers(std::size_t fanOut)
{
    std::vector<PeerNode> peers = live_;
    const std::size_t count = std::min(fanOut, peers.size());
    for (std::size_t chosen = 0; chosen < count; ++chosen) {
        const std::size_t pick = chosen + random_.below(peers.size() - chosen);
        std::swap(peers[chosen], peers[pick]);
        sendToPeer(peers[chosen].name,
                   GroupState{group_.name, primaryTracker_.known().term,
                              primaryTracker_.known().primary, primaryTracker_.known().owner});
    }
}

void GroupFailover::queryPeerState(Core::Instant now)
{
    const bool isSearching = primaryTracker_.isOutdated();
    if (!isSearching || isInProgress(promotion_))
        return;
    if (stateQueriedAt_ && now - *stateQueriedAt_ < primarySearchInterval)
        return;
    stateQueriedAt_ = now;
    if (primaryTracker_.isAwaitingOwner())
        reservation_.refresh();
    const std::size_t count = std::min(maximumPeersQueriedForState, live_.size());
    const std::size_t first = live_.empty() ? 0 : random_.below(live_.size());
    for (std::size_t index = 0; index < count; ++index)
        sendToPeer(live_[(first + index) % live_.size()].name, GroupStateQuery{group_.name});
}

bool GroupFailover::reachesMajority(Core::Instant now) const
{
    const auto reached = std::ranges::count_if(databases_, [&](const WatchedDatabase &watched) {
        const Health health = watched.detector.health(now);
        return health != Health::Unreachable && health != Health::Unknown;
    });
    return static_cast<std::size_t>(reached) >= majorityOf(databases_.size());
}

bool GroupFailover::reachesOtherDataCentre(Core::Instant now) const
{
    bool hasOther = false;
    for (const auto &watched : databases_) {
        if (watched.database.dataCentre == self_.dataCentre)
            continue;
        hasOther = true;
        const Health health = watched.detector.health(now);
        if (health != Health::Unreachable && health != Health::Unknown)
            return true;
    }
    return !hasOther;
}

bool GroupFailover::isPossiblyIsolated(Core::Instant now) const
{
    if (policy_.detectOwnIsolation == Guard::Off)
        return false;
    return !reachesMajority(now) || !reachesOtherDataCentre(now);
}

bool GroupFailover::isPrimaryLost(Core::Instant now) const
{
    const WatchedDatabase *primary = find(primaryTracker_.known().primary);
    return primary != nullptr && primary->detector.health(now) == Health::Unreachable;
}

bool GroupFailover::needsTakeover(Core::Instant now) const
{
    if (primaryTracker_.isOutdated())
        return !primaryTracker_.hasPrimaryInHighestTerm()
            && now - primaryTracker_.termSeenAt() >= policy_.takeoverDelay;
    const std::optional<Core::Instant> lostSince = replicationReconciler_.primaryMismatchSince();
    return lostSince && now - *lostSince >= policy_.takeoverDelay;
}

void GroupFailover::considerPrimaryLoss(Core::Instant now)
{
    if (primaryTracker_.isOutdated())
        return; // Another promotion is in progress; considerTakeover() handles its failure.
    if (!isPrimaryLost(now) || isPossiblyIsolated(now)) {
        suspicionPoll_.stop();
        confirmedAt_.reset();
        return;
    }
    const FailureDetector &detector = find(primaryTracker_.known().primary)->detector;
    if (!suspicionPoll_.isActive()) {
        suspicionPoll_.start(watchers_, now);
        logEvent("primary_suspected",
                 {{"database", primaryTracker_.known().primary.value()},
                  {"refused", detector.isRefused() ? "yes" : "no"}});
    }
    for (const auto &peer : suspicionPoll_.peersToQuery(now))
        sendToPeer(
            peer,
            PeerQuery{group_.name, primaryTracker_.known().primary, suspicionPoll_.queryId()});
    if (!confirmedAt_
        && suspicionPoll_.decide(detector.isRefused(), now) == SuspicionPoll::Decision::Pending)
        return;
    if (!confirmedAt_) {
        confirmedAt_ = now;
        timings_ = FailoverTimings{.group = group_.name};
        timings_.detect = suspicionPoll_.startedAt() - detector.lastHeard();
    }
    promoteAfterRankDelay(*confirmedAt_, now);
}

void GroupFailover::considerTakeover(Core::Instant now)
{
    if (isInProgress(promotion_) || !needsTakeover(now) || isPossiblyIsolated(now))
        return;
    timings_ = FailoverTimings{.group = group_.name};
    promoteAfterRankDelay(primaryTracker_.termSeenAt() + policy_.takeoverDelay, now);
}

void GroupFailover::promoteAfterRankDelay(Core::Instant eligibleSince, Core::Instant now)
{
    const std::optional<Core::Term> term = reservation_.reservedTerm();
    if (!term) {
        reservation_.requireReservation();
        if (!hasLoggedMissingTerm_)
            logEvent("failover_without_term");
        hasLoggedMissingTerm_ = true;
        return;
    }
    hasLoggedMissingTerm_ = false;
    const auto rank = static_cast<std::int64_t>(reservation_.rank());
    if (now - eligibleSince < policy_.rankDelay * rank)
        return;
    reservation_.consumeReservedTerm();
    startPromotion(*term, {}, now);
}

void GroupFailover::startPromotion(Core::Term term, const Core::DatabaseName &preferred,
                                   Core::Instant now)
{
    auto promotion =
        PromotionCoordinator::create({group_, term, preferred}, policy_.promotion, now);
    if (!promotion) {
        logEvent("promotion_refused", {{"reason", promotion.error().message}});
        return;
    }
    if (suspicionPoll_.isActive())
        timings_.claim = now - suspicionPoll_.startedAt();
    timings_.term = term;
    isAnnounced_ = false;
    hasReportedTimings_ = false;
    promotion_ = std::move(*promotion);
    logEvent("promotion_started", {{"term", std::to_string(term)}});
    send(promotion_->tick(now), now);
}

void GroupFailover::advancePromotion(Core::Instant now)
{
    using State = PromotionCoordinator::State;
    const State state = promotion_->state();
    if (state == State::Superseded || state == State::GivenUp) {
        logEvent(state == State::Superseded ? "promotion_superseded" : "promotion_given_up",
                 {{"term", std::to_string(promotion_->term())}});
        reservation_.recordSeenTerm(std::max(promotion_->term(), promotion_->highestTermSeen()));
        promotion_.reset();
        return;
    }
    if (state != State::Promoted)
        return;
    if (!isAnnounced_)
        finishPromotion(now);
    if (promotion_->allReplicasFollow() || now - *promotion_->promotedAt() >= promotionRetention)
        promotion_.reset();
}

void GroupFailover::finishPromotion(Core::Instant now)
{
    isAnnounced_ = true;
    const Core::Term term = promotion_->term();
    const auto owner = reservation_.object() ? reservation_.object()->ownerIn(term) : std::nullopt;
    logEvent("promoted",
             {{"term", std::to_string(term)}, {"database", promotion_->chosen().value()}});
    timings_.fence = *promotion_->fencedAt() - promotion_->startedAt();
    timings_.promote = *promotion_->promotedAt() - *promotion_->fencedAt();
    reservation_.publish({term, promotion_->chosen(), self_.name});
    learn({term, promotion_->chosen(), owner.value_or(primaryTracker_.known().owner)},
          policy_.announceFanOut, now);
}

void GroupFailover::reportTimings(Core::Instant now)
{
    if (hasReportedTimings_ || !promotion_ || !promotion_->promotedAt())
        return;
    hasReportedTimings_ = true;
    timings_.learn = now - *promotion_->promotedAt();
    actions_.emplace_back(timings_);
}

void GroupFailover::reconcileReplication(Core::Instant now)
{
    if (primaryTracker_.isOutdated() || promotion_)
        return;
    const WatchedDatabase *primary = find(primaryTracker_.known().primary);
    if (primary == nullptr)
        return;
    const Upstream::Follow follow{primaryTracker_.known().term, primaryTracker_.known().primary,
                                  primary->database.address};
    const Core::Duration gracePeriod =
        policy_.promotion.followRetryInterval * static_cast<std::int64_t>(watcherRank() + 1);
    for (const auto &watched : databases_) {
        const Core::DatabaseName &name = watched.database.name;
        if (!watched.status || watched.detector.health(now) == Health::Unreachable)
            continue;
        if (replicationReconciler_.shouldSendFollow(name, *watched.status, gracePeriod, now))
            send(name, follow, ConnectionChoice::PreferOpen, now);
    }
}

} // namespace Chervilpin::Failover
