#include <Membership/Manager.h>

#include <Core/Rank.h>

#include <algorithm>
#include <bit>

namespace Chervilpin::Membership {

namespace {

constexpr std::string_view ringDuty = "ring";
constexpr std::string_view listerDuty = "lister";
constexpr Core::Duration judgePeriod(100);
constexpr Core::Duration pauseNoticed(1'500); ///< A longer gap between ticks is a pause.
constexpr Core::Duration countPeriod(1'000);
constexpr Core::Duration countPushPause(500); ///< Between two pushes of counts.
constexpr Core::Duration minStatusPeriod(1'000);
constexpr std::int64_t statusMillisecondsPerMember = 25;
constexpr Core::Duration minSyncPeriod(30'000);
constexpr std::int64_t syncMillisecondsPerMember = 250;
constexpr Core::Duration listPause(10'000); ///< Between two whole lists for one peer.
constexpr std::size_t listChunk = 64;
constexpr std::uint64_t doubtedEvery = 3; ///< Each such heartbeat also goes to a doubted member.
constexpr std::uint32_t spreadFactor = 3;
constexpr std::int64_t suspicionPeriods = 3;

} // namespace

std::string_view toString(EventKind kind)
{
    switch (kind) {
    case EventKind::PeerGarbage:
        return "membership_peer_garbage";
    case EventKind::Refuted:
        return "membership_refuted";
    case EventKind::Superseded:
        return "membership_superseded";
    case EventKind::Paused:
        return "membership_paused";
    case EventKind::ListFailed:
        return "membership_list_failed";
    }
    return "membership_event";
}

Manager::Manager(Settings settings, std::uint64_t seed)
    : settings_(std::move(settings))
    , random_(seed)
    , table_(settings_.guards)
    , board_(settings_)
    , budget_(settings_.bytesPerSecond, settings_.burstBytes)
{ }

Actions Manager::start(Core::Instant now)
{
    Actions actions;
    lastTick_ = now;
    startedAt_ = now;
    budget_.refill(now);
    addSeeds(now, actions);
    // Nodes that start together are spread over the period.
    const auto period = static_cast<std::uint64_t>(settings_.heartbeatPeriod.milliseconds());
    nextBeat_ = now;
    nextStatus_ = now + Core::Duration(static_cast<std::int64_t>(random_.below(period)));
    nextSync_ = now + minSyncPeriod;
    return actions;
}

void Manager::addSeeds(Core::Instant now, Actions &actions)
{
    for (const Platform::Vm &seed : settings_.seeds) {
        if (seed.name != settings_.self && table_.addUnheard(seed, now))
            noteChange(seed.name, actions);
    }
}

Actions Manager::tick(Core::Instant now)
{
    Actions actions;
    noticePause(now, actions);
    budget_.refill(now);
    listIfDue(now, actions);
    judge(now, actions);
    beat(now, actions);
    pushNews(now, actions);
    reportStatus(now, actions);
    return actions;
}

/// After a pause of this node the silence of the others proves nothing.
void Manager::noticePause(Core::Instant now, Actions &actions)
{
    const Core::Duration gap = now - lastTick_;
    lastTick_ = now;
    if (gap < pauseNoticed)
        return;
    actions.emplace_back(Event{EventKind::Paused, std::to_string(gap.milliseconds()) + " ms"});
    for (auto &[name, since] : watchedSince_)
        since = now;
}

Actions Manager::platformReply(const Platform::Reply &reply, Core::Instant now)
{
    Actions actions;
    if (listCall_ != reply.id)
        return actions;
    listCall_.reset();
    const auto *list = std::get_if<Platform::Vms>(&reply.body);
    if (list == nullptr) {
        actions.emplace_back(Event{EventKind::ListFailed, "the platform gave no list"});
        return actions;
    }
    listedAt_ = now;
    isListed_ = std::ranges::count(list->vms, settings_.self, &Platform::Vm::name) > 0;
    std::vector<Core::NodeName> before;
    for (const Member &member : table_.members())
        before.push_back(member.name);
    if (!table_.reconcile(list->vms, settings_.self, now))
        return actions;
    for (const Member &member : table_.members()) {
        if (!std::ranges::binary_search(before, member.name))
            noteChange(member.name, actions);
    }
    return actions;
}

Actions Manager::peerMessage(const Peer::Incoming &incoming, Core::Instant now)
{
    Actions actions;
    const auto heartbeat = decodeHeartbeat(incoming.payload);
    const bool isItsOwn = heartbeat && heartbeat->sender.name == incoming.from;
    if (!isItsOwn || incoming.from == settings_.self) {
        actions.emplace_back(Event{EventKind::PeerGarbage, incoming.from.value()});
        return actions;
    }
    hear(heartbeat->sender, now, actions);
    for (const Update &update : heartbeat->updates)
        mergeUpdate(update, now, actions);
    for (const Summary &summary : heartbeat->summaries)
        hasCountNews_ = board_.merge(summary, table_) || hasCountNews_;
    const Member *sender = table_.find(incoming.from);
    const bool isOfThisLife =
        sender != nullptr && sender->age.incarnation == heartbeat->sender.age.incarnation;
    if (isOfThisLife) {
        board_.note(incoming.from, heartbeat->status);
        actions.emplace_back(PeerStatus{incoming.from, heartbeat->status});
    }
    if (heartbeat->listRole == ListRole::IsListPart)
        hasList_ = true;
    if (heartbeat->listRole == ListRole::AsksForList)
        sendList(incoming.from, now, actions);
    return actions;
}

/// A member spoke for itself.
void Manager::hear(const Update &sender, Core::Instant now, Actions &actions)
{
    mergeUpdate(sender, now, actions);
    const Member *member = table_.find(sender.name);
    if (member == nullptr || sender.age < member->age)
        return;
    heardAt_[sender.name] = now;
    // It can only refute what it is told of.
    if (member->health != Health::Live) {
        gossip_.add(sender.name, spreadTimes());
        send(sender.name, Urgency::Pushed, Contents::Plain, actions);
    }
}

void Manager::mergeUpdate(const Update &update, Core::Instant now, Actions &actions)
{
    if (update.name == settings_.self) {
        answerDoubt(update, now, actions);
        return;
    }
    if (!table_.merge(update, now))
        return;
    spread(update.name);
    noteChange(update.name, actions);
}

void Manager::answerDoubt(const Update &update, Core::Instant, Actions &actions)
{
    if (update.age.incarnation > settings_.incarnation) {
        actions.emplace_back(Event{EventKind::Superseded, std::to_string(update.age.incarnation)});
        return;
    }
    const bool isDoubt = update.age.incarnation == settings_.incarnation
        && update.age.refutation >= refutation_ && update.health != Health::Live;
    if (!isDoubt || !settings_.guards.refutes)
        return;
    refutation_ = update.age.refutation + 1;
    spread(settings_.self);
    actions.emplace_back(Event{EventKind::Refuted, std::string(toString(update.health))});
}

void Manager::spread(const Core::NodeName &name)
{
    gossip_.add(name, spreadTimes());
    hasNews_ = true;
}

void Manager::noteChange(const Core::NodeName &name, Actions &actions)
{
    const Member *member = table_.find(name);
    if (member != nullptr)
        actions.emplace_back(MemberChanged{*member});
}

Actions Manager::setStatus(const NodeStatus &status, Core::Instant now)
{
    Actions actions;
    if (status == status_)
        return actions;
    status_ = status;
    nextStatus_ = now;
    nextCount_ = now;
    return actions;
}

Actions Manager::leave(Core::Instant now)
{
    Actions actions;
    isLeaving_ = true;
    spread(settings_.self);
    nextPush_ = now;
    pushNews(now, actions);
    return actions;
}

void Manager::judge(Core::Instant now, Actions &actions)
{
    if (now < nextJudge_)
        return;
    nextJudge_ = now + judgePeriod;
    std::vector<Verdict> verdicts;
    for (const Member &member : table_.members()) {
        const Health health = judgeMember(member, now);
        if (health != member.health)
            verdicts.push_back({member.name, health});
    }
    for (const Verdict &verdict : verdicts)
        changeHealth(verdict.name, verdict.health, now, actions);
    table_.forgetDead(now - settings_.deadRetention);
    std::erase_if(heardAt_, [&](const auto &entry) { return table_.find(entry.first) == nullptr; });
    if (now >= nextCount_) {
        nextCount_ = now + countPeriod;
        hasCountNews_ = board_.recount(status_, isLeaving_, table_) || hasCountNews_;
    }
}

/// What a member's health should be now, as far as this node can tell.
Health Manager::judgeMember(const Member &member, Core::Instant now) const
{
    if (member.health == Health::Live) {
        const auto watched = watchedSince_.find(member.name);
        if (watched == watchedSince_.end())
            return Health::Live;
        const auto heard = heardAt_.find(member.name);
        const bool wasHeard = heard != heardAt_.end() && heard->second > watched->second;
        const Core::Instant last = wasHeard ? heard->second : watched->second;
        return now - last >= settings_.suspectAfter ? Health::Suspected : Health::Live;
    }
    const bool isOverdue = now - member.since >= suspicionTimeout();
    if (member.health == Health::Suspected && isOverdue)
        return member.isLeaving ? Health::Dead : Health::Unreachable;
    const bool isListFresh = listedAt_ && now - *listedAt_ < settings_.listPeriod * 2;
    const bool isGone = member.health == Health::Unreachable && isListFresh && !member.isListed;
    return isGone ? Health::Dead : member.health;
}

void Manager::changeHealth(const Core::NodeName &name, Health health, Core::Instant now,
                           Actions &actions)
{
    if (!table_.setHealth(name, health, now))
        return;
    if (table_.find(name)->age.incarnation != 0)
        spread(name);
    noteChange(name, actions);
}

void Manager::beat(Core::Instant now, Actions &actions)
{
    if (now < nextBeat_)
        return;
    nextBeat_ = now + settings_.heartbeatPeriod;
    ++beats_;
    updateRing(now);
    const bool wantsSync = now >= nextSync_;
    if (wantsSync) {
        const auto members = static_cast<std::int64_t>(table_.members().size());
        nextSync_ =
            now + std::max(minSyncPeriod, Core::Duration(members * syncMillisecondsPerMember));
        hasList_ = false;
    }
    for (const Core::NodeName &name : chooseRandom(settings_.randomTargets))
        send(name, Urgency::Periodic, Contents::WithSummaries, actions);
    for (const Core::NodeName &name : ringSuccessors())
        send(name, Urgency::Periodic, Contents::Plain, actions);
    const bool isAlone = table_.liveCount() == 0;
    if (isAlone || beats_ % doubtedEvery == 0) {
        const std::size_t count = isAlone ? settings_.urgentFanout : 1;
        for (const Core::NodeName &name : chooseDoubted(count))
            send(name, Urgency::Periodic, Contents::Plain, actions);
    }
}

/// The ring holds this node and all that aren't given up; its order is the same at all nodes.
void Manager::updateRing(Core::Instant now)
{
    ring_.clear();
    ring_.push_back(settings_.self);
    for (const Member &member : table_.members()) {
        const bool takesPart = member.health == Health::Live
            || (member.health == Health::Suspected && member.age.incarnation != 0);
        if (takesPart)
            ring_.push_back(member.name);
    }
    std::ranges::sort(ring_, [](const Core::NodeName &a, const Core::NodeName &b) {
        return Core::rankOf(a, ringDuty) < Core::rankOf(b, ringDuty);
    });
    std::map<Core::NodeName, Core::Instant> watched;
    const auto own =
        static_cast<std::size_t>(std::ranges::find(ring_, settings_.self) - ring_.begin());
    const std::size_t others = std::min<std::size_t>(settings_.ringSuccessors, ring_.size() - 1);
    for (std::size_t step = 1; step <= others; ++step) {
        const Core::NodeName &name = ring_[(own + ring_.size() - step) % ring_.size()];
        const auto before = watchedSince_.find(name);
        watched[name] = before == watchedSince_.end() ? now : before->second;
    }
    watchedSince_ = std::move(watched);
}

std::vector<Core::NodeName> Manager::ringSuccessors() const
{
    std::vector<Core::NodeName> successors;
    const auto own =
        static_cast<std::size_t>(std::ranges::find(ring_, settings_.self) - ring_.begin());
    const std::size_t count = std::min<std::size_t>(settings_.ringSuccessors, ring_.size() - 1);
    for (std::size_t step = 1; step <= count; ++step)
        successors.push_back(ring_[(own + step) % ring_.size()]);
    return successors;
}

std::vector<Core::NodeName> Manager::sample(std::vector<Core::NodeName> names, std::size_t count)
{
    count = std::min(count, names.size());
    for (std::size_t i = 0; i < count; ++i)
        std::swap(names[i], names[i + random_.below(names.size() - i)]);
    names.resize(count);
    return names;
}

std::vector<Core::NodeName> Manager::chooseRandom(std::size_t count)
{
    std::vector<Core::NodeName> names;
    for (const Member &member : table_.members()) {
        if (member.health == Health::Live)
            names.push_back(member.name);
    }
    return sample(std::move(names), count);
}

/// Members that may be live though nobody hears them, such as those behind a healed partition.
std::vector<Core::NodeName> Manager::chooseDoubted(std::size_t count)
{
    std::vector<Core::NodeName> names;
    for (const Member &member : table_.members()) {
        if (member.health != Health::Live)
            names.push_back(member.name);
    }
    return sample(std::move(names), count);
}

void Manager::pushNews(Core::Instant now, Actions &actions)
{
    const bool pushesCounts = hasCountNews_ && now >= nextCountPush_;
    if (!(hasNews_ || pushesCounts) || now < nextPush_ || budget_.isLow())
        return;
    hasNews_ = false;
    nextPush_ = now + settings_.urgentPause;
    const Contents contents = pushesCounts ? Contents::WithSummaries : Contents::Plain;
    if (pushesCounts) {
        hasCountNews_ = false;
        nextCountPush_ = now + countPushPause;
    }
    for (const Core::NodeName &name : chooseRandom(settings_.urgentFanout))
        send(name, Urgency::Pushed, contents, actions);
}

void Manager::reportStatus(Core::Instant now, Actions &actions)
{
    if (now < nextStatus_)
        return;
    nextStatus_ = now + statusPeriod();
    const auto aggregator = board_.aggregator(settings_.dataCentre, isLeaving_, table_);
    if (!aggregator.isEmpty() && aggregator != settings_.self)
        send(aggregator, Urgency::Periodic, Contents::Plain, actions);
}

/// Grows with the data centre, so that its aggregator isn't flooded.
Core::Duration Manager::statusPeriod() const
{
    const auto members =
        std::ranges::count(table_.members(), settings_.dataCentre, &Member::dataCentre);
    return std::max(minStatusPeriod, Core::Duration(members * statusMillisecondsPerMember));
}

void Manager::listIfDue(Core::Instant now, Actions &actions)
{
    if (now < nextList_)
        return;
    const bool isAlone = table_.liveCount() == 0;
    nextList_ = now + (isAlone ? settings_.lonelyListPeriod : settings_.listPeriod);
    if (!isAlone && !isLister())
        return;
    // Seeds may have been forgotten as dead in a long partition.
    if (isAlone)
        addSeeds(now, actions);
    listCall_ = ++lastCall_;
    actions.emplace_back(Platform::Call{*listCall_, Platform::ListVms()});
}

bool Manager::isLister() const
{
    const auto own = Core::rankOf(settings_.self, listerDuty);
    const auto before = std::ranges::count_if(table_.members(), [&](const Member &member) {
        return member.isUsable() && member.dataCentre == settings_.dataCentre
            && Core::rankOf(member.name, listerDuty) < own;
    });
    return static_cast<std::uint32_t>(before) < settings_.listersPerDataCentre;
}

/// The whole list goes to a node that starts, or compares from time to time.
void Manager::sendList(const Core::NodeName &to, Core::Instant now, Actions &actions)
{
    const auto sent = listSentAt_.find(to);
    if (sent != listSentAt_.end() && now < sent->second + listPause)
        return;
    std::erase_if(listSentAt_, [&](const auto &entry) { return now >= entry.second + listPause; });
    listSentAt_[to] = now;
    Heartbeat heartbeat{ownUpdate(), status_, {}, {}, ListRole::IsListPart};
    const auto flush = [&] {
        std::string payload = encodeHeartbeat(heartbeat);
        bytesSent_ += payload.size() + settings_.overheadPerMessage;
        actions.emplace_back(Peer::Outgoing{to, Peer::MessageKind::Membership, std::move(payload)});
        heartbeat.updates.clear();
    };
    for (const Member &member : table_.members()) {
        if (member.age.incarnation == 0)
            continue;
        heartbeat.updates.push_back(updateOf(member));
        if (heartbeat.updates.size() == listChunk)
            flush();
    }
    if (!heartbeat.updates.empty())
        flush();
}

void Manager::send(const Core::NodeName &to, Urgency urgency, Contents contents, Actions &actions)
{
    if (urgency == Urgency::Pushed && budget_.isLow())
        return;
    Heartbeat heartbeat{ownUpdate(), status_, {}, {}, ListRole::None};
    for (const Core::NodeName &name : gossip_.take(settings_.updatesPerHeartbeat)) {
        const Member *member = table_.find(name);
        if (member != nullptr && member->age.incarnation != 0)
            heartbeat.updates.push_back(updateOf(*member));
    }
    // What the receiver is believed to be is said to it, so that it can refute.
    const Member *receiver = table_.find(to);
    const bool isDoubted =
        receiver != nullptr && receiver->health != Health::Live && receiver->age.incarnation != 0;
    if (isDoubted)
        heartbeat.updates.push_back(updateOf(*receiver));
    if (contents == Contents::WithSummaries)
        heartbeat.summaries = board_.summaries();
    if (!hasList_)
        heartbeat.listRole = ListRole::AsksForList;
    std::string payload = encodeHeartbeat(heartbeat);
    const std::size_t bytes = payload.size() + settings_.overheadPerMessage;
    if (!budget_.spend(static_cast<std::int64_t>(bytes)))
        return;
    bytesSent_ += bytes;
    actions.emplace_back(Peer::Outgoing{to, Peer::MessageKind::Membership, std::move(payload)});
}

Member Manager::self() const
{
    return {settings_.self,
            settings_.dataCentre,
            settings_.peerAddress,
            {settings_.incarnation, refutation_},
            Health::Live,
            isLeaving_,
            isListed_,
            startedAt_};
}

Update Manager::ownUpdate() const
{
    return {settings_.self,       {settings_.incarnation, refutation_},
            Health::Live,         isLeaving_,
            settings_.dataCentre, settings_.peerAddress};
}

Update Manager::updateOf(const Member &member)
{
    Update update{member.name, member.age, member.health, member.isLeaving, {}, ""};
    if (member.health == Health::Live) {
        update.dataCentre = member.dataCentre;
        update.peerAddress = member.peerAddress;
    }
    return update;
}

/// Enough repetitions for news to reach all members with high probability.
std::uint32_t Manager::spreadTimes() const
{
    return spreadFactor * static_cast<std::uint32_t>(std::bit_width(table_.members().size() + 1));
}

/// Grows with the fleet, as a doubt has to reach the doubted and its answer to come back.
Core::Duration Manager::suspicionTimeout() const
{
    const auto hops = static_cast<std::int64_t>(std::bit_width(table_.members().size() + 1));
    return settings_.heartbeatPeriod * (suspicionPeriods + hops);
}

} // namespace Chervilpin::Membership
