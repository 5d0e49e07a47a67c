#include <Allotment/OwnerElection.h>

#include <Allotment/Codec.h>

#include <algorithm>
#include <variant>

namespace Chervilpin::Allotment {

namespace {

constexpr std::int64_t renewalsPerUnwitnessedLease = 3;
constexpr Core::Duration retryDelay{250};
constexpr std::uint32_t maximumRetryDoublings = 4;
constexpr Core::Duration standbyDelay{1'000};
constexpr Core::Duration witnessTimeout{
    1'500}; ///< After this without an answer, another is chosen.
constexpr std::uint32_t maximumWritesWithoutSupport = 3;

} // namespace

OwnerElection::OwnerElection(const Options &options, ShareId share, HolderId self)
    : options_(options)
    , share_(share)
    , self_(std::move(self))
    , key_("allotment/" + std::to_string(share.shard) + "/" + std::to_string(share.index))
{ }

void OwnerElection::setCandidacy(Candidacy candidacy, Core::Instant now)
{
    if (candidacy_ == Candidacy::None && !isOwning_)
        nextCallAt_ = candidacy == Candidacy::Standby ? now + standbyDelay : now;
    candidacy_ = candidacy;
}

void OwnerElection::setWitnessCandidates(std::vector<Core::NodeName> candidates)
{
    witnessCandidates_ = std::move(candidates);
    std::erase(witnessCandidates_, self_.node);
}

bool OwnerElection::isSupported(std::span<const Core::NodeName> witnesses, Core::Instant now) const
{
    return std::ranges::any_of(witnesses, [&](const Core::NodeName &witness) {
        const auto state = witnessStates_.find(witness);
        return state != witnessStates_.end() && now < state->second.supportedUntil;
    });
}

bool OwnerElection::isOwner(Core::Instant now) const
{
    if (!isOwning_ || wantsRelease_)
        return false;
    if (!options_.guards.ownerStopsAtLease)
        return true;
    if (now >= leaseStart_ + options_.witnessedLease)
        return false;
    if (now < leaseStart_ + options_.unwitnessedLease)
        return true;
    // Challengers may have observed any claim that is, or may yet be, stored in the platform, so
    // the owner needs support under each of them.
    const auto isSupportedUnder = [&](const UncertainWrite &write) {
        return isSupported(write.witnesses, now);
    };
    return isSupported(ownClaim_.witnesses, now)
        && std::ranges::all_of(uncertainWrites_, isSupportedUnder);
}

void OwnerElection::endExpiredOwnership(Core::Instant now)
{
    if (isOwning_ && !wantsRelease_ && !isOwner(now))
        isOwning_ = false;
}

Core::NodeName OwnerElection::knownOwner() const
{
    if (!observedClaim_.has_value() || observedClaim_->isReleased)
        return {};
    return observedClaim_->owner;
}

void OwnerElection::release(Core::Instant now)
{
    endExpiredOwnership(now);
    if (!isOwning_ || wantsRelease_)
        return;
    wantsRelease_ = true;
    nextCallAt_ = now;
}

bool OwnerElection::isReleased() const
{
    return !isOwning_ && !wantsRelease_;
}

bool OwnerElection::mayHaveExpired(Core::Instant now) const
{
    return now > versionSince_ + options_.withDriftMargin(options_.unwitnessedLease);
}

bool OwnerElection::mayClaim(Core::Instant now) const
{
    if (!observedClaim_.has_value() || observedClaim_->isReleased)
        return true;
    // An earlier incarnation of this node cannot be granting any more. A claim of this incarnation
    // whose lease has expired is claimed anew, with a new epoch.
    const bool isOwnNode = observedClaim_->owner == self_.node;
    if (isOwnNode && observedClaim_->incarnation <= self_.incarnation)
        return true;
    if (!options_.guards.challengerWaits)
        return true;
    if (now > versionSince_ + options_.withDriftMargin(options_.witnessedLease))
        return true;
    const auto isClear = [this](const Core::NodeName &witness) {
        return clearWitnesses_.contains(witness);
    };
    return mayHaveExpired(now) && std::ranges::all_of(observedClaim_->witnesses, isClear);
}

Platform::CallBody OwnerElection::put(Claim claim, Core::Instant now)
{
    claim.serial = ++serial_;
    uncertainWrites_.push_back({version_, claim.witnesses});
    lastWrittenClaim_ = std::move(claim);
    wroteFirstClaim_ = version_ == 0;
    lastWriteSentAt_ = now;
    pendingCall_ = PendingCall::Put;
    callSentAt_ = now;
    return Platform::Put{key_, Codec::encode(lastWrittenClaim_), version_};
}

Platform::CallBody OwnerElection::get(Core::Instant now)
{
    pendingCall_ = PendingCall::Get;
    callSentAt_ = now;
    return Platform::Get{key_};
}

bool OwnerElection::isUnresponsive(const Core::NodeName &witness, Core::Instant now) const
{
    const auto state = witnessStates_.find(witness);
    if (state == witnessStates_.end() || !state->second.isSilent)
        return false;
    return now - state->second.silentSince >= witnessTimeout;
}

std::vector<Core::NodeName> OwnerElection::chooseWitnesses(Core::Instant now) const
{
    std::vector<Core::NodeName> chosen;
    const auto add = [&](const Core::NodeName &witness) {
        const bool isChosen = std::ranges::find(chosen, witness) != chosen.end();
        if (chosen.size() < options_.witnesses && !isChosen)
            chosen.push_back(witness);
    };
    // Witnesses that answer are kept, even if they are no longer among the candidates.
    for (const Core::NodeName &witness : ownClaim_.witnesses) {
        if (isOwning_ && isSupported({&witness, 1}, now) && !isUnresponsive(witness, now))
            add(witness);
    }
    for (const Core::NodeName &witness : witnessCandidates_) {
        if (!isUnresponsive(witness, now))
            add(witness);
    }
    // If there are too few candidates, unresponsive ones are included, since they may have
    // recovered.
    for (const Core::NodeName &witness : witnessCandidates_)
        add(witness);
    return chosen;
}

std::optional<Platform::CallBody> OwnerElection::renew(Core::Instant now)
{
    if (!isVersionKnown_)
        return get(now);
    Claim claim = ownClaim_;
    claim.witnesses = chooseWitnesses(now);
    const bool lacksSupport = !claim.witnesses.empty() && !isSupported(ownClaim_.witnesses, now);
    writesWithoutSupport_ = lacksSupport ? writesWithoutSupport_ + 1 : 0;
    if (writesWithoutSupport_ > maximumWritesWithoutSupport) {
        // A node that reaches the platform but none of its witnesses cannot serve as an owner.
        wantsRelease_ = true;
        claim = ownClaim_;
        claim.isReleased = true;
    }
    return put(std::move(claim), now);
}

std::optional<Platform::CallBody> OwnerElection::claimOrPoll(Core::Instant now)
{
    if (!isVersionKnown_ || !mayClaim(now))
        return get(now);
    Claim claim;
    claim.owner = self_.node;
    claim.incarnation = self_.incarnation;
    claim.epoch = observedClaim_.has_value() ? observedClaim_->epoch + 1 : 1;
    claim.witnesses = chooseWitnesses(now);
    return put(std::move(claim), now);
}

std::optional<Platform::CallBody> OwnerElection::nextCall(Core::Instant now)
{
    if (pendingCall_ != PendingCall::Nothing) {
        if (now - callSentAt_ < options_.callTimeout)
            return std::nullopt;
        handleReply(Platform::NoAnswer{}, now);
    }
    if (now < nextCallAt_)
        return std::nullopt;
    if (wantsRelease_) {
        Claim claim = ownClaim_;
        claim.isReleased = true;
        return isVersionKnown_ ? put(std::move(claim), now) : get(now);
    }
    if (isOwning_)
        return renew(now);
    if (candidacy_ == Candidacy::None)
        return std::nullopt;
    return claimOrPoll(now);
}

void OwnerElection::requestSupport(Core::Instant now, ElectionActions &actions)
{
    if (!isOwner(now) || now < supportAskedAt_ + options_.supportInterval)
        return;
    supportAskedAt_ = now;
    ++supportRound_;
    for (const Core::NodeName &witness : ownClaim_.witnesses) {
        WitnessState &state = witnessStates_[witness];
        if (!state.isSilent) {
            state.isSilent = true;
            state.silentSince = now;
        }
        actions.messages.push_back(
            {witness, SupportRequest{share_, ownClaim_.epoch, supportRound_}});
        if (isUnresponsive(witness, now) && witnessCandidates_.size() > options_.witnesses)
            nextCallAt_ = std::min(nextCallAt_, std::max(now, lastWriteSentAt_ + witnessTimeout));
    }
}

void OwnerElection::handleSupport(const Core::NodeName &witness, const Support &support,
                                  Core::Instant now)
{
    endExpiredOwnership(now);
    const bool isLatest = support.epoch == ownClaim_.epoch && support.requestId == supportRound_;
    if (!isOwning_ || !isLatest)
        return;
    WitnessState &state = witnessStates_[witness];
    state.supportedUntil = supportAskedAt_ + options_.supportDuration;
    state.isSilent = false;
}

void OwnerElection::requestTestimony(Core::Instant now, ElectionActions &actions)
{
    if (isOwning_ || candidacy_ == Candidacy::None || !observedClaim_.has_value())
        return;
    if (observedClaim_->isReleased || !mayHaveExpired(now) || now < nextTestimonyAt_)
        return;
    nextTestimonyAt_ = now + options_.testimonyInterval;
    for (const Core::NodeName &witness : observedClaim_->witnesses) {
        if (!clearWitnesses_.contains(witness))
            actions.messages.push_back({witness, TestimonyRequest{share_, observedClaim_->epoch}});
    }
}

void OwnerElection::handleTestimony(const Core::NodeName &witness, const Testimony &testimony,
                                    Core::Instant now)
{
    if (isOwning_ || !observedClaim_.has_value() || testimony.epoch != observedClaim_->epoch)
        return;
    if (!testimony.isClear || !mayHaveExpired(now))
        return;
    clearWitnesses_.insert(witness);
    if (candidacy_ != Candidacy::None && mayClaim(now))
        nextCallAt_ = std::min(nextCallAt_, now);
}

ElectionActions OwnerElection::tick(Core::Instant now)
{
    endExpiredOwnership(now);
    ElectionActions actions;
    requestSupport(now, actions);
    requestTestimony(now, actions);
    actions.call = nextCall(now);
    return actions;
}

void OwnerElection::setVersion(Platform::Version version, Core::Instant now)
{
    if (!isVersionKnown_ || version != version_) {
        versionSince_ = now;
        clearWitnesses_.clear();
    }
    isVersionKnown_ = true;
    version_ = version;
    std::erase_if(uncertainWrites_,
                  [version](const UncertainWrite &one) { return one.expected < version; });
}

void OwnerElection::applyWrite(Platform::Version version, Core::Instant now)
{
    setVersion(version, now);
    observedClaim_ = lastWrittenClaim_;
    if (lastWrittenClaim_.isReleased) {
        isOwning_ = false;
        wantsRelease_ = false;
        nextCallAt_ = now + options_.pollInterval;
        return;
    }
    const bool isNew = !isOwning_ || ownClaim_.epoch != lastWrittenClaim_.epoch;
    ownClaim_ = lastWrittenClaim_;
    isOwning_ = true;
    if (isNew) {
        isFirstOwner_ = wroteFirstClaim_;
        witnessStates_.clear();
        supportAskedAt_ = now - options_.supportInterval;
        writesWithoutSupport_ = 0;
    }
    leaseStart_ = lastWriteSentAt_;
    const bool needsWrites = ownClaim_.witnesses.empty();
    nextCallAt_ = lastWriteSentAt_
        + (needsWrites ? options_.unwitnessedLease / renewalsPerUnwitnessedLease
                       : options_.renewalInterval);
}

void OwnerElection::observe(const Platform::Object &object, Core::Instant now)
{
    const auto claim = Codec::decodeClaim(object.value);
    if (claim.has_value() && *claim == lastWrittenClaim_) {
        // A write whose reply was lost has taken effect.
        applyWrite(object.version, now);
        return;
    }
    setVersion(object.version, now);
    // NOTE: A value that cannot be decoded is treated as the claim of an unknown owner with a
    // witness that does not exist, so that the witnessed lease is waited for.
    const Core::NodeName unknown("unknown");
    observedClaim_ = claim.has_value() ? *claim : Claim{unknown, 0, 0, 0, false, {unknown}};
    const bool isOwnClaim = observedClaim_->owner == self_.node
        && observedClaim_->incarnation == self_.incarnation
        && observedClaim_->epoch == ownClaim_.epoch && !observedClaim_->isReleased;
    if (isOwning_ && isOwnClaim)
        ownClaim_.witnesses = observedClaim_->witnesses;
    if (isOwning_ && !isOwnClaim) {
        isOwning_ = false;
        wantsRelease_ = false;
    }
}

void OwnerElection::observeMissing()
{
    isVersionKnown_ = true;
    version_ = 0;
    observedClaim_.reset();
    clearWitnesses_.clear();
}

void OwnerElection::handleReply(const Platform::ReplyBody &body, Core::Instant now)
{
    endExpiredOwnership(now);
    const PendingCall answeredCall = pendingCall_;
    pendingCall_ = PendingCall::Nothing;
    if (answeredCall == PendingCall::Nothing)
        return;
    if (std::holds_alternative<Platform::NoAnswer>(body)) {
        // The write may have taken effect; the next read shows it.
        isVersionKnown_ = isVersionKnown_ && answeredCall == PendingCall::Get;
        nextCallAt_ = now + retryDelay * (std::int64_t{1} << failures_);
        failures_ = std::min(failures_ + 1, maximumRetryDoublings);
        return;
    }
    failures_ = 0;
    if (std::holds_alternative<Platform::Missing>(body)) {
        observeMissing();
        nextCallAt_ = now;
        return;
    }
    if (const auto *conflict = std::get_if<Platform::VersionConflict>(&body)) {
        if (conflict->current.version == 0)
            observeMissing();
        else
            observe(conflict->current, now);
        nextCallAt_ = std::max(nextCallAt_, now + retryDelay);
        return;
    }
    const auto *objects = std::get_if<Platform::Objects>(&body);
    if (objects == nullptr || objects->objects.empty())
        return;
    const Platform::Object &object = objects->objects.front();
    if (answeredCall == PendingCall::Put) {
        applyWrite(object.version, now);
        return;
    }
    observe(object, now);
    if (isOwning_)
        nextCallAt_ = std::min(nextCallAt_, now + retryDelay);
    else
        nextCallAt_ = mayClaim(now) ? now : now + options_.pollInterval;
}

} // namespace Chervilpin::Allotment
