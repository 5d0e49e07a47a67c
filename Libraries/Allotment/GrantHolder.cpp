#include <Allotment/GrantHolder.h>

#include <algorithm>
#include <cmath>

namespace Chervilpin::Allotment {

namespace {

constexpr double millisecondsPerSecond = 1000.0;
/// Time constant of the moving average of demand.
constexpr double demandTimeConstantMilliseconds = 500.0;
constexpr std::int64_t milliUnitsPerUnit = 1000;
constexpr Core::Duration minimumBackoff{20};
constexpr std::uint32_t maximumBackoffDoublings = 5;
constexpr std::uint32_t maximumFailuresWorthWaiting = 2;
constexpr std::uint32_t maximumRedirects = 3;
constexpr Core::Duration returnableRetryInterval{200};
constexpr std::int64_t renewalsPerLifetime = 2;
constexpr std::int64_t connectionRenewalsPerLifetime = 5;

} // namespace

GrantHolder::GrantHolder(const Options &options, const ShareTable &table)
    : options_(options)
    , table_(table)
{ }

void GrantHolder::setLimits(std::span<const ResourceLimit> limits)
{
    std::map<ResourceName, ResourceState> next;
    for (const ResourceLimit &limit : limits) {
        ResourceState resourceState;
        const auto found = resources_.find(limit.name);
        if (found != resources_.end())
            resourceState = std::move(found->second);
        resourceState.limit = limit;
        resourceState.shard = table_.shardOf(limit.name);
        resourceState.holdings.resize(table_.shareCount());
        for (std::uint32_t index = 0; index < table_.shareCount(); ++index) {
            const ResourceLimit part = table_.part(limit, index);
            resourceState.holdings[index].capacity = part.capacity;
            resourceState.holdings[index].ratePerSecond = part.ratePerSecond;
        }
        next.insert_or_assign(limit.name, std::move(resourceState));
    }
    for (const auto &[name, resourceState] : resources_) {
        if (next.contains(name))
            continue;
        for (const WaitingRequest &waiting : resourceState.waiting)
            decisions_.push_back({waiting.ticket, Refused{options_.tokenLifetime}});
        resourcesWithWaiting_.erase(name);
    }
    resources_ = std::move(next);
}

Core::Duration GrantHolder::lifetimeOf(const ResourceState &resourceState) const
{
    return resourceState.limit.kind == ResourceKind::Consumable ? options_.tokenLifetime
                                                                : options_.connectionLifetime;
}

bool GrantHolder::isValid(const Holding &holding, Core::Instant now) const
{
    return now < holding.expiresAt || !options_.guards.holderExpires;
}

std::int64_t GrantHolder::heldOf(const ResourceState &resourceState, Core::Instant now) const
{
    std::int64_t sum = 0;
    for (const Holding &holding : resourceState.holdings)
        sum += isValid(holding, now) ? holding.units : 0;
    return sum;
}

std::int64_t GrantHolder::held(const ResourceName &resource, Core::Instant now) const
{
    const auto found = resources_.find(resource);
    return found == resources_.end() ? 0 : heldOf(found->second, now);
}

std::int64_t GrantHolder::usableUnits(const ResourceName &resource, Core::Instant now) const
{
    const auto found = resources_.find(resource);
    if (found == resources_.end())
        return 0;
    std::int64_t recalled = 0;
    for (const Holding &holding : found->second.holdings)
        recalled += isValid(holding, now) ? std::min(holding.recalled, holding.units) : 0;
    return heldOf(found->second, now) - recalled;
}

void GrantHolder::expire(ResourceState &resourceState, Core::Instant now) const
{
    for (Holding &holding : resourceState.holdings) {
        if (isValid(holding, now))
            continue;
        holding.units = 0;
        holding.reported = 0;
        holding.recalled = 0;
    }
}

bool GrantHolder::spend(ResourceState &resourceState, std::int64_t amount, Core::Instant now) const
{
    if (heldOf(resourceState, now) < amount)
        return false;
    std::int64_t missing = amount;
    while (missing > 0) {
        Holding *soonest = nullptr;
        for (Holding &holding : resourceState.holdings) {
            if (holding.units == 0 || !isValid(holding, now))
                continue;
            if (soonest == nullptr || holding.expiresAt < soonest->expiresAt)
                soonest = &holding;
        }
        if (soonest == nullptr)
            return false;
        const std::int64_t part = std::min(missing, soonest->units);
        soonest->units -= part;
        missing -= part;
    }
    return true;
}

MicroUnits GrantHolder::levelEstimate(const Holding &holding, Core::Instant now) const
{
    const MicroUnits maximum = holding.capacity * microUnitsPerUnit;
    if (!holding.isLevelKnown)
        return maximum;
    const double age = static_cast<double>((now - holding.ownerLevelAt).milliseconds());
    const double refilled =
        static_cast<double>(holding.ratePerSecond) * age / millisecondsPerSecond;
    const double estimate = static_cast<double>(holding.ownerLevel) + refilled;
    return estimate >= static_cast<double>(maximum) ? maximum : static_cast<MicroUnits>(estimate);
}

bool GrantHolder::mayAsk(const OwnerState &ownerState, Core::Instant now) const
{
    return !ownerState.isAskPending && now >= ownerState.nextAskAt;
}

bool GrantHolder::isUrgentAskPending(const ResourceState &resourceState) const
{
    for (std::uint32_t index = 0; index < resourceState.holdings.size(); ++index) {
        const auto ownerState = ownerStates_.find({resourceState.shard, index});
        const bool isAskPendingForShare =
            ownerState != ownerStates_.end() && ownerState->second.isAskPending;
        if (isAskPendingForShare
            && ownerState->second.urgentResources.contains(resourceState.limit.name))
            return true;
    }
    return false;
}

/// Returns the share that is likely to have the most units left, among those that can be asked now;
/// with \a includesBusy, also among those that can be asked again soon.
std::optional<std::uint32_t> GrantHolder::fullestShare(const ResourceState &resourceState,
                                                       bool includesBusy, Core::Instant now) const
{
    std::optional<std::uint32_t> best;
    MicroUnits bestLevel = 0;
    for (std::uint32_t index = 0; index < resourceState.holdings.size(); ++index) {
        if ((resourceState.triedShares >> index & 1U) != 0)
            continue;
        const auto ownerState = ownerStates_.find({resourceState.shard, index});
        if (ownerState != ownerStates_.end() && !mayAsk(ownerState->second, now)) {
            const bool isRetriedSoon = ownerState->second.failures <= maximumFailuresWorthWaiting;
            if (!includesBusy || !isRetriedSoon)
                continue;
        }
        const MicroUnits level = levelEstimate(resourceState.holdings[index], now);
        if (level < microUnitsPerUnit || level <= bestLevel)
            continue;
        best = index;
        bestLevel = level;
    }
    return best;
}

Core::Duration GrantHolder::retryAfter(const ResourceState &resourceState, Core::Instant now) const
{
    constexpr double maximumWaitMilliseconds = 3'600'000;
    double soonest = maximumWaitMilliseconds;
    for (const Holding &holding : resourceState.holdings) {
        if (holding.capacity == 0)
            continue;
        const MicroUnits missing =
            std::max<MicroUnits>(microUnitsPerUnit - levelEstimate(holding, now), 0);
        const auto rate = static_cast<double>(std::max<MicroUnits>(holding.ratePerSecond, 1));
        const double wait = static_cast<double>(missing) * millisecondsPerSecond / rate;
        soonest = std::min(soonest, std::ceil(wait));
    }
    return std::max(Core::Duration(static_cast<std::int64_t>(soonest)), minimumBackoff);
}

TakeResult GrantHolder::take(const ResourceName &resource, std::int64_t amount,
                             Core::Instant deadline, Core::Instant now)
{
    const auto found = resources_.find(resource);
    if (found == resources_.end() || isLeaving_ || amount > found->second.limit.capacity)
        return Refused{options_.tokenLifetime};
    ResourceState &resourceState = found->second;
    resourceState.requestedUnits += amount;
    // Requests that already wait are served first.
    if (resourceState.waiting.empty() && spend(resourceState, amount, now))
        return Taken{};
    if (resourceState.waiting.empty())
        resourceState.triedShares = 0;
    const bool mayBeGranted =
        isUrgentAskPending(resourceState) || fullestShare(resourceState, true, now).has_value();
    if (!mayBeGranted || deadline <= now)
        return Refused{retryAfter(resourceState, now)};
    const Core::Instant until = std::min(deadline, now + options_.maximumWait);
    resourceState.waiting.push_back({nextTicket_, amount, until});
    resourcesWithWaiting_.insert(resource);
    return Pending{nextTicket_++};
}

void GrantHolder::cancel(TicketId ticket)
{
    for (auto &[name, resourceState] : resources_)
        std::erase_if(resourceState.waiting,
                      [ticket](const WaitingRequest &w) { return w.ticket == ticket; });
}

void GrantHolder::setUsage(const ResourceName &resource, std::int64_t wanted, std::int64_t inUse)
{
    const auto found = resources_.find(resource);
    if (found == resources_.end())
        return;
    found->second.wanted = std::min(wanted, found->second.limit.capacity);
    found->second.inUse = inUse;
}

void GrantHolder::serveWaiting(ResourceState &resourceState, Core::Instant now)
{
    while (!resourceState.waiting.empty()) {
        const WaitingRequest &first = resourceState.waiting.front();
        if (first.until < now) {
            decisions_.push_back({first.ticket, Refused{retryAfter(resourceState, now)}});
            resourceState.waiting.pop_front();
            continue;
        }
        if (!spend(resourceState, first.amount, now))
            break;
        decisions_.push_back({first.ticket, Taken{}});
        resourceState.waiting.pop_front();
    }
    if (resourceState.waiting.empty()) {
        resourceState.triedShares = 0;
        resourcesWithWaiting_.erase(resourceState.limit.name);
    }
}

void GrantHolder::refuseWaiting(ResourceState &resourceState, Core::Instant now)
{
    for (const WaitingRequest &waiting : resourceState.waiting)
        decisions_.push_back({waiting.ticket, Refused{retryAfter(resourceState, now)}});
    resourceState.waiting.clear();
    resourceState.triedShares = 0;
    resourcesWithWaiting_.erase(resourceState.limit.name);
}

void GrantHolder::applyEntry(ResourceState &resourceState, std::uint32_t index,
                             const GrantEntry &entry, const OwnerState &ownerState, Epoch epoch,
                             Core::Instant now)
{
    Holding &holding = resourceState.holdings[index];
    holding.ownerLevel = entry.level;
    holding.ownerLevelAt = now;
    holding.isLevelKnown = true;
    const Core::Instant expiresAt = ownerState.askedAt + lifetimeOf(resourceState);
    const bool isTooLate = options_.guards.holderExpires && now >= expiresAt;
    if (isTooLate)
        return;
    holding.units += entry.added;
    holding.reported += entry.added;
    holding.recalled = entry.recalled;
    holding.epoch = epoch;
    holding.expiresAt = expiresAt;
}

void GrantHolder::handleGrant(const Core::NodeName &owner, const Grant &grant, Core::Instant now)
{
    const auto found = ownerStates_.find(grant.share);
    if (found == ownerStates_.end())
        return;
    OwnerState &ownerState = found->second;
    // Only the first answer to the latest ask is accepted: the owner takes all other answers for
    // void.
    const bool isExpected = ownerState.isAskPending && grant.askId == ownerState.latestAskId;
    if (!isExpected && options_.guards.onlyLatestAskCounts)
        return;
    ownerState.isAskPending = false;
    ownerState.failures = 0;
    ownerState.owner = owner;
    ownerState.attempt = 0;
    ownerState.redirects = 0;
    const std::set<ResourceName> urgentResources = std::move(ownerState.urgentResources);
    ownerState.urgentResources.clear();
    for (const GrantEntry &entry : grant.entries) {
        const auto resourceState = resources_.find(entry.resource);
        if (resourceState == resources_.end() || resourceState->second.shard != grant.share.shard
            || grant.share.index >= resourceState->second.holdings.size())
            continue;
        expire(resourceState->second, now);
        applyEntry(resourceState->second, grant.share.index, entry, ownerState, grant.epoch, now);
        if (resourceState->second.limit.kind == ResourceKind::Returnable) {
            const bool isRefused = urgentResources.contains(entry.resource) && entry.added == 0;
            if (isRefused && !fullestShare(resourceState->second, false, now).has_value())
                resourceState->second.nextAskAt = now + returnableRetryInterval;
            continue;
        }
        serveWaiting(resourceState->second, now);
        if (!resourceState->second.waiting.empty() && urgentResources.contains(entry.resource)
            && entry.level < microUnitsPerUnit)
            resourceState->second.triedShares |= std::uint64_t{1} << grant.share.index;
    }
}

void GrantHolder::handleRedirect(const Redirect &redirect, Core::Instant now)
{
    const auto found = ownerStates_.find(redirect.share);
    if (found == ownerStates_.end())
        return;
    OwnerState &ownerState = found->second;
    if (!ownerState.isAskPending || redirect.askId != ownerState.latestAskId)
        return;
    const bool isNewOwner = !redirect.owner.isEmpty() && redirect.owner != ownerOf(redirect.share);
    if (!isNewOwner || ownerState.redirects >= maximumRedirects) {
        recordFailure(ownerState, now);
        return;
    }
    ownerState.isAskPending = false;
    ownerState.urgentResources.clear();
    ownerState.owner = redirect.owner;
    ownerState.attempt = 0;
    ++ownerState.redirects;
}

void GrantHolder::recordFailure(OwnerState &ownerState, Core::Instant now)
{
    ownerState.isAskPending = false;
    ownerState.urgentResources.clear();
    ownerState.redirects = 0;
    ++ownerState.attempt;
    const std::uint32_t doublings = std::min(ownerState.failures, maximumBackoffDoublings);
    ownerState.nextAskAt = now + minimumBackoff * (std::int64_t{1} << doublings);
    ++ownerState.failures;
}

void GrantHolder::checkTimeouts(Core::Instant now)
{
    for (auto &[share, ownerState] : ownerStates_) {
        if (ownerState.isAskPending && now - ownerState.askedAt >= options_.askTimeout)
            recordFailure(ownerState, now);
    }
}

Core::NodeName GrantHolder::ownerOf(ShareId share) const
{
    const auto found = ownerStates_.find(share);
    if (found == ownerStates_.end())
        return table_.candidate(share, 0);
    // The last known owner is tried again after the candidates, since one lost message does not
    // prove that it is gone.
    const OwnerState &ownerState = found->second;
    const std::uint32_t choice = ownerState.attempt % (ShareTable::candidatesPerShare + 1);
    if (choice == 0)
        return ownerState.owner.isEmpty() ? table_.candidate(share, 0) : ownerState.owner;
    return table_.candidate(share, choice - 1);
}

Core::NodeName GrantHolder::confirmedOwner(ShareId share) const
{
    const auto found = ownerStates_.find(share);
    const bool isConfirmed = found != ownerStates_.end() && found->second.failures == 0;
    return isConfirmed ? found->second.owner : Core::NodeName();
}

void GrantHolder::updateDemand(Core::Instant now)
{
    const double elapsed = static_cast<double>((now - lastTick_).milliseconds());
    if (elapsed <= 0)
        return;
    lastTick_ = now;
    const double weight = 1.0 - std::exp(-elapsed / demandTimeConstantMilliseconds);
    for (auto &[name, resourceState] : resources_) {
        const double current =
            static_cast<double>(resourceState.requestedUnits) * millisecondsPerSecond / elapsed;
        resourceState.demand += (current - resourceState.demand) * weight;
        resourceState.requestedUnits = 0;
    }
}

std::int64_t GrantHolder::prefetchTarget(const ResourceState &resourceState) const
{
    if (isLeaving_)
        return 0;
    const double horizon = static_cast<double>(options_.prefetchWindow.milliseconds());
    const double target = resourceState.demand * horizon / millisecondsPerSecond;
    return std::min(std::llround(target), static_cast<long long>(resourceState.limit.capacity));
}

AskEntry &GrantHolder::plan(const ResourceState &resourceState, std::uint32_t index)
{
    AskEntry &entry = planned_[{resourceState.shard, index}][resourceState.limit.name];
    entry.resource = resourceState.limit.name;
    return entry;
}

void GrantHolder::planWaiting(ResourceState &resourceState, Core::Instant now)
{
    serveWaiting(resourceState, now);
    if (resourceState.waiting.empty() || isUrgentAskPending(resourceState))
        return;
    std::int64_t missing = 0;
    for (const WaitingRequest &waiting : resourceState.waiting)
        missing += waiting.amount;
    missing -= heldOf(resourceState, now);
    const std::optional<std::uint32_t> free = fullestShare(resourceState, false, now);
    if (free.has_value()) {
        plan(resourceState, *free).urgent = std::max<std::int64_t>(missing, 1);
        return;
    }
    if (!fullestShare(resourceState, true, now).has_value())
        refuseWaiting(resourceState, now);
}

void GrantHolder::planPrefetch(ResourceState &resourceState, Core::Instant now)
{
    const std::int64_t target = prefetchTarget(resourceState);
    const std::int64_t held = heldOf(resourceState, now);
    if (held * 2 > target || target == 0)
        return;
    const std::optional<std::uint32_t> from = fullestShare(resourceState, false, now);
    if (from.has_value())
        plan(resourceState, *from).ahead = target - held;
}

void GrantHolder::planMaintenance(ResourceState &resourceState, Core::Instant now)
{
    const bool isConsumable = resourceState.limit.kind == ResourceKind::Consumable;
    const std::int64_t target = isConsumable ? prefetchTarget(resourceState)
                                             : std::max(resourceState.wanted, resourceState.inUse);
    std::int64_t excess = std::max<std::int64_t>(heldOf(resourceState, now) - target, 0);
    const Core::Duration renewal = lifetimeOf(resourceState)
        / (isConsumable ? renewalsPerLifetime : connectionRenewalsPerLifetime);
    for (std::uint32_t index = 0; index < resourceState.holdings.size(); ++index) {
        Holding &holding = resourceState.holdings[index];
        if (holding.units == 0 && holding.reported == 0)
            continue;
        const auto ownerState = ownerStates_.find({resourceState.shard, index});
        if (ownerState != ownerStates_.end() && !mayAsk(ownerState->second, now))
            continue;
        const Core::Duration age = now - (holding.expiresAt - lifetimeOf(resourceState));
        const bool isRenewalDue = age >= renewal;
        const bool isReportDue = holding.units < holding.reported && age >= options_.reportInterval;
        std::int64_t returnable = std::min(excess, holding.units);
        const std::int64_t recallable = std::clamp<std::int64_t>(
            heldOf(resourceState, now) - resourceState.inUse, 0, holding.recalled);
        if (!isConsumable)
            returnable = std::max(returnable, std::min(recallable, holding.units));
        const bool isReturnDue = returnable > 0 && (!isConsumable || isRenewalDue || isLeaving_);
        if (!isRenewalDue && !isReportDue && !isReturnDue)
            continue;
        AskEntry &entry = plan(resourceState, index);
        if (!isReturnDue)
            continue;
        entry.returned = returnable;
        excess -= std::min(excess, returnable);
    }
}

void GrantHolder::planReturnable(ResourceState &resourceState, Core::Instant now)
{
    const std::int64_t held = heldOf(resourceState, now);
    if (isLeaving_ || held >= resourceState.wanted || now < resourceState.nextAskAt
        || isUrgentAskPending(resourceState))
        return;
    std::optional<std::uint32_t> from = fullestShare(resourceState, false, now);
    if (!from.has_value()) {
        // All shares are believed to be empty. Share 0 is asked, and the known levels are discarded
        // so that the next attempt considers all shares again.
        const auto ownerState = ownerStates_.find({resourceState.shard, 0});
        if (ownerState != ownerStates_.end() && !mayAsk(ownerState->second, now))
            return;
        from = 0;
        resourceState.nextAskAt = now + returnableRetryInterval;
        for (Holding &holding : resourceState.holdings)
            holding.isLevelKnown = false;
    }
    plan(resourceState, *from).urgent = resourceState.wanted - held;
}

void GrantHolder::sendPlanned(Core::Instant now, HolderActions &actions)
{
    for (auto &[share, entries] : planned_) {
        OwnerState &ownerState = ownerStates_[share];
        if (!mayAsk(ownerState, now))
            continue;
        const Core::NodeName owner = ownerOf(share);
        if (owner.isEmpty())
            continue;
        ownerState.isAskPending = true;
        ownerState.askedAt = now;
        ownerState.urgentResources.clear();
        Ask ask{share, ++ownerState.latestAskId, {}};
        for (auto &[name, entry] : entries) {
            ResourceState &resourceState = resources_.at(name);
            Holding &holding = resourceState.holdings[share.index];
            expire(resourceState, now);
            entry.returned = std::min(entry.returned, holding.units);
            holding.units -= entry.returned;
            holding.recalled -= std::min(holding.recalled, entry.returned);
            holding.reported = holding.units;
            entry.held = holding.units;
            entry.heldEpoch = holding.epoch;
            entry.total = heldOf(resourceState, now);
            const bool isConsumable = resourceState.limit.kind == ResourceKind::Consumable;
            entry.demand = isConsumable
                ? std::llround(resourceState.demand * static_cast<double>(milliUnitsPerUnit))
                : resourceState.wanted;
            if (entry.urgent > 0)
                ownerState.urgentResources.insert(name);
            ask.entries.push_back(entry);
        }
        actions.asks.push_back({owner, std::move(ask)});
    }
    planned_.clear();
}

HolderActions GrantHolder::flush(Core::Instant now)
{
    HolderActions actions;
    const std::set<ResourceName> resourcesWithWaiting = resourcesWithWaiting_;
    for (const ResourceName &name : resourcesWithWaiting)
        planWaiting(resources_.at(name), now);
    sendPlanned(now, actions);
    actions.decisions = std::move(decisions_);
    decisions_.clear();
    return actions;
}

HolderActions GrantHolder::tick(Core::Instant now)
{
    HolderActions actions;
    checkTimeouts(now);
    updateDemand(now);
    for (auto &[name, resourceState] : resources_) {
        expire(resourceState, now);
        planWaiting(resourceState, now);
        planMaintenance(resourceState, now);
        if (resourceState.limit.kind == ResourceKind::Consumable)
            planPrefetch(resourceState, now);
        else
            planReturnable(resourceState, now);
    }
    sendPlanned(now, actions);
    actions.decisions = std::move(decisions_);
    decisions_.clear();
    return actions;
}

void GrantHolder::leave()
{
    isLeaving_ = true;
    for (auto &[name, resourceState] : resources_)
        resourceState.wanted = 0;
}

bool GrantHolder::isEmpty(Core::Instant now) const
{
    return std::ranges::all_of(resources_,
                               [&](const auto &entry) { return heldOf(entry.second, now) == 0; });
}

} // namespace Chervilpin::Allotment
