#include <Allotment/Manager.h>

#include <Allotment/Codec.h>

namespace Chervilpin::Allotment {

namespace {

constexpr Core::Duration surplusReleaseInterval{60'000};

} // namespace

Core::ErrorOr<std::unique_ptr<Manager>> Manager::create(HolderId self, const Options &options)
{
    // GrantHolder keeps one bit for each in a 64-bit integer.
    constexpr std::uint32_t maximumShares = 64;
    if (self.node.isEmpty())
        return Core::failure(Core::ErrorCode::InvalidArgument, "node name is empty");
    if (options.shards == 0 || options.shares == 0 || options.shares > maximumShares)
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "expected at least 1 shard and 1 to 64 shares");
    return std::unique_ptr<Manager>(new Manager(std::move(self), options));
}

Manager::Manager(HolderId self, const Options &options)
    : self_(std::move(self))
    , options_(options)
    , table_(options)
    , holder_(options, table_)
    , witness_(options)
{
    for (std::uint32_t shard = 0; shard < table_.shardCount(); ++shard) {
        for (std::uint32_t index = 0; index < table_.shareCount(); ++index) {
            const ShareId share{shard, index};
            shares_.emplace(share, OwnedShare{OwnerElection(options, share, self_), nullptr, 0});
        }
    }
}

void Manager::setLimits(std::span<const ResourceLimit> limits, Core::Instant now)
{
    limits_.assign(limits.begin(), limits.end());
    holder_.setLimits(limits);
    for (auto &[share, owned] : shares_) {
        if (owned.allocator != nullptr)
            applyLimits(*owned.allocator, share, now);
    }
}

void Manager::applyLimits(ShareAllocator &allocator, ShareId share, Core::Instant now) const
{
    std::vector<ResourceLimit> parts;
    for (const ResourceLimit &limit : limits_) {
        if (table_.shardOf(limit.name) == share.shard)
            parts.push_back(table_.part(limit, share.index));
    }
    allocator.setLimits(parts, now);
}

void Manager::setMembers(std::span<const Core::NodeName> members, Core::Instant now)
{
    table_.setMembers(members);
    for (auto &[share, owned] : shares_)
        owned.election.setWitnessCandidates(table_.witnessCandidates(share));
    updateCandidacies(now);
}

void Manager::updateCandidacies(Core::Instant now)
{
    for (auto &[share, owned] : shares_) {
        Candidacy candidacy = Candidacy::None;
        if (!isLeaving_ && table_.candidate(share, 0) == self_.node)
            candidacy = Candidacy::First;
        else if (!isLeaving_ && table_.candidate(share, 1) == self_.node)
            candidacy = Candidacy::Standby;
        owned.election.setCandidacy(candidacy, now);
    }
}

TakeResult Manager::tryTake(const ResourceName &resource, std::int64_t amount,
                            Core::Instant deadline, Core::Instant now)
{
    return holder_.take(resource, amount, deadline, now);
}

void Manager::cancel(TicketId ticket)
{
    holder_.cancel(ticket);
}

void Manager::setUsage(const ResourceName &resource, std::int64_t wanted, std::int64_t inUse)
{
    holder_.setUsage(resource, isLeaving_ ? 0 : wanted, inUse);
}

std::int64_t Manager::usableUnits(const ResourceName &resource, Core::Instant now) const
{
    return holder_.usableUnits(resource, now);
}

ShareAllocator *Manager::allocatorOf(ShareId share, Core::Instant now, std::vector<Action> &actions)
{
    const auto found = shares_.find(share);
    if (found == shares_.end())
        return nullptr;
    OwnedShare &owned = found->second;
    const bool isOwner = owned.election.isOwner(now);
    const bool isStale = owned.allocator != nullptr
        && (!isOwner || owned.allocator->epoch() != owned.election.epoch());
    if (isStale) {
        actions.emplace_back(OwnershipChanged{share, owned.allocator->epoch(), false});
        owned.allocator.reset();
    }
    if (!isOwner)
        return nullptr;
    if (owned.allocator == nullptr) {
        const AllocatorStart start =
            owned.election.isFirstOwner() ? AllocatorStart::FirstOwner : AllocatorStart::Successor;
        owned.allocator =
            std::make_unique<ShareAllocator>(options_, share, owned.election.epoch(), start, now);
        applyLimits(*owned.allocator, share, now);
        actions.emplace_back(OwnershipChanged{share, owned.election.epoch(), true});
    }
    return owned.allocator.get();
}

Message Manager::answerTo(const HolderId &holder, const Ask &ask, Core::Instant now,
                          std::vector<Action> &actions)
{
    ShareAllocator *allocator = allocatorOf(ask.share, now, actions);
    if (allocator != nullptr) {
        std::optional<Grant> grant = allocator->answer(holder, ask, now);
        if (grant.has_value())
            return std::move(*grant);
        // The ask is a duplicate or late: its sender ignores any answer to it.
        return Redirect{ask.share, ask.askId, self_.node};
    }
    return Redirect{ask.share, ask.askId, redirectTarget(ask.share)};
}

Core::NodeName Manager::redirectTarget(ShareId share) const
{
    const auto found = shares_.find(share);
    if (found == shares_.end())
        return {};
    const Core::NodeName confirmed = holder_.confirmedOwner(share);
    const Core::NodeName owner =
        confirmed.isEmpty() ? found->second.election.knownOwner() : confirmed;
    return owner == self_.node ? Core::NodeName() : owner;
}

void Manager::send(const Core::NodeName &to, const Message &message, std::vector<Action> &actions)
{
    Peer::Outgoing outgoing{to, Peer::MessageKind::Allotment, Codec::encode(message)};
    actions.emplace_back(SendToPeer{std::move(outgoing)});
}

bool Manager::answerLocally(const AddressedAsk &ask, Core::Instant now,
                            std::vector<Action> &actions)
{
    if (ask.to != self_.node)
        return false;
    const Message answer = answerTo(self_, ask.ask, now, actions);
    if (const auto *grant = std::get_if<Grant>(&answer))
        holder_.handleGrant(self_.node, *grant, now);
    else if (const auto *redirect = std::get_if<Redirect>(&answer))
        holder_.handleRedirect(*redirect, now);
    return true;
}

void Manager::perform(HolderActions held, Core::Instant now, std::vector<Action> &actions)
{
    // An ask to this node itself is answered at once, which may lead to another ask. Each round
    // uses up one share, so the number of rounds is bounded.
    for (std::uint32_t round = 0; round <= table_.shareCount(); ++round) {
        bool isAnsweredLocally = false;
        for (const Decision &decision : held.decisions)
            actions.emplace_back(decision);
        for (const AddressedAsk &ask : held.asks) {
            if (answerLocally(ask, now, actions))
                isAnsweredLocally = true;
            else
                send(ask.to, ask.ask, actions);
        }
        if (!isAnsweredLocally)
            return;
        held = holder_.flush(now);
    }
    for (const Decision &decision : held.decisions)
        actions.emplace_back(decision);
    for (const AddressedAsk &ask : held.asks)
        send(ask.to, ask.ask, actions);
}

std::vector<Action> Manager::peerMessage(const Peer::Incoming &incoming, Core::Instant now)
{
    std::vector<Action> actions;
    const auto message = Codec::decodeMessage(incoming.payload);
    if (!message.has_value())
        return actions;
    if (const auto *ask = std::get_if<Ask>(&*message)) {
        const HolderId holder{incoming.from, incoming.incarnation};
        send(incoming.from, answerTo(holder, *ask, now, actions), actions);
        return actions;
    }
    if (const auto answer = handleElectionMessage(incoming.from, *message, now)) {
        send(incoming.from, *answer, actions);
        return actions;
    }
    if (const auto *grant = std::get_if<Grant>(&*message))
        holder_.handleGrant(incoming.from, *grant, now);
    else if (const auto *redirect = std::get_if<Redirect>(&*message))
        holder_.handleRedirect(*redirect, now);
    perform(holder_.flush(now), now, actions);
    return actions;
}

OwnerElection *Manager::electionOf(ShareId share)
{
    const auto found = shares_.find(share);
    return found == shares_.end() ? nullptr : &found->second.election;
}

std::optional<Message> Manager::handleElectionMessage(const Core::NodeName &from,
                                                      const Message &message, Core::Instant now)
{
    if (const auto *request = std::get_if<SupportRequest>(&message)) {
        if (electionOf(request->share) == nullptr)
            return std::nullopt;
        const std::optional<Support> support = witness_.answer(*request, now);
        return support.has_value() ? std::optional<Message>(*support) : std::nullopt;
    }
    if (const auto *request = std::get_if<TestimonyRequest>(&message)) {
        if (electionOf(request->share) == nullptr)
            return std::nullopt;
        return witness_.answer(*request, now);
    }
    if (const auto *support = std::get_if<Support>(&message)) {
        if (OwnerElection *election = electionOf(support->share))
            election->handleSupport(from, *support, now);
    } else if (const auto *testimony = std::get_if<Testimony>(&message)) {
        if (OwnerElection *election = electionOf(testimony->share))
            election->handleTestimony(from, *testimony, now);
    }
    return std::nullopt;
}

void Manager::sendElectionMessage(const AddressedMessage &message, Core::Instant now,
                                  std::vector<Action> &actions)
{
    if (message.to != self_.node) {
        send(message.to, message.message, actions);
        return;
    }
    // A challenger may itself be a witness of the claim.
    if (const auto answer = handleElectionMessage(self_.node, message.message, now))
        (void)handleElectionMessage(self_.node, *answer, now);
}

std::vector<Action> Manager::platformReply(const Platform::Reply &reply, Core::Instant now)
{
    std::vector<Action> actions;
    for (auto &[share, owned] : shares_) {
        if (owned.pendingCall != reply.id || reply.id == 0)
            continue;
        owned.pendingCall = 0;
        owned.election.handleReply(reply.body, now);
        allocatorOf(share, now, actions);
    }
    tickElections(now, actions);
    return actions;
}

void Manager::tickElections(Core::Instant now, std::vector<Action> &actions)
{
    for (auto &[share, owned] : shares_) {
        allocatorOf(share, now, actions);
        ElectionActions due = owned.election.tick(now);
        for (const AddressedMessage &message : due.messages)
            sendElectionMessage(message, now, actions);
        if (!due.call.has_value())
            continue;
        owned.pendingCall = nextCall_++;
        actions.emplace_back(CallPlatform{{owned.pendingCall, std::move(*due.call)}});
    }
}

void Manager::releaseSurplusShares(Core::Instant now)
{
    if (now < nextReleaseAt_)
        return;
    nextReleaseAt_ = now + surplusReleaseInterval;
    std::map<std::uint32_t, std::uint32_t> ownedInShard;
    for (const auto &[share, owned] : shares_)
        ownedInShard[share.shard] += owned.election.isOwner(now) ? 1 : 0;
    for (auto &[share, owned] : shares_) {
        if (!owned.election.isOwner(now) || ownedInShard[share.shard] < 2)
            continue;
        const Core::NodeName first = table_.candidate(share, 0);
        if (first.isEmpty() || first == self_.node)
            continue;
        owned.election.release(now);
        --ownedInShard[share.shard];
    }
}

std::vector<Action> Manager::tick(Core::Instant now)
{
    std::vector<Action> actions;
    releaseSurplusShares(now);
    tickElections(now, actions);
    for (auto &[share, owned] : shares_) {
        if (owned.allocator != nullptr)
            owned.allocator->tick(now);
    }
    perform(holder_.tick(now), now, actions);
    return actions;
}

std::vector<Action> Manager::flush(Core::Instant now)
{
    std::vector<Action> actions;
    perform(holder_.flush(now), now, actions);
    return actions;
}

void Manager::leave(Core::Instant now)
{
    isLeaving_ = true;
    holder_.leave();
    updateCandidacies(now);
    for (auto &[share, owned] : shares_)
        owned.election.release(now);
}

bool Manager::hasLeft(Core::Instant now) const
{
    for (const auto &[share, owned] : shares_) {
        if (!owned.election.isReleased())
            return false;
    }
    return isLeaving_ && holder_.isEmpty(now);
}

std::int64_t Manager::held(const ResourceName &resource, Core::Instant now) const
{
    return holder_.held(resource, now);
}

bool Manager::isOwner(ShareId share, Core::Instant now) const
{
    const auto found = shares_.find(share);
    return found != shares_.end() && found->second.election.isOwner(now);
}

MicroUnits Manager::ownedLevel(const ResourceName &resource, Core::Instant now) const
{
    MicroUnits sum = 0;
    for (const auto &[share, owned] : shares_) {
        if (owned.allocator != nullptr && owned.election.isOwner(now))
            sum += owned.allocator->level(resource);
    }
    return sum;
}

} // namespace Chervilpin::Allotment
