#include <Allotment/ShareAllocator.h>

#include <algorithm>

namespace Chervilpin::Allotment {

namespace {

constexpr std::int64_t millisecondsPerSecond = 1000;
/// Interval between removals of holders without grants.
constexpr Core::Duration holderCleanupInterval{10'000};
constexpr Core::Duration shortfallRetention{500}; ///< Longer than holders take to ask again.

} // namespace

ShareAllocator::ShareAllocator(const Options &options, ShareId share, Epoch epoch,
                               AllocatorStart start, Core::Instant since)
    : options_(options)
    , share_(share)
    , epoch_(epoch)
    , start_(start)
    , since_(since)
{ }

Core::Duration ShareAllocator::lifetimeOf(const Bucket &bucket) const
{
    return bucket.limit.kind == ResourceKind::Consumable ? options_.tokenLifetime
                                                         : options_.connectionLifetime;
}

MicroUnits ShareAllocator::headroom(const Bucket &bucket) const
{
    const std::int64_t counted = options_.guards.ownerCountsGranted ? bucket.granted : 0;
    const std::int64_t units = bucket.limit.capacity - counted - bucket.inherited;
    return std::max<MicroUnits>(units * microUnitsPerUnit - bucket.level, 0);
}

void ShareAllocator::setLimits(std::span<const ResourceLimit> limits, Core::Instant now)
{
    std::map<ResourceName, Bucket> next;
    for (const ResourceLimit &limit : limits) {
        const auto found = buckets_.find(limit.name);
        if (found != buckets_.end()) {
            Bucket bucket = std::move(found->second);
            expireAndRefill(bucket, now);
            bucket.limit = limit;
            // A lowered limit takes effect on the units that are not granted yet.
            const std::int64_t free =
                std::max<std::int64_t>(limit.capacity - bucket.granted - bucket.inherited, 0);
            bucket.level = std::min(bucket.level, free * microUnitsPerUnit);
            next.emplace(limit.name, std::move(bucket));
            continue;
        }
        next.emplace(limit.name, makeBucket(limit, now));
    }
    for (const auto &[name, bucket] : buckets_) {
        if (!next.contains(name))
            droppedUntil_[name] = now + options_.withDriftMargin(lifetimeOf(bucket));
    }
    std::erase_if(droppedUntil_, [now](const auto &dropped) { return dropped.second <= now; });
    buckets_ = std::move(next);
}

ShareAllocator::Bucket ShareAllocator::makeBucket(const ResourceLimit &limit,
                                                  Core::Instant now) const
{
    Bucket bucket;
    bucket.limit = limit;
    bucket.refilledAt = now;
    Core::Instant expiry = now;
    if (start_ == AllocatorStart::Successor && options_.guards.successorWaits)
        expiry = since_ + options_.withDriftMargin(lifetimeOf(bucket));
    const auto dropped = droppedUntil_.find(limit.name);
    if (dropped != droppedUntil_.end())
        expiry = std::max(expiry, dropped->second);
    if (now < expiry) {
        bucket.inherited = limit.capacity;
        bucket.inheritedUntil = expiry;
    } else {
        bucket.level = limit.capacity * microUnitsPerUnit;
    }
    return bucket;
}

void ShareAllocator::refill(Bucket &bucket, Core::Instant now) const
{
    if (bucket.limit.kind == ResourceKind::Returnable) {
        bucket.level += headroom(bucket);
        return;
    }
    const std::int64_t elapsed =
        std::max<std::int64_t>((now - bucket.refilledAt).milliseconds(), 0);
    bucket.refilledAt = std::max(bucket.refilledAt, now);
    const MicroUnits maximum = headroom(bucket);
    // Bounds the product below, so that it cannot overflow; the share is full after this time in
    // any case.
    const std::int64_t fillTime = bucket.limit.ratePerSecond == 0
        ? 0
        : maximum / std::max<std::int64_t>(bucket.limit.ratePerSecond / millisecondsPerSecond, 1)
            + 1;
    const std::int64_t counted = std::min(elapsed, fillTime);
    const std::int64_t total = bucket.limit.ratePerSecond * counted + bucket.refillRemainder;
    bucket.refillRemainder = total % millisecondsPerSecond;
    bucket.level += std::min(maximum, total / millisecondsPerSecond);
}

void ShareAllocator::clearInherited(Bucket &bucket)
{
    bucket.inherited = 0;
    bucket.inheritedUntil = Core::Instant();
}

void ShareAllocator::removeRecord(Bucket &bucket, const HolderId &holder)
{
    const auto record = bucket.records.find(holder);
    bucket.recordsByExpiry.erase({record->second.expiresAt, holder});
    bucket.granted -= record->second.granted;
    bucket.demand -= record->second.demand;
    bucket.records.erase(record);
}

void ShareAllocator::setExpiry(Bucket &bucket, const HolderId &holder, Core::Instant expiresAt)
{
    GrantRecord &record = bucket.records.at(holder);
    bucket.recordsByExpiry.erase({record.expiresAt, holder});
    record.expiresAt = expiresAt;
    bucket.recordsByExpiry.insert({expiresAt, holder});
}

void ShareAllocator::expireAndRefill(Bucket &bucket, Core::Instant now) const
{
    // Capacity freed by an expiry is refilled only from that time on, so expiries are processed in
    // order.
    while (true) {
        const bool hasExpiry =
            !bucket.recordsByExpiry.empty() && bucket.recordsByExpiry.begin()->first <= now;
        const Core::Instant next = hasExpiry ? bucket.recordsByExpiry.begin()->first : now;
        if (bucket.inherited > 0 && bucket.inheritedUntil <= next) {
            refill(bucket, bucket.inheritedUntil);
            clearInherited(bucket);
            continue;
        }
        if (!hasExpiry)
            break;
        refill(bucket, next);
        const HolderId holder = bucket.recordsByExpiry.begin()->second;
        removeRecord(bucket, holder);
    }
    refill(bucket, now);
}

void ShareAllocator::applyReport(Bucket &bucket, GrantRecord &record, const AskEntry &entry)
{
    if (entry.heldEpoch != epoch_ && entry.heldEpoch != 0 && entry.held > record.granted) {
        // Units granted by an earlier owner are adopted: they move from `inherited` to this
        // holder's record.
        bucket.inherited -= std::min(bucket.inherited, entry.held - record.granted);
    }
    // Returned units are credited only as far as they were counted as granted to the holder. This
    // bound makes an ask harmless that was delayed until its sender's record was removed.
    const std::int64_t counted = record.granted - entry.held;
    const std::int64_t returned =
        std::clamp<std::int64_t>(entry.returned, 0, std::max<std::int64_t>(counted, 0));
    bucket.granted += entry.held - record.granted;
    record.granted = entry.held;
    if (bucket.limit.kind == ResourceKind::Consumable)
        bucket.level += std::min(returned * microUnitsPerUnit, headroom(bucket));
    bucket.demand += entry.demand - record.demand;
    record.demand = entry.demand;
}

ShareAllocator::Shortfall ShareAllocator::shortfallOfOthers(Bucket &bucket, const HolderId &holder,
                                                            Core::Instant now)
{
    std::erase_if(bucket.shortfalls,
                  [now](const auto &shortfall) { return shortfall.second.until <= now; });
    Shortfall sum;
    for (const auto &[other, shortfall] : bucket.shortfalls) {
        if (other == holder)
            continue;
        sum.total = sum.units == 0 ? shortfall.total : std::min(sum.total, shortfall.total);
        sum.units += shortfall.units;
    }
    return sum;
}

std::int64_t ShareAllocator::grant(Bucket &bucket, const HolderId &holder, const AskEntry &entry,
                                   Core::Instant now) const
{
    GrantRecord &record = bucket.records.at(holder);
    std::int64_t urgent = std::min(entry.urgent, bucket.level / microUnitsPerUnit);
    const bool isReturnable = bucket.limit.kind == ResourceKind::Returnable;
    if (isReturnable) {
        const Shortfall shortfall = shortfallOfOthers(bucket, holder, now);
        const std::int64_t fairHeadroom = fairShare(bucket, record) - record.granted;
        // Holders that have fewer units than the asker go first. The asker will ask again soon.
        if (shortfall.units > 0)
            urgent = shortfall.total < entry.total
                ? 0
                : std::clamp<std::int64_t>(fairHeadroom, 0, urgent);
        bucket.shortfalls.erase(holder);
        if (entry.urgent > urgent)
            bucket.shortfalls[holder] = {entry.urgent - urgent, entry.total,
                                         now + shortfallRetention};
    }
    bucket.level -= urgent * microUnitsPerUnit;
    // Prefetched units come only from half of the level, and in proportion to demand, so that one
    // holder's expected demand never takes what another holder needs at once.
    const std::int64_t spare = bucket.level / microUnitsPerUnit / 2;
    const std::int64_t totalDemand = std::max<std::int64_t>(bucket.demand, 1);
    const double part = static_cast<double>(entry.demand) / static_cast<double>(totalDemand);
    const auto ahead =
        std::min(entry.ahead, static_cast<std::int64_t>(static_cast<double>(spare) * part));
    bucket.level -= ahead * microUnitsPerUnit;
    const std::int64_t added = urgent + ahead;
    record.granted += added;
    bucket.granted += added;
    return added;
}

std::int64_t ShareAllocator::fairShare(const Bucket &bucket, const GrantRecord &record)
{
    const std::int64_t totalDemand = std::max<std::int64_t>(bucket.demand, 1);
    return std::max<std::int64_t>(bucket.limit.capacity * record.demand / totalDemand, 1);
}

std::int64_t ShareAllocator::recall(const Bucket &bucket, const GrantRecord &record,
                                    const Shortfall &shortfall, std::int64_t total)
{
    if (bucket.limit.kind == ResourceKind::Consumable || shortfall.units == 0)
        return 0;
    const std::int64_t excess = record.granted - fairShare(bucket, record);
    const bool helpsPoorerHolder = shortfall.total + 1 < total;
    const std::int64_t minimumRecall = helpsPoorerHolder && record.granted > 0 ? 1 : 0;
    return std::clamp<std::int64_t>(excess, minimumRecall,
                                    std::max(shortfall.units, minimumRecall));
}

GrantEntry ShareAllocator::answerEntry(const HolderId &holder, const AskEntry &entry,
                                       Core::Instant now)
{
    const auto found = buckets_.find(entry.resource);
    if (found == buckets_.end())
        return GrantEntry{entry.resource, 0, 0, 0};
    Bucket &bucket = found->second;
    expireAndRefill(bucket, now);
    GrantRecord &record = bucket.records[holder];
    applyReport(bucket, record, entry);
    refill(bucket, now);
    const std::int64_t added = grant(bucket, holder, entry, now);
    setExpiry(bucket, holder, now + options_.withDriftMargin(lifetimeOf(bucket)));
    const std::int64_t recalled =
        recall(bucket, record, shortfallOfOthers(bucket, holder, now), entry.total);
    const bool isEmpty = record.granted == 0 && record.demand == 0;
    if (isEmpty)
        removeRecord(bucket, holder);
    return GrantEntry{entry.resource, added, recalled, bucket.level};
}

std::optional<Grant> ShareAllocator::answer(const HolderId &holder, const Ask &ask,
                                            Core::Instant now)
{
    std::uint64_t &latest = latestAskIds_[holder];
    if (options_.guards.ownerDeduplicates && ask.askId <= latest)
        return std::nullopt;
    latest = std::max(latest, ask.askId);
    Grant grant{share_, ask.askId, epoch_, {}};
    for (const AskEntry &entry : ask.entries)
        grant.entries.push_back(answerEntry(holder, entry, now));
    return grant;
}

void ShareAllocator::tick(Core::Instant now)
{
    for (auto &[name, bucket] : buckets_)
        expireAndRefill(bucket, now);
    if (now < nextHolderCleanupAt_)
        return;
    nextHolderCleanupAt_ = now + holderCleanupInterval;
    std::erase_if(latestAskIds_, [this](const auto &entry) {
        return std::ranges::none_of(buckets_, [&entry](const auto &bucket) {
            return bucket.second.records.contains(entry.first);
        });
    });
}

MicroUnits ShareAllocator::level(const ResourceName &resource) const
{
    const auto found = buckets_.find(resource);
    return found == buckets_.end() ? 0 : found->second.level;
}

std::int64_t ShareAllocator::granted(const ResourceName &resource) const
{
    const auto found = buckets_.find(resource);
    return found == buckets_.end() ? 0 : found->second.granted + found->second.inherited;
}

std::size_t ShareAllocator::recordCount() const
{
    std::size_t count = 0;
    for (const auto &[name, bucket] : buckets_)
        count += bucket.records.size();
    return count;
}

} // namespace Chervilpin::Allotment
