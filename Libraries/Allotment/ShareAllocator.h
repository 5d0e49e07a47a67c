#pragma once

#include <Allotment/Messages.h>
#include <Allotment/Options.h>
#include <Allotment/Resource.h>
#include <Core/Milliseconds.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <utility>

namespace Chervilpin::Allotment {

enum class AllocatorStart {
    FirstOwner, ///< The share has never been owned, so none of its units are granted.
    Successor,  ///< Grants of an earlier owner may still be valid.
};

/// The owner's side of one share: refills the share's buckets at their rates and grants units from
/// them.
///
/// For each resource, level + granted + inherited ≤ capacity at all times, and refill is limited by
/// the rate; so whatever the holders do, they cannot spend more than capacity + rate × t in any
/// time span t. `granted` decreases only when a holder reports fewer units, or when a grant has
/// certainly expired on the holder's clock. `inherited` stands for the units that earlier owners
/// may have granted.
class ShareAllocator
{
public:
    ShareAllocator(const Options &options, ShareId share, Epoch epoch, AllocatorStart start,
                   Core::Instant since);

    /// Sets the parts of the limits that belong to this share. Resources that are not listed are
    /// dropped.
    void setLimits(std::span<const ResourceLimit> limits, Core::Instant now);

    /// Answers an ask; returns nothing if it is duplicated or late.
    [[nodiscard]] std::optional<Grant> answer(const HolderId &holder, const Ask &ask,
                                              Core::Instant now);

    /// Expires grants and refills buckets. Not needed for correctness: answer() does the same for
    /// the resources it touches.
    void tick(Core::Instant now);

    [[nodiscard]] Epoch epoch() const { return epoch_; }

    /// Returns the micro-units that can be granted, or zero if the resource is unknown.
    [[nodiscard]] MicroUnits level(const ResourceName &resource) const;
    /// Returns the units counted as granted, by this owner or earlier ones.
    [[nodiscard]] std::int64_t granted(const ResourceName &resource) const;
    [[nodiscard]] std::size_t recordCount() const;

private:
    struct GrantRecord
    {
        std::int64_t granted = 0;
        Core::Instant expiresAt;
        std::int64_t demand = 0;
    };

    /// The units that a holder lacked after its last ask.
    struct Shortfall
    {
        std::int64_t units = 0;
        std::int64_t total = 0; ///< Units that the holder has from all shares.
        /// By then the holder has asked again, or got units from another share.
        Core::Instant until;
    };

    struct Bucket
    {
        ResourceLimit limit;
        MicroUnits level = 0;
        /// Refill below one micro-unit, in micro-units × milliseconds per second.
        std::int64_t refillRemainder = 0;
        Core::Instant refilledAt;
        std::int64_t inherited = 0;
        Core::Instant inheritedUntil;
        std::map<HolderId, GrantRecord> records;
        /// Records in order of their expiry.
        std::set<std::pair<Core::Instant, HolderId>> recordsByExpiry;
        std::int64_t granted = 0;                 ///< Sum over the records.
        std::int64_t demand = 0;                  ///< Sum over the records.
        std::map<HolderId, Shortfall> shortfalls; ///< For returnable units only.
    };

    [[nodiscard]] Core::Duration lifetimeOf(const Bucket &bucket) const;
    [[nodiscard]] Bucket makeBucket(const ResourceLimit &limit, Core::Instant now) const;
    void expireAndRefill(Bucket &bucket, Core::Instant now) const;
    void refill(Bucket &bucket, Core::Instant now) const;
    static void clearInherited(Bucket &bucket);
    static void removeRecord(Bucket &bucket, const HolderId &holder);
    static void setExpiry(Bucket &bucket, const HolderId &holder, Core::Instant expiresAt);
    GrantEntry answerEntry(const HolderId &holder, const AskEntry &entry, Core::Instant now);
    void applyReport(Bucket &bucket, GrantRecord &record, const AskEntry &entry);
    std::int64_t grant(Bucket &bucket, const HolderId &holder, const AskEntry &entry,
                       Core::Instant now) const;
    /// Returns the sum of the other holders' shortfalls, and the smallest total among these
    /// holders.
    static Shortfall shortfallOfOthers(Bucket &bucket, const HolderId &holder, Core::Instant now);
    /// Returns how many units of a returnable resource a holder may have while others lack some.
    static std::int64_t fairShare(const Bucket &bucket, const GrantRecord &record);
    static std::int64_t recall(const Bucket &bucket, const GrantRecord &record,
                               const Shortfall &shortfall, std::int64_t total);
    MicroUnits headroom(const Bucket &bucket) const;

    Options options_;
    ShareId share_;
    Epoch epoch_;
    AllocatorStart start_;
    Core::Instant since_;
    std::map<ResourceName, Bucket> buckets_;
    /// When all grants of a dropped resource have expired; the resource may be added again before
    /// that.
    std::map<ResourceName, Core::Instant> droppedUntil_;
    std::map<HolderId, std::uint64_t> latestAskIds_;
    Core::Instant nextHolderCleanupAt_;
};

} // namespace Chervilpin::Allotment
