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

enum class LedgerStart {
    FirstOwner, ///< The share was never owned before, so nothing of it is granted.
    Successor,  ///< An earlier owner's grants may still be out.
};

/// The owner's side of one share of a shard: creates units at the share's rate and grants them.
///
/// For each resource, level + granted + inherited ≤ capacity at all times, and units are created at
/// no more than the rate; so whatever holders do, they can't spend more than capacity + rate × t in
/// any span t. `granted` falls only when a holder reports fewer units, or when a grant has lapsed
/// on the holder's clock for certain. `inherited` stands for what earlier owners may have granted.
class Ledger
{
public:
    Ledger(const Options &options, ShareId share, Epoch epoch, LedgerStart start,
           Core::Instant since);

    /// Sets the parts of the limits that belong to this share; resources not named are dropped.
    void setLimits(std::span<const ResourceLimit> limits, Core::Instant now);

    /// Answers an ask; nothing if it is doubled or late.
    [[nodiscard]] std::optional<Grant> answer(const HolderName &holder, const Ask &ask,
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
    struct Record
    {
        std::int64_t granted = 0;
        Core::Instant lapsesAt;
        std::int64_t demand = 0;
    };

    /// A holder that could not be granted all that it lacked.
    struct Lack
    {
        std::int64_t units = 0;
        std::int64_t total = 0; ///< What it holds from all shares.
        Core::Instant until;    ///< It has asked again by then, or found some elsewhere.
    };

    struct Account
    {
        ResourceLimit limit;
        MicroUnits level = 0;
        std::int64_t createdRemainder = 0; ///< In micro-units × milliseconds per second.
        Core::Instant createdAt;
        std::int64_t inherited = 0;
        Core::Instant inheritedUntil;
        std::map<HolderName, Record> records;
        std::set<std::pair<Core::Instant, HolderName>> lapses; ///< The records by their lapse.
        std::int64_t granted = 0;                              ///< Sum over the records.
        std::int64_t demand = 0;                               ///< Sum over the records.
        std::map<HolderName, Lack> lacks;                      ///< Of returnable units only.
    };

    [[nodiscard]] Core::Duration lifetimeOf(const Account &account) const;
    [[nodiscard]] Account openAccount(const ResourceLimit &limit, Core::Instant now) const;
    void settle(Account &account, Core::Instant now) const;
    void create(Account &account, Core::Instant now) const;
    static void endInheritance(Account &account);
    static void forget(Account &account, const HolderName &holder);
    static void setLapse(Account &account, const HolderName &holder, Core::Instant lapsesAt);
    GrantEntry answerEntry(const HolderName &holder, const AskEntry &entry, Core::Instant now);
    void acceptReport(Account &account, Record &record, const AskEntry &entry);
    std::int64_t grant(Account &account, const HolderName &holder, const AskEntry &entry,
                       Core::Instant now) const;
    /// What the others lack together, and the total of the poorest of them.
    static Lack othersLack(Account &account, const HolderName &holder, Core::Instant now);
    /// How much a holder may have of a returnable resource while others lack some.
    static std::int64_t fairPart(const Account &account, const Record &record);
    static std::int64_t recall(const Account &account, const Record &record, const Lack &lack,
                               std::int64_t total);
    MicroUnits room(const Account &account) const;

    Options options_;
    ShareId share_;
    Epoch epoch_;
    LedgerStart start_;
    Core::Instant since_;
    std::map<ResourceName, Account> accounts_;
    /// When all grants of a resource that was dropped have lapsed; it may be added again before.
    std::map<ResourceName, Core::Instant> droppedUntil_;
    std::map<HolderName, std::uint64_t> latestAsk_;
    Core::Instant forgetHoldersAt_;
};

} // namespace Chervilpin::Allotment
