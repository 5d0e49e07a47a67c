#include <Allotment/Ledger.h>

#include <algorithm>

namespace Chervilpin::Allotment {

namespace {

constexpr std::int64_t millisecondsPerSecond = 1000;
constexpr Core::Duration holderMemory{10'000}; ///< Holders without grants are looked for so often.
constexpr Core::Duration lackMemory{500};      ///< Longer than askers take to ask again.

} // namespace

Ledger::Ledger(const Options &options, ShareId share, Epoch epoch, LedgerStart start,
               Core::Instant since)
    : options_(options)
    , share_(share)
    , epoch_(epoch)
    , start_(start)
    , since_(since)
{ }

Core::Duration Ledger::lifetimeOf(const Account &account) const
{
    return account.limit.kind == ResourceKind::Consumable ? options_.tokenLifetime
                                                          : options_.connectionLifetime;
}

MicroUnits Ledger::room(const Account &account) const
{
    const std::int64_t counted = options_.guards.ownerCountsGranted ? account.granted : 0;
    const std::int64_t units = account.limit.capacity - counted - account.inherited;
    return std::max<MicroUnits>(units * microUnitsPerUnit - account.level, 0);
}

void Ledger::setLimits(std::span<const ResourceLimit> limits, Core::Instant now)
{
    std::map<ResourceName, Account> next;
    for (const ResourceLimit &limit : limits) {
        const auto found = accounts_.find(limit.name);
        if (found != accounts_.end()) {
            Account account = std::move(found->second);
            settle(account, now);
            account.limit = limit;
            // A lowered limit takes effect on what is not granted yet.
            const std::int64_t free =
                std::max<std::int64_t>(limit.capacity - account.granted - account.inherited, 0);
            account.level = std::min(account.level, free * microUnitsPerUnit);
            next.emplace(limit.name, std::move(account));
            continue;
        }
        next.emplace(limit.name, openAccount(limit, now));
    }
    for (const auto &[name, account] : accounts_) {
        if (!next.contains(name))
            droppedUntil_[name] = now + options_.stretched(lifetimeOf(account));
    }
    std::erase_if(droppedUntil_, [now](const auto &dropped) { return dropped.second <= now; });
    accounts_ = std::move(next);
}

Ledger::Account Ledger::openAccount(const ResourceLimit &limit, Core::Instant now) const
{
    Account account;
    account.limit = limit;
    account.createdAt = now;
    Core::Instant lapse = now;
    if (start_ == LedgerStart::Successor && options_.guards.successorWaits)
        lapse = since_ + options_.stretched(lifetimeOf(account));
    const auto dropped = droppedUntil_.find(limit.name);
    if (dropped != droppedUntil_.end())
        lapse = std::max(lapse, dropped->second);
    if (now < lapse) {
        account.inherited = limit.capacity;
        account.inheritedUntil = lapse;
    } else {
        account.level = limit.capacity * microUnitsPerUnit;
    }
    return account;
}

void Ledger::create(Account &account, Core::Instant now) const
{
    if (account.limit.kind == ResourceKind::Returnable) {
        account.level += room(account);
        return;
    }
    const std::int64_t elapsed =
        std::max<std::int64_t>((now - account.createdAt).milliseconds(), 0);
    account.createdAt = std::max(account.createdAt, now);
    const MicroUnits most = room(account);
    // Bounds the product below; a span this long fills the share in any case.
    const std::int64_t fillTime = account.limit.ratePerSecond == 0
        ? 0
        : most / std::max<std::int64_t>(account.limit.ratePerSecond / millisecondsPerSecond, 1) + 1;
    const std::int64_t counted = std::min(elapsed, fillTime);
    const std::int64_t total = account.limit.ratePerSecond * counted + account.createdRemainder;
    account.createdRemainder = total % millisecondsPerSecond;
    account.level += std::min(most, total / millisecondsPerSecond);
}

void Ledger::endInheritance(Account &account)
{
    account.inherited = 0;
    account.inheritedUntil = Core::Instant();
}

void Ledger::forget(Account &account, const HolderName &holder)
{
    const auto record = account.records.find(holder);
    account.lapses.erase({record->second.lapsesAt, holder});
    account.granted -= record->second.granted;
    account.demand -= record->second.demand;
    account.records.erase(record);
}

void Ledger::setLapse(Account &account, const HolderName &holder, Core::Instant lapsesAt)
{
    Record &record = account.records.at(holder);
    account.lapses.erase({record.lapsesAt, holder});
    record.lapsesAt = lapsesAt;
    account.lapses.insert({lapsesAt, holder});
}

void Ledger::settle(Account &account, Core::Instant now) const
{
    // Room that a lapse makes may be filled only from then on, so lapses are taken in their order.
    while (true) {
        const bool hasLapse = !account.lapses.empty() && account.lapses.begin()->first <= now;
        const Core::Instant next = hasLapse ? account.lapses.begin()->first : now;
        if (account.inherited > 0 && account.inheritedUntil <= next) {
            create(account, account.inheritedUntil);
            endInheritance(account);
            continue;
        }
        if (!hasLapse)
            break;
        create(account, next);
        const HolderName holder = account.lapses.begin()->second;
        forget(account, holder);
    }
    create(account, now);
}

void Ledger::acceptReport(Account &account, Record &record, const AskEntry &entry)
{
    if (entry.heldEpoch != epoch_ && entry.heldEpoch != 0 && entry.held > record.granted) {
        // Units of an earlier owner are adopted: they move from the inherited to this holder.
        account.inherited -= std::min(account.inherited, entry.held - record.granted);
    }
    // What a holder returns exists only as far as it was counted as granted to it. This bound makes
    // an ask harmless that was delayed beyond all memory of its sender.
    const std::int64_t counted = record.granted - entry.held;
    const std::int64_t returned =
        std::clamp<std::int64_t>(entry.returned, 0, std::max<std::int64_t>(counted, 0));
    account.granted += entry.held - record.granted;
    record.granted = entry.held;
    if (account.limit.kind == ResourceKind::Consumable)
        account.level += std::min(returned * microUnitsPerUnit, room(account));
    account.demand += entry.demand - record.demand;
    record.demand = entry.demand;
}

Ledger::Lack Ledger::othersLack(Account &account, const HolderName &holder, Core::Instant now)
{
    std::erase_if(account.lacks, [now](const auto &lack) { return lack.second.until <= now; });
    Lack sum;
    for (const auto &[other, lack] : account.lacks) {
        if (other == holder)
            continue;
        sum.total = sum.units == 0 ? lack.total : std::min(sum.total, lack.total);
        sum.units += lack.units;
    }
    return sum;
}

std::int64_t Ledger::grant(Account &account, const HolderName &holder, const AskEntry &entry,
                           Core::Instant now) const
{
    Record &record = account.records.at(holder);
    std::int64_t urgent = std::min(entry.urgent, account.level / microUnitsPerUnit);
    const bool isReturnable = account.limit.kind == ResourceKind::Returnable;
    if (isReturnable) {
        const Lack lack = othersLack(account, holder, now);
        const std::int64_t fairRoom = fairPart(account, record) - record.granted;
        // Whoever has less than the asker goes first; it asks again soon.
        if (lack.units > 0)
            urgent = lack.total < entry.total ? 0 : std::clamp<std::int64_t>(fairRoom, 0, urgent);
        account.lacks.erase(holder);
        if (entry.urgent > urgent)
            account.lacks[holder] = {entry.urgent - urgent, entry.total, now + lackMemory};
    }
    account.level -= urgent * microUnitsPerUnit;
    // Stock is given from the upper half only, and by demand, so that one holder's expectations
    // never take what another needs at once.
    const std::int64_t spare = account.level / microUnitsPerUnit / 2;
    const std::int64_t wholeDemand = std::max<std::int64_t>(account.demand, 1);
    const double part = static_cast<double>(entry.demand) / static_cast<double>(wholeDemand);
    const auto ahead =
        std::min(entry.ahead, static_cast<std::int64_t>(static_cast<double>(spare) * part));
    account.level -= ahead * microUnitsPerUnit;
    const std::int64_t added = urgent + ahead;
    record.granted += added;
    account.granted += added;
    return added;
}

std::int64_t Ledger::fairPart(const Account &account, const Record &record)
{
    const std::int64_t wholeDemand = std::max<std::int64_t>(account.demand, 1);
    return std::max<std::int64_t>(account.limit.capacity * record.demand / wholeDemand, 1);
}

std::int64_t Ledger::recall(const Account &account, const Record &record, const Lack &lack,
                            std::int64_t total)
{
    if (account.limit.kind == ResourceKind::Consumable || lack.units == 0)
        return 0;
    const std::int64_t excess = record.granted - fairPart(account, record);
    const bool isPoorerHelped = lack.total + 1 < total;
    const std::int64_t one = isPoorerHelped && record.granted > 0 ? 1 : 0;
    return std::clamp<std::int64_t>(excess, one, std::max(lack.units, one));
}

GrantEntry Ledger::answerEntry(const HolderName &holder, const AskEntry &entry, Core::Instant now)
{
    const auto found = accounts_.find(entry.resource);
    if (found == accounts_.end())
        return GrantEntry{entry.resource, 0, 0, 0};
    Account &account = found->second;
    settle(account, now);
    Record &record = account.records[holder];
    acceptReport(account, record, entry);
    create(account, now);
    const std::int64_t added = grant(account, holder, entry, now);
    setLapse(account, holder, now + options_.stretched(lifetimeOf(account)));
    const std::int64_t recalled =
        recall(account, record, othersLack(account, holder, now), entry.total);
    const bool isEmpty = record.granted == 0 && record.demand == 0;
    if (isEmpty)
        forget(account, holder);
    return GrantEntry{entry.resource, added, recalled, account.level};
}

std::optional<Grant> Ledger::answer(const HolderName &holder, const Ask &ask, Core::Instant now)
{
    std::uint64_t &latest = latestAsk_[holder];
    if (options_.guards.ownerDedupes && ask.askId <= latest)
        return std::nullopt;
    latest = std::max(latest, ask.askId);
    Grant grant{share_, ask.askId, epoch_, {}};
    for (const AskEntry &entry : ask.entries)
        grant.entries.push_back(answerEntry(holder, entry, now));
    return grant;
}

void Ledger::tick(Core::Instant now)
{
    for (auto &[name, account] : accounts_)
        settle(account, now);
    if (now < forgetHoldersAt_)
        return;
    forgetHoldersAt_ = now + holderMemory;
    std::erase_if(latestAsk_, [this](const auto &entry) {
        return std::ranges::none_of(accounts_, [&entry](const auto &account) {
            return account.second.records.contains(entry.first);
        });
    });
}

MicroUnits Ledger::level(const ResourceName &resource) const
{
    const auto found = accounts_.find(resource);
    return found == accounts_.end() ? 0 : found->second.level;
}

std::int64_t Ledger::granted(const ResourceName &resource) const
{
    const auto found = accounts_.find(resource);
    return found == accounts_.end() ? 0 : found->second.granted + found->second.inherited;
}

std::size_t Ledger::recordCount() const
{
    std::size_t count = 0;
    for (const auto &[name, account] : accounts_)
        count += account.records.size();
    return count;
}

} // namespace Chervilpin::Allotment
