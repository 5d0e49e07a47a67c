#include <Allotment/OwnerElection.h>

#include <Allotment/Codec.h>

#include <algorithm>
#include <variant>

namespace Chervilpin::Allotment {

namespace {

constexpr std::int64_t renewalsPerFreshLease = 3;
constexpr Core::Duration retryDelay{250};
constexpr std::uint32_t mostRetryDoublings = 4;
constexpr Core::Duration standbyDelay{1'000};
constexpr Core::Duration longestSilence{1'500}; ///< After this another witness is chosen.
constexpr std::uint32_t mostWritesWithoutSupport = 3;

} // namespace

OwnerElection::OwnerElection(const Options &options, ShareId share, HolderName self)
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
    if (now >= leaseFrom_ + options_.longLease)
        return false;
    if (now < leaseFrom_ + options_.freshLease)
        return true;
    // Challengers may go by any claim that is or may yet be in the platform.
    const auto isSupportedUnder = [&](const Unsettled &write) {
        return isSupported(write.witnesses, now);
    };
    return isSupported(own_.witnesses, now) && std::ranges::all_of(unsettled_, isSupportedUnder);
}

void OwnerElection::endLapsedRight(Core::Instant now)
{
    if (isOwning_ && !wantsRelease_ && !isOwner(now))
        isOwning_ = false;
}

Core::NodeName OwnerElection::knownOwner() const
{
    if (!observed_.has_value() || observed_->isReleased)
        return {};
    return observed_->owner;
}

void OwnerElection::release(Core::Instant now)
{
    endLapsedRight(now);
    if (!isOwning_ || wantsRelease_)
        return;
    wantsRelease_ = true;
    nextCallAt_ = now;
}

bool OwnerElection::isReleased() const
{
    return !isOwning_ && !wantsRelease_;
}

bool OwnerElection::mayBeLapsed(Core::Instant now) const
{
    return now > versionSince_ + options_.stretched(options_.freshLease);
}

bool OwnerElection::mayClaim(Core::Instant now) const
{
    if (!observed_.has_value() || observed_->isReleased)
        return true;
    // The earlier life of this very node can't be granting any more. A claim of this life whose
    // right has ended is claimed anew.
    const bool isOwnName = observed_->owner == self_.node;
    if (isOwnName && observed_->incarnation <= self_.incarnation)
        return true;
    if (!options_.guards.lapseIsWaitedFor)
        return true;
    if (now > versionSince_ + options_.stretched(options_.longLease))
        return true;
    const auto isClear = [this](const Core::NodeName &witness) {
        return clearWitnesses_.contains(witness);
    };
    return mayBeLapsed(now) && std::ranges::all_of(observed_->witnesses, isClear);
}

Platform::CallBody OwnerElection::put(Claim claim, Core::Instant now)
{
    claim.serial = ++serial_;
    unsettled_.push_back({version_, claim.witnesses});
    written_ = std::move(claim);
    wroteFirst_ = version_ == 0;
    writtenAt_ = now;
    underway_ = Underway::Put;
    sentAt_ = now;
    return Platform::Put{key_, Codec::encode(written_), version_};
}

Platform::CallBody OwnerElection::get(Core::Instant now)
{
    underway_ = Underway::Get;
    sentAt_ = now;
    return Platform::Get{key_};
}

bool OwnerElection::isUnresponsive(const Core::NodeName &witness, Core::Instant now) const
{
    const auto state = witnessStates_.find(witness);
    if (state == witnessStates_.end() || !state->second.isSilent)
        return false;
    return now - state->second.silentSince >= longestSilence;
}

std::vector<Core::NodeName> OwnerElection::chooseWitnesses(Core::Instant now) const
{
    std::vector<Core::NodeName> chosen;
    const auto add = [&](const Core::NodeName &witness) {
        const bool isChosen = std::ranges::find(chosen, witness) != chosen.end();
        if (chosen.size() < options_.witnesses && !isChosen)
            chosen.push_back(witness);
    };
    // Those that do their work stay, whatever the member list says.
    for (const Core::NodeName &witness : own_.witnesses) {
        if (isOwning_ && isSupported({&witness, 1}, now) && !isUnresponsive(witness, now))
            add(witness);
    }
    for (const Core::NodeName &witness : witnessCandidates_) {
        if (!isUnresponsive(witness, now))
            add(witness);
    }
    // With nobody else left, those that were silent may have come back.
    for (const Core::NodeName &witness : witnessCandidates_)
        add(witness);
    return chosen;
}

std::optional<Platform::CallBody> OwnerElection::renew(Core::Instant now)
{
    if (!isObserved_)
        return get(now);
    Claim claim = own_;
    claim.witnesses = chooseWitnesses(now);
    const bool lacksSupport = !claim.witnesses.empty() && !isSupported(own_.witnesses, now);
    writesWithoutSupport_ = lacksSupport ? writesWithoutSupport_ + 1 : 0;
    if (writesWithoutSupport_ > mostWritesWithoutSupport) {
        // Whoever reaches the platform but no other node is of no use as an owner.
        wantsRelease_ = true;
        claim = own_;
        claim.isReleased = true;
    }
    return put(std::move(claim), now);
}

std::optional<Platform::CallBody> OwnerElection::claimOrPoll(Core::Instant now)
{
    if (!isObserved_ || !mayClaim(now))
        return get(now);
    Claim claim;
    claim.owner = self_.node;
    claim.incarnation = self_.incarnation;
    claim.epoch = observed_.has_value() ? observed_->epoch + 1 : 1;
    claim.witnesses = chooseWitnesses(now);
    return put(std::move(claim), now);
}

std::optional<Platform::CallBody> OwnerElection::nextCall(Core::Instant now)
{
    if (underway_ != Underway::Nothing) {
        if (now - sentAt_ < options_.callTimeout)
            return std::nullopt;
        reply(Platform::NoAnswer{}, now);
    }
    if (now < nextCallAt_)
        return std::nullopt;
    if (wantsRelease_) {
        Claim claim = own_;
        claim.isReleased = true;
        return isObserved_ ? put(std::move(claim), now) : get(now);
    }
    if (isOwning_)
        return renew(now);
    if (candidacy_ == Candidacy::None)
        return std::nullopt;
    return claimOrPoll(now);
}

void OwnerElection::askForSupport(Core::Instant now, ElectionActions &actions)
{
    if (!isOwner(now) || now < supportAskedAt_ + options_.supportInterval)
        return;
    supportAskedAt_ = now;
    ++supportRound_;
    for (const Core::NodeName &witness : own_.witnesses) {
        WitnessState &state = witnessStates_[witness];
        if (!state.isSilent) {
            state.isSilent = true;
            state.silentSince = now;
        }
        actions.messages.push_back({witness, SupportRequest{share_, own_.epoch, supportRound_}});
        if (isUnresponsive(witness, now) && witnessCandidates_.size() > options_.witnesses)
            nextCallAt_ = std::min(nextCallAt_, std::max(now, writtenAt_ + longestSilence));
    }
}

void OwnerElection::supported(const Core::NodeName &witness, const Support &support,
                              Core::Instant now)
{
    endLapsedRight(now);
    const bool isLatest = support.epoch == own_.epoch && support.requestId == supportRound_;
    if (!isOwning_ || !isLatest)
        return;
    WitnessState &state = witnessStates_[witness];
    state.supportedUntil = supportAskedAt_ + options_.supportSpan;
    state.isSilent = false;
}

void OwnerElection::askForTestimony(Core::Instant now, ElectionActions &actions)
{
    if (isOwning_ || candidacy_ == Candidacy::None || !observed_.has_value())
        return;
    if (observed_->isReleased || !mayBeLapsed(now) || now < nextTestimonyAt_)
        return;
    nextTestimonyAt_ = now + options_.testimonyInterval;
    for (const Core::NodeName &witness : observed_->witnesses) {
        if (!clearWitnesses_.contains(witness))
            actions.messages.push_back({witness, TestimonyRequest{share_, observed_->epoch}});
    }
}

void OwnerElection::testified(const Core::NodeName &witness, const Testimony &testimony,
                              Core::Instant now)
{
    if (isOwning_ || !observed_.has_value() || testimony.epoch != observed_->epoch)
        return;
    if (!testimony.isClear || !mayBeLapsed(now))
        return;
    clearWitnesses_.insert(witness);
    if (candidacy_ != Candidacy::None && mayClaim(now))
        nextCallAt_ = std::min(nextCallAt_, now);
}

ElectionActions OwnerElection::tick(Core::Instant now)
{
    endLapsedRight(now);
    ElectionActions actions;
    askForSupport(now, actions);
    askForTestimony(now, actions);
    actions.call = nextCall(now);
    return actions;
}

void OwnerElection::setVersion(Platform::Version version, Core::Instant now)
{
    if (!isObserved_ || version != version_) {
        versionSince_ = now;
        clearWitnesses_.clear();
    }
    isObserved_ = true;
    version_ = version;
    std::erase_if(unsettled_, [version](const Unsettled &one) { return one.expected < version; });
}

void OwnerElection::won(Platform::Version version, Core::Instant now)
{
    setVersion(version, now);
    observed_ = written_;
    if (written_.isReleased) {
        isOwning_ = false;
        wantsRelease_ = false;
        nextCallAt_ = now + options_.poll;
        return;
    }
    const bool isNew = !isOwning_ || own_.epoch != written_.epoch;
    own_ = written_;
    isOwning_ = true;
    if (isNew) {
        isFirstOwner_ = wroteFirst_;
        witnessStates_.clear();
        supportAskedAt_ = now - options_.supportInterval;
        writesWithoutSupport_ = 0;
    }
    leaseFrom_ = writtenAt_;
    const bool needsWrites = own_.witnesses.empty();
    nextCallAt_ = writtenAt_
        + (needsWrites ? options_.freshLease / renewalsPerFreshLease : options_.renewalInterval);
}

void OwnerElection::observe(const Platform::Object &object, Core::Instant now)
{
    const auto claim = Codec::decodeClaim(object.value);
    if (claim.has_value() && *claim == written_) {
        // A write whose answer was lost did take effect.
        won(object.version, now);
        return;
    }
    setVersion(object.version, now);
    // NOTE: A value that nobody can read is treated as an unknown owner's, with a witness that
    // doesn't exist: its long lease is waited for.
    const Core::NodeName unknown("unknown");
    observed_ = claim.has_value() ? *claim : Claim{unknown, 0, 0, 0, false, {unknown}};
    const bool isOwnClaim = observed_->owner == self_.node
        && observed_->incarnation == self_.incarnation && observed_->epoch == own_.epoch
        && !observed_->isReleased;
    if (isOwning_ && isOwnClaim)
        own_.witnesses = observed_->witnesses;
    if (isOwning_ && !isOwnClaim) {
        isOwning_ = false;
        wantsRelease_ = false;
    }
}

void OwnerElection::observeMissing()
{
    isObserved_ = true;
    version_ = 0;
    observed_.reset();
    clearWitnesses_.clear();
}

void OwnerElection::reply(const Platform::ReplyBody &body, Core::Instant now)
{
    endLapsedRight(now);
    const Underway was = underway_;
    underway_ = Underway::Nothing;
    if (was == Underway::Nothing)
        return;
    if (std::holds_alternative<Platform::NoAnswer>(body)) {
        // It may have taken effect; the next look tells.
        isObserved_ = isObserved_ && was == Underway::Get;
        nextCallAt_ = now + retryDelay * (std::int64_t{1} << failures_);
        failures_ = std::min(failures_ + 1, mostRetryDoublings);
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
    if (was == Underway::Put) {
        won(object.version, now);
        return;
    }
    observe(object, now);
    if (isOwning_)
        nextCallAt_ = std::min(nextCallAt_, now + retryDelay);
    else
        nextCallAt_ = mayClaim(now) ? now : now + options_.poll;
}

} // namespace Chervilpin::Allotment
