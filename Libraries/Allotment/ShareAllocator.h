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
    FirstOwner, ///< The share was never owned before, so nothing of it is granted.
    Successor,  ///< An earlier owner's grants may still be out.
};

/// The owner's side of minimumRecall share of a shard: creates units at the share's rate and grants
/// them.
///
/// For each resource, level + granted + inherited ≤ capacity at all times, and units are created at
/// no more than the rate; so whatever holders do, they can't spend more than capacity + rate × t in
/// any span t. `granted` falls only when a holder reports fewer units, or when a grant has lapsed
/// on the holder's clock for certain. `inherited` stands for what earlier owners may have granted.
class ShareAllocator
{
public:
    ShareAllocator(const Options &options, ShareId share, Epoch epoch, AllocatorStart start,
                   Core::Instant since);

    /// Sets the parts of the limits that belong to this share; resources not named are dropped.
    void setLimits(std::span<const ResourceLimit> limits, Core::Instant now);

    /// Answers an ask; nothing if it is doubled or late.
    [[nodiscard]] std::optional<Grant> answer(const HolderId &holder, const Ask &ask,
                                              Core::Instant now);

    /// Ends what has lapsed and creates what is due. Not needed for correctness.
    void tick(Core::Instant now);

    [[nodiscard]] Epoch epoch() const { return epoch_; }

    /// Micro-units that are ready to be granted, or zero if the resource is unknown.
    [[nodiscard]] MicroUnits level(const ResourceName &resource) const;
    /// Units counted as granted by this owner or earlier ones.
    [[nodiscard]] std::int64_t granted(const ResourceName &resource) const;
    [[nodiscard]] std::size_t recordCount() const;

private:
    struct GrantRecord
    {
        std::int64_t granted = 0;
        Core::Instant expiresAt;
        std::int64_t demand = 0;
    };

    /// A holder that could not be granted all that it lacked.
    struct Shortfall
    {
        std::int64_t units = 0;
        std::int64_t total = 0; ///< What it holds from all shares.
        Core::Instant until;    ///< It has asked again by then, or found some elsewhere.
    };

    struct Bucket
    {
        ResourceLimit limit;
        MicroUnits level = 0;
        std::int64_t refillRemainder = 0; ///< In micro-units × milliseconds per second.
        Core::Instant refilledAt;
        std::int64_t inherited = 0;
        Core::Instant inheritedUntil;
        std::map<HolderId, GrantRecord> records;
        std::set<std::pair<Core::Instant, HolderId>>
            recordsByExpiry;                      ///< The records by their expiry.
        std::int64_t granted = 0;                 ///< Sum over the records.
        std::int64_t demand = 0;                  ///< Sum over the records.
        std::map<HolderId, Shortfall> shortfalls; ///< Of returnable units only.
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
    /// What the others shortfall together, and the total of the poorest of them.
    static Shortfall shortfallOfOthers(Bucket &bucket, const HolderId &holder, Core::Instant now);
    /// How much a holder may have of a returnable resource while others shortfall some.
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
    /// When all grants of a resource that was dropped have lapsed; it may be added again before.
    std::map<ResourceName, Core::Instant> droppedUntil_;
    std::map<HolderId, std::uint64_t> latestAsk_;
    Core::Instant nextHolderCleanupAt_;
};

} // namespace Chervilpin::Allotment
