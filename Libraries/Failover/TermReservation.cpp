#include <Failover/TermReservation.h>

#include <algorithm>
#include <utility>

namespace Chervilpin::Failover {

namespace {

constexpr std::int64_t maximumBackoffDoublings = 6;
constexpr std::size_t maximumOwnerChanges = 16;
constexpr Core::Term minimumStride = 1 << 20;

/// Merges the highest known terms into the object found, since a store that lost its last changes
/// must not revoke granted terms or published promotions.
TermObject mergeHighest(TermObject found, const TermObject &known)
{
    found.highestGranted = std::max(found.highestGranted, known.highestGranted);
    if (known.current.term > found.current.term)
        found.current = known.current;
    for (const auto &change : known.owners) {
        if (std::ranges::find(found.owners, change) == found.owners.end())
            found.owners.push_back(change);
    }
    std::ranges::stable_sort(found.owners, {}, &OwnerChange::since);
    return found;
}

void trim(std::vector<OwnerChange> &owners)
{
    if (owners.size() > maximumOwnerChanges)
        owners.erase(owners.begin(), owners.end() - maximumOwnerChanges);
}

} // namespace

TermReservation::TermReservation(ThisNode self, const Group &group, FailoverPolicy policy,
                                 Core::Random random)
    : self_(std::move(self))
    , group_(group)
    , policy_(policy)
    , random_(random)
    , isReservationRequired_(policy_.reserveInAdvance == Guard::On)
    , reservationNonce_(random_.bits())
    , stride_(minimumStride + random_.below(minimumStride))
{ }

void TermReservation::setHolders(std::vector<Core::NodeName> holders)
{
    if (holders != holders_)
        holders_ = std::move(holders);
}

void TermReservation::release()
{
    isReleased_ = true;
}

void TermReservation::recordSeenTerm(Core::Term term)
{
    termSeen_ = std::max(termSeen_, term);
}

void TermReservation::publish(const CurrentPrimary &current)
{
    if (!publication_ || publication_->term < current.term)
        publication_ = current;
}

void TermReservation::requestOwnership(const Core::HalfName &owner)
{
    if (ownershipRequest_ && ownershipRequest_->owner == owner)
        return;
    ownershipRequest_ = OwnerChange{.owner = owner, .nonce = random_.bits()};
}

void TermReservation::dropOwnershipRequest()
{
    ownershipRequest_.reset();
}

std::optional<Platform::CallBody> TermReservation::tick(Core::Instant now)
{
    if (isCalling_ && now - calledAt_ >= policy_.platformTimeout)
        callFailed(now);
    if (isCalling_ || now < nextCallAt_)
        return std::nullopt;
    if (isObjectCurrent_ && now - readAt_ >= policy_.refreshInterval)
        isObjectCurrent_ = false;
    if (!isObjectCurrent_) {
        isCalling_ = true;
        calledAt_ = now;
        return Platform::Get{termKey(group_.name)};
    }
    TermObject desired = desiredObject();
    if (desired == *object_)
        return std::nullopt;
    isCalling_ = true;
    calledAt_ = now;
    pendingPut_ = std::move(desired);
    return Platform::Put{termKey(group_.name), pendingPut_->toJson(), version_};
}

void TermReservation::replied(const Platform::ReplyBody &reply, Core::Instant now)
{
    if (!isCalling_)
        return;
    isCalling_ = false;
    const std::optional<TermObject> put = std::exchange(pendingPut_, std::nullopt);
    readAt_ = now;
    if (const auto *objects = std::get_if<Platform::Objects>(&reply);
        objects != nullptr && objects->objects.size() == 1) {
        if (put) {
            object_ = *put;
            version_ = objects->objects.front().version;
            callSucceeded();
        } else {
            adopt(objects->objects.front());
        }
        return;
    }
    if (const auto *conflict = std::get_if<Platform::VersionConflict>(&reply)) {
        if (conflict->current.version == 0)
            adoptInitialObject();
        else
            adopt(conflict->current);
        return;
    }
    if (std::holds_alternative<Platform::Missing>(reply)) {
        adoptInitialObject();
        return;
    }
    callFailed(now);
}

std::optional<Core::Term> TermReservation::reservedTerm() const
{
    if (!ownReservation_ || !isUsable(*ownReservation_) || isReleased_)
        return std::nullopt;
    return ownReservation_->term;
}

void TermReservation::consumeReservedTerm()
{
    ownReservation_.reset();
    reservationNonce_ = random_.bits();
}

std::optional<Core::Term> TermReservation::ownershipTerm() const
{
    if (!ownershipRequest_ || ownershipRequest_->since == 0)
        return std::nullopt;
    return ownershipRequest_->since;
}

std::size_t TermReservation::rank() const
{
    const std::optional<Core::Term> own = reservedTerm();
    if (!own || !object_)
        return 0;
    return static_cast<std::size_t>(
        std::ranges::count_if(object_->reservations, [&](const Reservation &entry) {
            return isUsable(entry) && entry.term < *own;
        }));
}

bool TermReservation::isUsable(const Reservation &entry) const
{
    const Core::Term published = object_ ? object_->current.term : 0;
    return entry.term > std::max(termSeen_, published);
}

bool TermReservation::isHolder(const Core::NodeName &node) const
{
    return std::ranges::find(holders_, node) != holders_.end();
}

TermObject TermReservation::desiredObject() const
{
    TermObject object = *object_;
    editPublication(object);
    editOwnership(object);
    editReservation(object);
    return object;
}

void TermReservation::editReservation(TermObject &object) const
{
    const auto isStaleOwn = [&](const Reservation &entry) {
        return entry.node == self_.name
            && (isReleased_ || entry.nonce != reservationNonce_ || !isUsable(entry));
    };
    if (isReleased_) {
        std::erase_if(object.reservations, isStaleOwn);
        return;
    }
    if (!isReservationRequired_ || !isHolder(self_.name))
        return;
    const Reservation *own = object.reservationOf(self_.name);
    if (own != nullptr && !isStaleOwn(*own))
        return;
    std::erase_if(object.reservations, isStaleOwn);
    if (!removeStaleReservations(object, *this))
        return;
    const Core::Term term = object.grant(grantFloor(object));
    object.reservations.push_back({.term = term,
                                   .node = self_.name,
                                   .incarnation = self_.incarnation,
                                   .dataCentre = self_.dataCentre,
                                   .nonce = reservationNonce_});
}

bool TermReservation::removeStaleReservations(TermObject &object, const TermReservation &view)
{
    std::erase_if(object.reservations, [&](const Reservation &entry) {
        return !view.isHolder(entry.node) || entry.term <= object.current.term;
    });
    return object.reservations.size() < view.policy_.reservationCount;
}

void TermReservation::editPublication(TermObject &object) const
{
    if (publication_ && publication_->term > object.current.term)
        object.current = *publication_;
}

void TermReservation::editOwnership(TermObject &object) const
{
    if (!ownershipRequest_ || ownershipRequest_->since != 0)
        return;
    OwnerChange change = *ownershipRequest_;
    change.since = object.grant(grantFloor(object));
    object.owners.push_back(change);
    trim(object.owners);
}

Core::Term TermReservation::grantFloor(const TermObject &object) const
{
    // A store that returned an older state may have lost terms that nodes hold. Skipping a random
    // number of terms makes it very unlikely that one of those is granted again.
    const bool hasForgotten = isStoreRolledBack_ || (version_ == 0 && termSeen_ > 1);
    return hasForgotten ? std::max(termSeen_, object.highestGranted) + stride_ : termSeen_;
}

void TermReservation::adopt(const Platform::Object &found)
{
    auto parsed = TermObject::fromJson(found.value);
    if (parsed) {
        adopt(std::move(*parsed), found.version);
        return;
    }
    // An object that cannot be parsed is replaced by this node's last known state.
    adopt(object_.value_or(TermObject{.owners = {{.owner = group_.owner}}}), found.version);
    isStoreRolledBack_ = true;
}

void TermReservation::adoptInitialObject()
{
    adopt(TermObject{.owners = {{.owner = group_.owner}}}, 0);
}

void TermReservation::adopt(TermObject found, Platform::Version version)
{
    isStoreRolledBack_ = object_ && version < version_;
    if (isStoreRolledBack_)
        found = mergeHighest(std::move(found), *object_);
    object_ = std::move(found);
    version_ = version;
    callSucceeded();
}

void TermReservation::recogniseOwnChanges()
{
    const Reservation *entry = object_->reservationOf(self_.name);
    if (entry != nullptr && entry->nonce == reservationNonce_)
        ownReservation_ = *entry;
    if (!ownershipRequest_)
        return;
    for (const auto &change : object_->owners) {
        if (change.nonce == ownershipRequest_->nonce)
            ownershipRequest_ = change;
    }
}

void TermReservation::callFailed(Core::Instant now)
{
    // The write may have taken effect, so the object has to be read again.
    isCalling_ = false;
    pendingPut_.reset();
    isObjectCurrent_ = false;
    const std::int64_t doublings = std::min(consecutiveFailures_, maximumBackoffDoublings);
    ++consecutiveFailures_;
    const Core::Duration backoff =
        std::min(policy_.initialPlatformBackoff * (std::int64_t{1} << doublings),
                 policy_.maximumPlatformBackoff);
    const auto jitter = random_.below(static_cast<std::uint64_t>(backoff.milliseconds()) + 1);
    nextCallAt_ = now + backoff / 2 + Core::Duration(static_cast<std::int64_t>(jitter)) / 2;
}

void TermReservation::callSucceeded()
{
    isObjectCurrent_ = true;
    consecutiveFailures_ = 0;
    recogniseOwnChanges();
}

} // namespace Chervilpin::Failover
