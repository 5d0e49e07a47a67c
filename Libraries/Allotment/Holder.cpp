#include <Allotment/Holder.h>

#include <algorithm>
#include <cmath>

namespace Chervilpin::Allotment {

namespace {

constexpr double millisecondsPerSecond = 1000.0;
constexpr double demandAveraging = 500.0; ///< Milliseconds; the time constant of the average.
constexpr std::int64_t milliPerUnit = 1000;
constexpr Core::Duration shortestBackoff{20};
constexpr std::uint32_t mostBackoffDoublings = 5;
constexpr std::uint32_t mostFailuresWaitedFor = 2;
constexpr std::uint32_t mostRedirects = 3;
constexpr Core::Duration returnableRetry{200};
constexpr std::int64_t renewalsPerLifetime = 2;
constexpr std::int64_t connectionRenewalsPerLifetime = 5;

} // namespace

Holder::Holder(const Options &options, const ShareTable &table)
    : options_(options)
    , table_(table)
{ }

void Holder::setLimits(std::span<const ResourceLimit> limits)
{
    std::map<ResourceName, Item> next;
    for (const ResourceLimit &limit : limits) {
        Item item;
        const auto found = items_.find(limit.name);
        if (found != items_.end())
            item = std::move(found->second);
        item.limit = limit;
        item.shard = table_.shardOf(limit.name);
        item.stocks.resize(table_.shareCount());
        for (std::uint32_t index = 0; index < table_.shareCount(); ++index) {
            const ResourceLimit part = table_.part(limit, index);
            item.stocks[index].capacity = part.capacity;
            item.stocks[index].ratePerSecond = part.ratePerSecond;
        }
        next.insert_or_assign(limit.name, std::move(item));
    }
    for (const auto &[name, item] : items_) {
        if (next.contains(name))
            continue;
        for (const Waiting &waiting : item.waiting)
            decisions_.push_back({waiting.ticket, Refused{options_.tokenLifetime}});
        pressing_.erase(name);
    }
    items_ = std::move(next);
}

Core::Duration Holder::lifetimeOf(const Item &item) const
{
    return item.limit.kind == ResourceKind::Consumable ? options_.tokenLifetime
                                                       : options_.connectionLifetime;
}

bool Holder::isValid(const Stock &stock, Core::Instant now) const
{
    return now < stock.expiresAt || !options_.guards.holderExpires;
}

std::int64_t Holder::heldOf(const Item &item, Core::Instant now) const
{
    std::int64_t sum = 0;
    for (const Stock &stock : item.stocks)
        sum += isValid(stock, now) ? stock.units : 0;
    return sum;
}

std::int64_t Holder::held(const ResourceName &resource, Core::Instant now) const
{
    const auto found = items_.find(resource);
    return found == items_.end() ? 0 : heldOf(found->second, now);
}

std::int64_t Holder::share(const ResourceName &resource, Core::Instant now) const
{
    const auto found = items_.find(resource);
    if (found == items_.end())
        return 0;
    std::int64_t recalled = 0;
    for (const Stock &stock : found->second.stocks)
        recalled += isValid(stock, now) ? std::min(stock.recalled, stock.units) : 0;
    return heldOf(found->second, now) - recalled;
}

void Holder::expire(Item &item, Core::Instant now) const
{
    for (Stock &stock : item.stocks) {
        if (isValid(stock, now))
            continue;
        stock.units = 0;
        stock.reported = 0;
        stock.recalled = 0;
    }
}

bool Holder::spend(Item &item, std::int64_t amount, Core::Instant now) const
{
    if (heldOf(item, now) < amount)
        return false;
    std::int64_t missing = amount;
    while (missing > 0) {
        Stock *soonest = nullptr;
        for (Stock &stock : item.stocks) {
            if (stock.units == 0 || !isValid(stock, now))
                continue;
            if (soonest == nullptr || stock.expiresAt < soonest->expiresAt)
                soonest = &stock;
        }
        if (soonest == nullptr)
            return false;
        const std::int64_t part = std::min(missing, soonest->units);
        soonest->units -= part;
        missing -= part;
    }
    return true;
}

MicroUnits Holder::levelEstimate(const Stock &stock, Core::Instant now) const
{
    const MicroUnits most = stock.capacity * microUnitsPerUnit;
    if (!stock.isLevelKnown)
        return most;
    const double age = static_cast<double>((now - stock.ownerLevelAt).milliseconds());
    const double created = static_cast<double>(stock.ratePerSecond) * age / millisecondsPerSecond;
    const double estimate = static_cast<double>(stock.ownerLevel) + created;
    return estimate >= static_cast<double>(most) ? most : static_cast<MicroUnits>(estimate);
}

bool Holder::isUsable(const Line &line, Core::Instant now) const
{
    return !line.isAwaiting && now >= line.mayAskAt;
}

bool Holder::isAskedFor(const Item &item) const
{
    for (std::uint32_t index = 0; index < item.stocks.size(); ++index) {
        const auto line = lines_.find({item.shard, index});
        const bool isUnderWay = line != lines_.end() && line->second.isAwaiting;
        if (isUnderWay && line->second.asked.contains(item.limit.name))
            return true;
    }
    return false;
}

/// The share that most likely has units: one that is free to be asked, or, if \a includesUnusable,
/// also one that will be.
std::optional<std::uint32_t> Holder::fullest(const Item &item, bool includesUnusable,
                                             Core::Instant now) const
{
    std::optional<std::uint32_t> best;
    MicroUnits bestLevel = 0;
    for (std::uint32_t index = 0; index < item.stocks.size(); ++index) {
        if ((item.tried >> index & 1U) != 0)
            continue;
        const auto line = lines_.find({item.shard, index});
        if (line != lines_.end() && !isUsable(line->second, now)) {
            const bool comesFree = line->second.failures <= mostFailuresWaitedFor;
            if (!includesUnusable || !comesFree)
                continue;
        }
        const MicroUnits level = levelEstimate(item.stocks[index], now);
        if (level < microUnitsPerUnit || level <= bestLevel)
            continue;
        best = index;
        bestLevel = level;
    }
    return best;
}

Core::Duration Holder::retryAfter(const Item &item, Core::Instant now) const
{
    constexpr double longest = 3'600'000;
    double soonest = longest;
    for (const Stock &stock : item.stocks) {
        if (stock.capacity == 0)
            continue;
        const MicroUnits missing =
            std::max<MicroUnits>(microUnitsPerUnit - levelEstimate(stock, now), 0);
        const auto rate = static_cast<double>(std::max<MicroUnits>(stock.ratePerSecond, 1));
        const double wait = static_cast<double>(missing) * millisecondsPerSecond / rate;
        soonest = std::min(soonest, std::ceil(wait));
    }
    return std::max(Core::Duration(static_cast<std::int64_t>(soonest)), shortestBackoff);
}

TakeResult Holder::take(const ResourceName &resource, std::int64_t amount, Core::Instant deadline,
                        Core::Instant now)
{
    const auto found = items_.find(resource);
    if (found == items_.end() || isLeaving_ || amount > found->second.limit.capacity)
        return Refused{options_.tokenLifetime};
    Item &item = found->second;
    item.taken += amount;
    // Requests that wait already come first.
    if (item.waiting.empty() && spend(item, amount, now))
        return Taken{};
    if (item.waiting.empty())
        item.tried = 0;
    const bool hasHope = isAskedFor(item) || fullest(item, true, now).has_value();
    if (!hasHope || deadline <= now)
        return Refused{retryAfter(item, now)};
    const Core::Instant until = std::min(deadline, now + options_.longestWait);
    item.waiting.push_back({nextTicket_, amount, until});
    pressing_.insert(resource);
    return Pending{nextTicket_++};
}

void Holder::cancel(TicketId ticket)
{
    for (auto &[name, item] : items_)
        std::erase_if(item.waiting, [ticket](const Waiting &w) { return w.ticket == ticket; });
}

void Holder::setUse(const ResourceName &resource, std::int64_t wanted, std::int64_t inUse)
{
    const auto found = items_.find(resource);
    if (found == items_.end())
        return;
    found->second.wanted = std::min(wanted, found->second.limit.capacity);
    found->second.inUse = inUse;
}

void Holder::serveWaiting(Item &item, Core::Instant now)
{
    while (!item.waiting.empty()) {
        const Waiting &first = item.waiting.front();
        if (first.until < now) {
            decisions_.push_back({first.ticket, Refused{retryAfter(item, now)}});
            item.waiting.pop_front();
            continue;
        }
        if (!spend(item, first.amount, now))
            break;
        decisions_.push_back({first.ticket, Taken{}});
        item.waiting.pop_front();
    }
    if (item.waiting.empty()) {
        item.tried = 0;
        pressing_.erase(item.limit.name);
    }
}

void Holder::refuseWaiting(Item &item, Core::Instant now)
{
    for (const Waiting &waiting : item.waiting)
        decisions_.push_back({waiting.ticket, Refused{retryAfter(item, now)}});
    item.waiting.clear();
    item.tried = 0;
    pressing_.erase(item.limit.name);
}

void Holder::applyEntry(Item &item, std::uint32_t index, const GrantEntry &entry, const Line &line,
                        Epoch epoch, Core::Instant now)
{
    Stock &stock = item.stocks[index];
    stock.ownerLevel = entry.level;
    stock.ownerLevelAt = now;
    stock.isLevelKnown = true;
    const Core::Instant expiresAt = line.askedAt + lifetimeOf(item);
    const bool isTooLate = options_.guards.holderExpires && now >= expiresAt;
    if (isTooLate)
        return;
    stock.units += entry.added;
    stock.reported += entry.added;
    stock.recalled = entry.recalled;
    stock.epoch = epoch;
    stock.expiresAt = expiresAt;
}

void Holder::granted(const Core::NodeName &owner, const Grant &grant, Core::Instant now)
{
    const auto found = lines_.find(grant.share);
    if (found == lines_.end())
        return;
    Line &line = found->second;
    // Only the answer to the latest ask counts, and once: the owner takes all others for void.
    const bool isExpected = line.isAwaiting && grant.askId == line.latestAsk;
    if (!isExpected && options_.guards.onlyLatestAskCounts)
        return;
    line.isAwaiting = false;
    line.failures = 0;
    line.owner = owner;
    line.guess = 0;
    line.redirects = 0;
    const std::set<ResourceName> asked = std::move(line.asked);
    line.asked.clear();
    for (const GrantEntry &entry : grant.entries) {
        const auto item = items_.find(entry.resource);
        if (item == items_.end() || item->second.shard != grant.share.shard
            || grant.share.index >= item->second.stocks.size())
            continue;
        expire(item->second, now);
        applyEntry(item->second, grant.share.index, entry, line, grant.epoch, now);
        if (item->second.limit.kind == ResourceKind::Returnable) {
            const bool isShort = asked.contains(entry.resource) && entry.added == 0;
            if (isShort && !fullest(item->second, false, now).has_value())
                item->second.mayAskAt = now + returnableRetry;
            continue;
        }
        serveWaiting(item->second, now);
        if (!item->second.waiting.empty() && asked.contains(entry.resource)
            && entry.level < microUnitsPerUnit)
            item->second.tried |= std::uint64_t{1} << grant.share.index;
    }
}

void Holder::redirected(const Redirect &redirect, Core::Instant now)
{
    const auto found = lines_.find(redirect.share);
    if (found == lines_.end())
        return;
    Line &line = found->second;
    if (!line.isAwaiting || redirect.askId != line.latestAsk)
        return;
    const bool isNews = !redirect.owner.isEmpty() && redirect.owner != ownerOf(redirect.share);
    if (!isNews || line.redirects >= mostRedirects) {
        fail(line, now);
        return;
    }
    line.isAwaiting = false;
    line.asked.clear();
    line.owner = redirect.owner;
    line.guess = 0;
    ++line.redirects;
}

void Holder::fail(Line &line, Core::Instant now)
{
    line.isAwaiting = false;
    line.asked.clear();
    line.redirects = 0;
    ++line.guess;
    const std::uint32_t doublings = std::min(line.failures, mostBackoffDoublings);
    line.mayAskAt = now + shortestBackoff * (std::int64_t{1} << doublings);
    ++line.failures;
}

void Holder::checkTimeouts(Core::Instant now)
{
    for (auto &[share, line] : lines_) {
        if (line.isAwaiting && now - line.askedAt >= options_.askTimeout)
            fail(line, now);
    }
}

Core::NodeName Holder::ownerOf(ShareId share) const
{
    const auto found = lines_.find(share);
    if (found == lines_.end())
        return table_.candidate(share, 0);
    // The last known owner is tried again and again, since one lost message proves nothing.
    const Line &line = found->second;
    const std::uint32_t choice = line.guess % (ShareTable::candidatesPerShare + 1);
    if (choice == 0)
        return line.owner.isEmpty() ? table_.candidate(share, 0) : line.owner;
    return table_.candidate(share, choice - 1);
}

Core::NodeName Holder::provenOwner(ShareId share) const
{
    const auto found = lines_.find(share);
    const bool isProven = found != lines_.end() && found->second.failures == 0;
    return isProven ? found->second.owner : Core::NodeName();
}

void Holder::updateDemand(Core::Instant now)
{
    const double elapsed = static_cast<double>((now - lastTick_).milliseconds());
    if (elapsed <= 0)
        return;
    lastTick_ = now;
    const double weight = 1.0 - std::exp(-elapsed / demandAveraging);
    for (auto &[name, item] : items_) {
        const double current = static_cast<double>(item.taken) * millisecondsPerSecond / elapsed;
        item.demand += (current - item.demand) * weight;
        item.taken = 0;
    }
}

std::int64_t Holder::stockTarget(const Item &item) const
{
    if (isLeaving_)
        return 0;
    const double horizon = static_cast<double>(options_.aheadOfNeed.milliseconds());
    const double target = item.demand * horizon / millisecondsPerSecond;
    return std::min(std::llround(target), static_cast<long long>(item.limit.capacity));
}

AskEntry &Holder::plan(const Item &item, std::uint32_t index)
{
    AskEntry &entry = planned_[{item.shard, index}][item.limit.name];
    entry.resource = item.limit.name;
    return entry;
}

void Holder::planWaiting(Item &item, Core::Instant now)
{
    serveWaiting(item, now);
    if (item.waiting.empty() || isAskedFor(item))
        return;
    std::int64_t missing = 0;
    for (const Waiting &waiting : item.waiting)
        missing += waiting.amount;
    missing -= heldOf(item, now);
    const std::optional<std::uint32_t> free = fullest(item, false, now);
    if (free.has_value()) {
        plan(item, *free).urgent = std::max<std::int64_t>(missing, 1);
        return;
    }
    if (!fullest(item, true, now).has_value())
        refuseWaiting(item, now);
}

void Holder::planStock(Item &item, Core::Instant now)
{
    const std::int64_t target = stockTarget(item);
    const std::int64_t stock = heldOf(item, now);
    if (stock * 2 > target || target == 0)
        return;
    const std::optional<std::uint32_t> from = fullest(item, false, now);
    if (from.has_value())
        plan(item, *from).ahead = target - stock;
}

void Holder::planUpkeep(Item &item, Core::Instant now)
{
    const bool isConsumable = item.limit.kind == ResourceKind::Consumable;
    const std::int64_t target =
        isConsumable ? stockTarget(item) : std::max(item.wanted, item.inUse);
    std::int64_t excess = std::max<std::int64_t>(heldOf(item, now) - target, 0);
    const Core::Duration renewal =
        lifetimeOf(item) / (isConsumable ? renewalsPerLifetime : connectionRenewalsPerLifetime);
    for (std::uint32_t index = 0; index < item.stocks.size(); ++index) {
        Stock &stock = item.stocks[index];
        if (stock.units == 0 && stock.reported == 0)
            continue;
        const auto line = lines_.find({item.shard, index});
        if (line != lines_.end() && !isUsable(line->second, now))
            continue;
        const Core::Duration age = now - (stock.expiresAt - lifetimeOf(item));
        const bool isRenewalDue = age >= renewal;
        const bool isReportDue = stock.units < stock.reported && age >= options_.reportInterval;
        std::int64_t returnable = std::min(excess, stock.units);
        const std::int64_t recallable =
            std::clamp<std::int64_t>(heldOf(item, now) - item.inUse, 0, stock.recalled);
        if (!isConsumable)
            returnable = std::max(returnable, std::min(recallable, stock.units));
        const bool isReturnDue = returnable > 0 && (!isConsumable || isRenewalDue || isLeaving_);
        if (!isRenewalDue && !isReportDue && !isReturnDue)
            continue;
        AskEntry &entry = plan(item, index);
        if (!isReturnDue)
            continue;
        entry.returned = returnable;
        excess -= std::min(excess, returnable);
    }
}

void Holder::planReturnable(Item &item, Core::Instant now)
{
    const std::int64_t held = heldOf(item, now);
    if (isLeaving_ || held >= item.wanted || now < item.mayAskAt || isAskedFor(item))
        return;
    std::optional<std::uint32_t> from = fullest(item, false, now);
    if (!from.has_value()) {
        // All are believed empty; the pool is where returned units come in first.
        const auto line = lines_.find({item.shard, 0});
        if (line != lines_.end() && !isUsable(line->second, now))
            return;
        from = 0;
        item.mayAskAt = now + returnableRetry;
        for (Stock &stock : item.stocks)
            stock.isLevelKnown = false;
    }
    plan(item, *from).urgent = item.wanted - held;
}

void Holder::sendPlanned(Core::Instant now, HolderActions &actions)
{
    for (auto &[share, entries] : planned_) {
        Line &line = lines_[share];
        if (!isUsable(line, now))
            continue;
        const Core::NodeName owner = ownerOf(share);
        if (owner.isEmpty())
            continue;
        line.isAwaiting = true;
        line.askedAt = now;
        line.asked.clear();
        Ask ask{share, ++line.latestAsk, {}};
        for (auto &[name, entry] : entries) {
            Item &item = items_.at(name);
            Stock &stock = item.stocks[share.index];
            expire(item, now);
            entry.returned = std::min(entry.returned, stock.units);
            stock.units -= entry.returned;
            stock.recalled -= std::min(stock.recalled, entry.returned);
            stock.reported = stock.units;
            entry.held = stock.units;
            entry.heldEpoch = stock.epoch;
            entry.total = heldOf(item, now);
            const bool isConsumable = item.limit.kind == ResourceKind::Consumable;
            entry.demand = isConsumable
                ? std::llround(item.demand * static_cast<double>(milliPerUnit))
                : item.wanted;
            if (entry.urgent > 0)
                line.asked.insert(name);
            ask.entries.push_back(entry);
        }
        actions.asks.push_back({owner, std::move(ask)});
    }
    planned_.clear();
}

HolderActions Holder::flush(Core::Instant now)
{
    HolderActions actions;
    const std::set<ResourceName> pressing = pressing_;
    for (const ResourceName &name : pressing)
        planWaiting(items_.at(name), now);
    sendPlanned(now, actions);
    actions.decisions = std::move(decisions_);
    decisions_.clear();
    return actions;
}

HolderActions Holder::tick(Core::Instant now)
{
    HolderActions actions;
    checkTimeouts(now);
    updateDemand(now);
    for (auto &[name, item] : items_) {
        expire(item, now);
        planWaiting(item, now);
        planUpkeep(item, now);
        if (item.limit.kind == ResourceKind::Consumable)
            planStock(item, now);
        else
            planReturnable(item, now);
    }
    sendPlanned(now, actions);
    actions.decisions = std::move(decisions_);
    decisions_.clear();
    return actions;
}

void Holder::leave()
{
    isLeaving_ = true;
    for (auto &[name, item] : items_)
        item.wanted = 0;
}

bool Holder::isEmpty(Core::Instant now) const
{
    return std::ranges::all_of(items_,
                               [&](const auto &entry) { return heldOf(entry.second, now) == 0; });
}

} // namespace Chervilpin::Allotment
