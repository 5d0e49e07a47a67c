#include <Failover/GroupFailover.h>
#include <Failover/Rendezvous.h>

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace Chervilpin::Failover {

namespace {

/// A request without any report is forgotten after this.
constexpr Core::Duration requestMemory{5000};
/// Between two pings or questions of a node that looks for the primary.
constexpr Core::Duration searchInterval{300};
/// After this, the followers are left to the watchers in common.
constexpr Core::Duration promotionKept{5000};
constexpr std::size_t peersSearched = 3;

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
    // A fenced primary still holds a log of its own term, which is lower than the known one.
    return status.role == Upstream::Role::Primary && status.held.term == status.knownTerm;
}

bool isUnderWay(const std::optional<PromotionCoordinator> &promotion)
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
    , requests_(number)
    , followKeeper_(policy_.promotion.followRetryInterval)
    , random_(random)
    , reservation_(self_, group_, policy_, Core::Random(random_.bits()))
    , consent_(policy_, self_)
    , knowledge_(now)
{
    for (const auto &database : group_.databases)
        databases_.push_back({database, SuspicionDetector(policy_.detection, now)});
    setNodes({});
}

void GroupFailover::setNodes(const std::vector<PeerNode> &live)
{
    live_ = live;
    std::erase_if(live_, [this](const PeerNode &node) { return node.name == self_.name; });
    std::vector<PeerNode> all = live_;
    all.push_back({self_.name, self_.dataCentre});
    watchers_ = watchersOf(group_.name, all, policy_.reservations);
    reservation_.setHolders(namesOf(watchers_));
}

void GroupFailover::observed(const Observation &observation, Core::Instant now)
{
    Watched *watched = find(observation.database);
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
        noteStatus(*watched, answer->status, now);
    }
}

Health GroupFailover::health(const Core::DatabaseName &database, Core::Instant now) const
{
    const Watched *watched = find(database);
    return watched == nullptr ? Health::Unknown : watched->detector.health(now);
}

void GroupFailover::answered(Token token, const Upstream::Answer &answer, Core::Instant now)
{
    const std::optional<RequestLedger::Entry> request = requests_.take(token);
    if (!request)
        return;
    Watched *watched = find(request->database);
    watched->detector.pingAnswered(now - request->sentAt, now);
    if (promotion_) {
        send(promotion_->answered(request->database, request->body, answer, now), now);
        if (std::holds_alternative<Upstream::Follow>(request->body)
            && answer.verdict == Upstream::Verdict::Done)
            reportTimings(now);
        advancePromotion(now);
    }
    noteStatus(*watched, answer.status, now);
}

void GroupFailover::gaveNoAnswer(Token token, NoAnswer why, Core::Instant now)
{
    const std::optional<RequestLedger::Entry> request = requests_.take(token);
    if (request && why == NoAnswer::Refused)
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
        const bool canTell = isWatcher() && !suspectsItself(now);
        const Health seen = canTell ? health(query->database, now) : Health::Unknown;
        sendToPeer(
            from,
            PeerVerdict{group_.name, query->database, query->queryId, seen, self_.dataCentre});
    }
    if (const auto *verdict = std::get_if<PeerVerdict>(&message))
        consent_.answered(from, verdict->queryId, verdict->health);
    if (const auto *state = std::get_if<GroupState>(&message))
        learn({state->term, state->primary, state->owner}, policy_.relayFanOut, now);
    if (std::holds_alternative<GroupStateQuery>(message) && knowledge_.known().term != 0)
        sendToPeer(from,
                   GroupState{group_.name, knowledge_.known().term, knowledge_.known().primary,
                              knowledge_.known().owner});
    if (const auto *notice = std::get_if<DrainingNotice>(&message);
        notice != nullptr && notice->term > knowledge_.known().term)
        actions_.emplace_back(GroupDraining{group_.name, notice->term, notice->remaining});
}

std::optional<Platform::CallBody> GroupFailover::tick(Core::Instant now)
{
    requests_.forgetSentBefore(now - requestMemory);
    ping(now);
    askForState(now);
    if (promotion_) {
        send(promotion_->tick(now), now);
        advancePromotion(now);
    }
    if (isWatcher() && !isUnderWay(promotion_)) {
        considerLoss(now);
        considerAbandoned(now);
        keepFollowing(now);
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
    if (!term || isUnderWay(promotion_) || *term <= knowledge_.highestTerm())
        return;
    timings_ = FailoverTimings{.group = group_.name};
    startPromotion(*term, knowledge_.known().primary, now);
}

GroupView GroupFailover::view() const
{
    const auto &object = reservation_.object();
    // An object from before the known term tells nothing of what was granted since.
    const bool isRecent = object && object->highestGranted >= knowledge_.known().term;
    return GroupView{.term = knowledge_.known().term,
                     .primary = knowledge_.known().primary,
                     .owner = knowledge_.known().owner,
                     .grantedOwner =
                         isRecent ? object->ownerIn(object->highestGranted) : std::nullopt,
                     .highestTermSeen = knowledge_.highestTerm(),
                     .isWatcher = isWatcher(),
                     .watcherRank = watcherRank(),
                     .isPromoting = isUnderWay(promotion_),
                     .isPlatformOut = reservation_.isPlatformOut(),
                     .reservedTerm = reservation_.reservedTerm(),
                     .ownershipTerm = reservation_.ownershipTerm()};
}

Actions GroupFailover::takeActions()
{
    return std::exchange(actions_, {});
}

GroupFailover::Watched *GroupFailover::find(const Core::DatabaseName &database)
{
    const auto found = std::ranges::find_if(
        databases_, [&](const Watched &watched) { return watched.database.name == database; });
    return found == databases_.end() ? nullptr : &*found;
}

const GroupFailover::Watched *GroupFailover::find(const Core::DatabaseName &database) const
{
    const auto found = std::ranges::find_if(
        databases_, [&](const Watched &watched) { return watched.database.name == database; });
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
                         Connection connection, Core::Instant now)
{
    const Token token = requests_.add({database, body, now});
    actions_.emplace_back(SendToDatabase{database, body, token, connection});
}

void GroupFailover::send(const PromotionCoordinator::Requests &requests, Core::Instant now)
{
    for (const auto &request : requests)
        send(request.database, request.body, Connection::Established, now);
}

void GroupFailover::sendToPeer(const Core::NodeName &to, const PeerMessage &message)
{
    actions_.emplace_back(
        SendToPeer{{.to = to, .kind = Peer::MessageKind::Failover, .payload = encode(message)}});
}

void GroupFailover::note(std::string_view event, std::vector<EventField> fields)
{
    fields.insert(fields.begin(), {"group", group_.name.value()});
    actions_.emplace_back(Event{std::string(event), std::move(fields)});
}

void GroupFailover::ping(Core::Instant now)
{
    const bool searches = knowledge_.isOutdated();
    if (!isWatcher() && !searches)
        return;
    const Core::Duration interval = isWatcher() ? policy_.detection.pingInterval : searchInterval;
    for (auto &watched : databases_) {
        if (!watched.pingedAt || now - *watched.pingedAt >= interval) {
            watched.pingedAt = now;
            send(watched.database.name, Upstream::StatusQuery{}, Connection::Established, now);
        }
        if (isWatcher() && watched.detector.wantsFreshPing(now)) {
            watched.detector.pingedFresh(now);
            send(watched.database.name, Upstream::StatusQuery{}, Connection::Fresh, now);
        }
    }
}

void GroupFailover::noteStatus(Watched &watched, const Upstream::Status &status, Core::Instant now)
{
    watched.status = status;
    if (knowledge_.noteTerm(status.knownTerm, now))
        reservation_.noteTermSeen(status.knownTerm);
    learnFromDatabase(watched, now);
}

void GroupFailover::learn(const KnownPrimary &state, std::size_t tellCount, Core::Instant now)
{
    using Effect = PrimaryKnowledge::Effect;
    const Effect effect = knowledge_.learn(state, now);
    if (effect == Effect::Contradicted)
        note("primary_contradicted",
             {{"term", std::to_string(state.term)},
              {"known", knowledge_.known().primary.value()},
              {"told", state.primary.value()}});
    if (effect != Effect::Learned)
        return;
    agreedAt_.reset();
    consent_.stop();
    reservation_.noteTermSeen(state.term);
    followKeeper_.setPrimary(state.term, state.primary);
    actions_.emplace_back(PrimaryKnown{group_.name, state.term, state.primary, state.owner});
    tellPeers(tellCount);
}

void GroupFailover::learnFromDatabase(const Watched &watched, Core::Instant now)
{
    const Upstream::Status &status = *watched.status;
    if (!isPrimaryOfItsTerm(status))
        return;
    const bool isNew = knowledge_.noteUnowned(status.knownTerm, watched.database.name);
    resolveOwner(now);
    if (isNew && knowledge_.awaitsOwner())
        note("owner_unknown", {{"term", std::to_string(status.knownTerm)}});
}

void GroupFailover::resolveOwner(Core::Instant now)
{
    if (!reservation_.object())
        return;
    const std::optional<KnownPrimary> owned = knowledge_.ownedBy(*reservation_.object());
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

void GroupFailover::tellPeers(std::size_t fanOut)
{
    std::vector<PeerNode> peers = live_;
    const std::size_t count = std::min(fanOut, peers.size());
    for (std::size_t chosen = 0; chosen < count; ++chosen) {
        const std::size_t pick = chosen + random_.below(peers.size() - chosen);
        std::swap(peers[chosen], peers[pick]);
        sendToPeer(peers[chosen].name,
                   GroupState{group_.name, knowledge_.known().term, knowledge_.known().primary,
                              knowledge_.known().owner});
    }
}

void GroupFailover::askForState(Core::Instant now)
{
    const bool searches = knowledge_.isOutdated();
    if (!searches || isUnderWay(promotion_))
        return;
    if (askedStateAt_ && now - *askedStateAt_ < searchInterval)
        return;
    askedStateAt_ = now;
    if (knowledge_.awaitsOwner())
        reservation_.refresh();
    const std::size_t count = std::min(peersSearched, live_.size());
    const std::size_t first = live_.empty() ? 0 : random_.below(live_.size());
    for (std::size_t index = 0; index < count; ++index)
        sendToPeer(live_[(first + index) % live_.size()].name, GroupStateQuery{group_.name});
}

bool GroupFailover::reachesMajority(Core::Instant now) const
{
    const auto reached = std::ranges::count_if(databases_, [&](const Watched &watched) {
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

bool GroupFailover::suspectsItself(Core::Instant now) const
{
    if (policy_.suspectOneself == Guard::Off)
        return false;
    return !reachesMajority(now) || !reachesOtherDataCentre(now);
}

bool GroupFailover::isPrimaryLost(Core::Instant now) const
{
    const Watched *primary = find(knowledge_.known().primary);
    return primary != nullptr && primary->detector.health(now) == Health::Unreachable;
}

bool GroupFailover::isAbandoned(Core::Instant now) const
{
    if (knowledge_.isOutdated())
        return !knowledge_.hasPrimaryInHighestTerm()
            && now - knowledge_.termSeenAt() >= policy_.abandonedAfter;
    const std::optional<Core::Instant> lostSince = followKeeper_.primaryLostSince();
    return lostSince && now - *lostSince >= policy_.abandonedAfter;
}

void GroupFailover::considerLoss(Core::Instant now)
{
    if (knowledge_.isOutdated())
        return; // Someone is at it; considerAbandoned() watches over that.
    if (!isPrimaryLost(now) || suspectsItself(now)) {
        consent_.stop();
        agreedAt_.reset();
        return;
    }
    const SuspicionDetector &detector = find(knowledge_.known().primary)->detector;
    if (!consent_.isAsking()) {
        consent_.start(watchers_, now);
        note("primary_suspected",
             {{"database", knowledge_.known().primary.value()},
              {"refused", detector.isRefused() ? "yes" : "no"}});
    }
    for (const auto &peer : consent_.dueQuestions(now))
        sendToPeer(peer, PeerQuery{group_.name, knowledge_.known().primary, consent_.queryId()});
    if (!agreedAt_ && consent_.decide(detector.isRefused(), now) == PeerConsent::Decision::Wait)
        return;
    if (!agreedAt_) {
        agreedAt_ = now;
        timings_ = FailoverTimings{.group = group_.name};
        timings_.detect = consent_.startedAt() - detector.lastHeard();
    }
    promoteAfterRankDelay(*agreedAt_, now);
}

void GroupFailover::considerAbandoned(Core::Instant now)
{
    if (isUnderWay(promotion_) || !isAbandoned(now) || suspectsItself(now))
        return;
    timings_ = FailoverTimings{.group = group_.name};
    promoteAfterRankDelay(knowledge_.termSeenAt() + policy_.abandonedAfter, now);
}

void GroupFailover::promoteAfterRankDelay(Core::Instant ripeSince, Core::Instant now)
{
    const std::optional<Core::Term> term = reservation_.reservedTerm();
    if (!term) {
        reservation_.demand();
        if (!saidNoTerm_)
            note("failover_without_term");
        saidNoTerm_ = true;
        return;
    }
    saidNoTerm_ = false;
    const auto rank = static_cast<std::int64_t>(reservation_.rank());
    if (now - ripeSince < policy_.rankDelay * rank)
        return;
    reservation_.use();
    startPromotion(*term, {}, now);
}

void GroupFailover::startPromotion(Core::Term term, const Core::DatabaseName &preferred,
                                   Core::Instant now)
{
    auto promotion =
        PromotionCoordinator::create({group_, term, preferred}, policy_.promotion, now);
    if (!promotion) {
        note("promotion_refused", {{"reason", promotion.error().message}});
        return;
    }
    if (consent_.isAsking())
        timings_.claim = now - consent_.startedAt();
    timings_.term = term;
    isAnnounced_ = false;
    isLearnMeasured_ = false;
    promotion_ = std::move(*promotion);
    note("promotion_started", {{"term", std::to_string(term)}});
    send(promotion_->tick(now), now);
}

void GroupFailover::advancePromotion(Core::Instant now)
{
    using State = PromotionCoordinator::State;
    const State state = promotion_->state();
    if (state == State::Superseded || state == State::GivenUp) {
        note(state == State::Superseded ? "promotion_superseded" : "promotion_given_up",
             {{"term", std::to_string(promotion_->term())}});
        reservation_.noteTermSeen(std::max(promotion_->term(), promotion_->highestTermSeen()));
        promotion_.reset();
        return;
    }
    if (state != State::Promoted)
        return;
    if (!isAnnounced_)
        finishPromotion(now);
    if (promotion_->everyoneFollows() || now - *promotion_->promotedAt() >= promotionKept)
        promotion_.reset();
}

void GroupFailover::finishPromotion(Core::Instant now)
{
    isAnnounced_ = true;
    const Core::Term term = promotion_->term();
    const auto owner = reservation_.object() ? reservation_.object()->ownerIn(term) : std::nullopt;
    note("promoted", {{"term", std::to_string(term)}, {"database", promotion_->chosen().value()}});
    timings_.fence = *promotion_->fencedAt() - promotion_->startedAt();
    timings_.promote = *promotion_->promotedAt() - *promotion_->fencedAt();
    reservation_.publish({term, promotion_->chosen(), self_.name});
    learn({term, promotion_->chosen(), owner.value_or(knowledge_.known().owner)},
          policy_.announceFanOut, now);
}

void GroupFailover::reportTimings(Core::Instant now)
{
    if (isLearnMeasured_ || !promotion_ || !promotion_->promotedAt())
        return;
    isLearnMeasured_ = true;
    timings_.learn = now - *promotion_->promotedAt();
    actions_.emplace_back(timings_);
}

void GroupFailover::keepFollowing(Core::Instant now)
{
    if (knowledge_.isOutdated() || promotion_)
        return;
    const Watched *primary = find(knowledge_.known().primary);
    if (primary == nullptr)
        return;
    const Upstream::Follow follow{knowledge_.known().term, knowledge_.known().primary,
                                  primary->database.address};
    const Core::Duration patience =
        policy_.promotion.followRetryInterval * static_cast<std::int64_t>(watcherRank() + 1);
    for (const auto &watched : databases_) {
        const Core::DatabaseName &name = watched.database.name;
        if (!watched.status || watched.detector.health(now) == Health::Unreachable)
            continue;
        if (followKeeper_.shallTell(name, *watched.status, patience, now))
            send(name, follow, Connection::Established, now);
    }
}

} // namespace Chervilpin::Failover
