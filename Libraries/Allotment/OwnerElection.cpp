#include <Allotment/OwnerElection.h>

#include <Allotment/Codec.h>

#include <algorithm>
#include <variant>

namespace Chervilpin::Allotment {

namespace {

constexpr std::int64_t renewalsPerLease = 3;
constexpr Core::Duration longestRenewal{60'000};
constexpr Core::Duration retryDelay{250};
constexpr Core::Duration standbyDelay{1'000};

} // namespace

OwnerElection::OwnerElection(const Options &options, ShareId share, HolderName self)
    : options_(options)
    , share_(share)
    , self_(std::move(self))
    , key_("allotment/" + std::to_string(share.shard) + "/" + std::to_string(share.index))
{ }

Core::Duration OwnerElection::lease() const
{
    return options_.shares[share_.index].lease;
}

Core::Duration OwnerElection::pollInterval() const
{
    return share_.index == 0 ? options_.poolPoll : options_.reservePoll;
}

void OwnerElection::setCandidacy(Candidacy candidacy, Core::Instant now)
{
    if (candidacy_ == Candidacy::None && !isOwning_)
        nextCallAt_ = candidacy == Candidacy::Standby ? now + standbyDelay : now;
    candidacy_ = candidacy;
}

bool OwnerElection::isOwner(Core::Instant now) const
{
    if (!isOwning_ || wantsRelease_)
        return false;
    return now < leaseFrom_ + lease() || !options_.guards.ownerStopsAtLease;
}

Core::NodeName OwnerElection::knownOwner() const
{
    if (!observed_.has_value() || observed_->isReleased)
        return {};
    return observed_->owner;
}

void OwnerElection::release(Core::Instant now)
{
    if (!isOwning_ || wantsRelease_)
        return;
    wantsRelease_ = true;
    nextCallAt_ = now;
}

bool OwnerElection::isReleased() const
{
    return !isOwning_ && !wantsRelease_;
}

bool OwnerElection::mayClaim(Core::Instant now) const
{
    if (!observed_.has_value() || observed_->isReleased)
        return true;
    // The earlier life of this very node can't be granting any more. An expired claim of this life
    // is claimed anew, as a new epoch.
    const bool isOwnName = observed_->owner == self_.node;
    if (isOwnName && observed_->incarnation <= self_.incarnation)
        return true;
    if (!options_.guards.lapseIsWaitedFor)
        return true;
    return now > versionSince_ + options_.stretched(lease());
}

Platform::CallBody OwnerElection::put(const Claim &claim, Core::Instant now)
{
    written_ = claim;
    written_.serial = ++serial_;
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

std::optional<Platform::CallBody> OwnerElection::tick(Core::Instant now)
{
    if (isOwning_ && !wantsRelease_ && !isOwner(now))
        isOwning_ = false;
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
        return isObserved_ ? put(claim, now) : get(now);
    }
    if (isOwning_)
        return isObserved_ ? put(own_, now) : get(now);
    if (candidacy_ == Candidacy::None)
        return std::nullopt;
    return claimOrPoll(now);
}

std::optional<Platform::CallBody> OwnerElection::claimOrPoll(Core::Instant now)
{
    if (!isObserved_ || !mayClaim(now))
        return get(now);
    Claim claim;
    claim.owner = self_.node;
    claim.incarnation = self_.incarnation;
    claim.epoch = observed_.has_value() ? observed_->epoch + 1 : 1;
    return put(claim, now);
}

void OwnerElection::won(Platform::Version version, Core::Instant now)
{
    isObserved_ = true;
    if (version_ != version)
        versionSince_ = now;
    version_ = version;
    observed_ = written_;
    if (written_.isReleased) {
        isOwning_ = false;
        wantsRelease_ = false;
        nextCallAt_ = now + pollInterval();
        return;
    }
    const bool isNew = !isOwning_ || own_.epoch != written_.epoch;
    own_ = written_;
    isOwning_ = true;
    if (isNew)
        isFirstOwner_ = wroteFirst_;
    leaseFrom_ = writtenAt_;
    nextCallAt_ = writtenAt_ + std::min(lease() / renewalsPerLease, longestRenewal);
}

void OwnerElection::observe(const Platform::Object &object, Core::Instant now)
{
    const auto claim = Codec::decodeClaim(object.value);
    if (claim.has_value() && *claim == written_) {
        // A write whose answer was lost did take effect.
        won(object.version, now);
        return;
    }
    if (!isObserved_ || object.version != version_)
        versionSince_ = now;
    isObserved_ = true;
    version_ = object.version;
    // NOTE: A value that nobody can read is treated as an unknown owner's: its lease is waited for.
    observed_ = claim.has_value() ? *claim : Claim{Core::NodeName("unknown"), 0, 0, 0, false};
    const bool isOwnClaim = observed_->owner == self_.node
        && observed_->incarnation == self_.incarnation && observed_->epoch == own_.epoch;
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
}

void OwnerElection::reply(const Platform::ReplyBody &body, Core::Instant now)
{
    const Underway was = underway_;
    underway_ = Underway::Nothing;
    if (was == Underway::Nothing)
        return;
    if (std::holds_alternative<Platform::NoAnswer>(body)) {
        // It may have taken effect; the next look tells.
        isObserved_ = isObserved_ && was == Underway::Get;
        nextCallAt_ = now + retryDelay;
        return;
    }
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
        nextCallAt_ = mayClaim(now) ? now : now + pollInterval();
}

} // namespace Chervilpin::Allotment
