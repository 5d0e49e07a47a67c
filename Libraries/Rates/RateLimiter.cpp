#include <Rates/RateLimiter.h>

#include <Rates/Timing.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Chervilpin::Rates {

namespace {

/// The fraction of a team's rate that is split evenly over the proxies, if the resulting shares are
/// large enough to be useful. Proxies can spend their shares while the owner is unreachable, and in
/// a small fleet the shares save most requests.
constexpr double evenlySplitFraction = 0.5;
/// An even share with a smaller burst than this would hardly ever admit an operation.
constexpr double minimumEvenShareBurst = 1.0;
/// The tolerated excess over a team's limit: a tenth of the limit, and 20 operations in 5 s.
constexpr double toleratedExcessFraction = 0.1;
constexpr double toleratedExcessPerSecond = 4.0;
/// The fraction of the tolerated excess that all fallbacks together may always spend. The rest
/// covers what they grant before they detect a surge.
constexpr double fallbackFraction = 0.3;

/// After this many consecutive requests without an answer, this proxy decides alone, which bounds
/// the time that a caller waits.
constexpr unsigned maximumUnanswered = 2;

} // namespace

RateLimiter::RateLimiter(Member self)
    : self_(std::move(self))
    , owners_(self_.dataCentre)
{
    owners_.setMembers({self_});
}

double RateLimiter::evenlySplitFractionOf(const Sessions::TeamLimits &limits) const
{
    const double burst = limits.burst * evenlySplitFraction / static_cast<double>(proxies_);
    return burst >= minimumEvenShareBurst ? evenlySplitFraction : 0;
}

Sessions::TeamLimits RateLimiter::fallbackLimits(const Sessions::TeamLimits &limits) const
{
    const auto dataCentres =
        static_cast<double>(std::max<std::size_t>(owners_.dataCentreCount(), 1));
    const double toleratedExcess =
        limits.ratePerSecond * toleratedExcessFraction + toleratedExcessPerSecond;
    const double perSecond =
        std::min(limits.ratePerSecond, toleratedExcess * fallbackFraction) / dataCentres;
    return {perSecond, std::max(1.0, std::min(limits.burst, perSecond))};
}

void RateLimiter::applyLimits(const Core::TeamName &team, TeamState &state, Core::Instant now)
{
    const double even = evenlySplitFractionOf(state.limits);
    state.evenShare.setShare(even / static_cast<double>(proxies_), now);
    state.evenShare.setLimits(state.limits, now);
    if (const auto ownedBucket = ownedBuckets_.find(team); ownedBucket != ownedBuckets_.end()) {
        ownedBucket->second.bucket.setShare(1 - even, now);
        ownedBucket->second.bucket.setLimits(state.limits, now);
    }
    if (fallbackBuckets_.contains(team) && isDesignatedFallback(team))
        fallbackBuckets_.at(team).setGuaranteed(fallbackLimits(state.limits), now);
}

void RateLimiter::setLimits(const std::map<Core::TeamName, Sessions::TeamLimits> &limits,
                            Core::Instant now)
{
    for (const auto &[team, limit] : limits) {
        TeamState &state = teams_[team];
        state.limits = limit;
        applyLimits(team, state, now);
    }
    for (auto &[team, state] : teams_) {
        if (!limits.contains(team))
            refuse(state, state.waiting.size(), removedTeamRetryDelay, "the team is gone",
                   Role::Owner);
    }
    const auto isGone = [&](const auto &entry) {
        return !limits.contains(entry.first);
    };
    std::erase_if(teams_, isGone);
    std::erase_if(ownedBuckets_, isGone);
    std::erase_if(fallbackBuckets_, isGone);
    std::erase_if(teamsWithRequest_, [&](const auto &team) { return !limits.contains(team); });
    std::erase_if(teamsWithReturns_, [&](const auto &team) { return !limits.contains(team); });
}

void RateLimiter::setMembers(std::vector<Member> members, std::size_t proxies, Core::Instant now)
{
    proxies_ = std::max<std::size_t>(proxies, 1);
    if (members != owners_.members()) {
        owners_.setMembers(std::move(members));
        membersSince_ = now;
        std::erase_if(ownedBuckets_,
                      [&](const auto &entry) { return !hasRole(entry.first, Role::Owner); });
        std::erase_if(backoffs_, [&](const auto &entry) { return !owners_.isMember(entry.first); });
    }
    for (auto &[team, state] : teams_)
        applyLimits(team, state, now);
}

bool RateLimiter::hasRole(const Core::TeamName &team, Role role)
{
    // The requester may see a different membership, so any proxy accepts requests as a fallback.
    // The limits of a fallback are small.
    if (role == Role::Fallback)
        return true;
    const auto &owner = owners_.ownersOf(team).owner;
    return fleetVisibility_ == FleetVisibility::Sufficient && owner && owner->node == self_.node;
}

RateLimiter::OwnedBucket &RateLimiter::ownedBucketOf(const Core::TeamName &team, TeamState &state,
                                                     Core::Instant now)
{
    const auto found = ownedBuckets_.find(team);
    if (found != ownedBuckets_.end())
        return found->second;
    OwnedBucket &ownedBucket = ownedBuckets_[team];
    applyLimits(team, state, now);
    // The previous owner may have spent the burst, so the bucket holds only the tokens that accrued
    // since the change of members.
    ownedBucket.bucket.setTokens(
        1 + ownedBucket.bucket.ratePerSecond() * (now - membersSince_).seconds());
    return ownedBucket;
}

bool RateLimiter::isDesignatedFallback(const Core::TeamName &team)
{
    const auto &fallbacks = owners_.ownersOf(team).fallbacks;
    return !fallbacks.empty() && fallbacks.front().node == self_.node;
}

FallbackBucket &RateLimiter::fallbackBucketOf(const Core::TeamName &team, TeamState &state,
                                              Core::Instant now)
{
    const auto found = fallbackBuckets_.find(team);
    if (found != fallbackBuckets_.end())
        return found->second;
    FallbackBucket &bucket = fallbackBuckets_[team];
    applyLimits(team, state, now);
    return bucket;
}

TokenGrant RateLimiter::handleRequest(const TokenRequest &request, Core::Instant now)
{
    TokenGrant grant;
    grant.id = request.id;
    grant.team = request.team;
    grant.from = self_.node;
    const auto state = teams_.find(request.team);
    grant.isAccepted = state != teams_.end() && hasRole(request.team, request.role);
    if (!grant.isAccepted)
        return grant;
    if (request.role == Role::Owner) {
        grantAsOwner(request, ownedBucketOf(request.team, state->second, now), grant, now);
        return grant;
    }
    FallbackBucket &bucket = fallbackBucketOf(request.team, state->second, now);
    grant.operations = bucket.take(request.needed, request.baselinePerSecond, now);
    if (grant.operations < request.needed)
        grant.retryAfter = bucket.waitForNext();
    return grant;
}

void RateLimiter::grantAsOwner(const TokenRequest &request, OwnedBucket &ownedBucket,
                               TokenGrant &grant, Core::Instant now)
{
    TokenBucket &bucket = ownedBucket.bucket;
    bucket.returnTokens(request.returned);
    while (grant.operations < request.needed && bucket.take(now))
        ++grant.operations;
    if (grant.operations < request.needed)
        grant.retryAfter = bucket.waitForNext();
    // Prefetched tokens come only from the upper half of the bucket, so that they don't deprive
    // waiting operations of other proxies.
    for (std::uint32_t extra = 0; extra < request.prefetch && bucket.isOverHalfFull(); ++extra) {
        if (!bucket.take(now))
            break;
        ++grant.operations;
    }
    RateMeter &granted =
        ownedBucket.granted.try_emplace(owners_.dataCentreOf(request.replyTo), grantedWindow)
            .first->second;
    granted.add(grant.operations, now);
    grant.baselinePerSecond = granted.perSecond(now);
}

void RateLimiter::requestAdmission(const Core::TeamName &team, Ticket ticket, Core::Instant now)
{
    const auto found = teams_.find(team);
    if (found == teams_.end() || found->second.limits.ratePerSecond <= 0) {
        decisions_.push_back({ticket, true});
        return;
    }
    found->second.demand.add(1, now);
    found->second.waiting.push_back(ticket);
    grantOrRequest(team, found->second, now);
}

void RateLimiter::refund(const Core::TeamName &team, Core::Instant now)
{
    const auto found = teams_.find(team);
    if (found == teams_.end() || found->second.limits.ratePerSecond <= 0)
        return;
    TeamState &state = found->second;
    if (!state.waiting.empty()) {
        decisions_.push_back({state.waiting.front(), true});
        state.waiting.pop_front();
        return;
    }
    // Several tokens are returned in one message, or with the next request.
    if (state.returned == 0)
        state.returnDeadline = now + returnDelay;
    ++state.returned;
    teamsWithReturns_.insert(team);
}

bool RateLimiter::spend(TeamState &state, Core::Instant now)
{
    if (now >= state.reservedUntil)
        state.reserved = 0;
    if (state.reserved > 0) {
        --state.reserved;
        return true;
    }
    return state.evenShare.share() > 0 && state.evenShare.take(now);
}

std::size_t RateLimiter::grantWaiting(TeamState &state, Core::Instant now)
{
    std::size_t count = 0;
    for (; !state.waiting.empty() && spend(state, now); ++count) {
        decisions_.push_back({state.waiting.front(), true});
        state.waiting.pop_front();
    }
    return count;
}

void RateLimiter::grantOrRequest(const Core::TeamName &team, TeamState &state, Core::Instant now)
{
    grantWaiting(state, now);
    if (!state.waiting.empty() && !state.outstanding)
        sendRequest(team, state, now);
}

bool RateLimiter::isBackedOff(const Core::NodeName &node, Core::Instant now) const
{
    const auto found = backoffs_.find(node);
    return found != backoffs_.end() && now < found->second.until;
}

std::pair<Role, const Member *> RateLimiter::chooseTarget(const Core::TeamName &team,
                                                          const TeamState &state, Core::Instant now)
{
    if (state.unanswered >= maximumUnanswered)
        return {Role::Fallback, &self_};
    const Owners &owners = owners_.ownersOf(team);
    if (owners.owner && !isBackedOff(owners.owner->node, now))
        return {Role::Owner, &*owners.owner};
    for (const auto &fallback : owners.fallbacks) {
        if (!isBackedOff(fallback.node, now))
            return {Role::Fallback, &fallback};
    }
    return {Role::Fallback, &self_};
}

void RateLimiter::sendRequest(const Core::TeamName &team, TeamState &state, Core::Instant now)
{
    const auto [role, to] = chooseTarget(team, state, now);
    TokenRequest request;
    request.id = nextRequestId_++;
    request.replyTo = self_.address;
    request.team = team;
    request.role = role;
    request.needed = static_cast<std::uint32_t>(state.waiting.size());
    if (role == Role::Owner)
        request.prefetch =
            static_cast<std::uint32_t>(state.demand.perSecond(now) * prefetchWindow.seconds());
    else if (to->node == self_.node)
        request.baselinePerSecond = state.granted.perSecond(now);
    else
        request.baselinePerSecond = state.baselinePerSecond;
    // Tokens sent to a fallback are dropped: its bucket is too small to take them back.
    request.returned = std::exchange(state.returned, 0);
    state.outstanding = OutstandingRequest{request.id, role, to->node, request.needed, now};
    teamsWithRequest_.insert(team);
    if (to->node == self_.node)
        handleGrant(handleRequest(request, now), now);
    else
        requests_.push_back({to->address, std::move(request)});
}

void RateLimiter::handleGrant(const TokenGrant &grant, Core::Instant now)
{
    const auto found = teams_.find(grant.team);
    if (found == teams_.end())
        return;
    TeamState &state = found->second;
    if (!state.outstanding || state.outstanding->id != grant.id)
        return;
    const OutstandingRequest request = *state.outstanding;
    state.outstanding.reset();
    state.unanswered = 0;
    teamsWithRequest_.erase(grant.team);
    if (!grant.isAccepted) {
        backOff(grant.team, request, wrongOwnerBackoff, "not_owner", now);
        grantOrRequest(grant.team, state, now);
        return;
    }
    if (backoffs_.erase(request.to) > 0)
        events_.push_back({request.to, grant.team, request.role, "answers"});
    if (request.role == Role::Owner) {
        state.granted.add(grant.operations, now);
        state.baselinePerSecond = grant.baselinePerSecond;
    }
    state.reserved = (now < state.reservedUntil ? state.reserved : 0) + grant.operations;
    state.reservedUntil = request.sentAt + grantLifetime;
    const std::size_t lacking =
        request.needed > grant.operations ? request.needed - grant.operations : 0;
    const std::size_t served = grantWaiting(state, now);
    const std::size_t unserved = request.needed > served ? request.needed - served : 0;
    refuse(state, std::min(lacking, unserved), grant.retryAfter, grant.from.value(), request.role);
    grantOrRequest(grant.team, state, now);
}

void RateLimiter::backOff(const Core::TeamName &team, const OutstandingRequest &request,
                          Core::Duration span, const char *what, Core::Instant now)
{
    const auto [silence, isNew] = backoffs_.try_emplace(request.to, Backoff{now + span, span});
    if (isNew) {
        events_.push_back({request.to, team, request.role, what});
        return;
    }
    silence->second.span = std::min(silence->second.span * 2, maximumBackoff);
    silence->second.until = now + silence->second.span;
}

void RateLimiter::refuse(TeamState &state, std::size_t count, Core::Duration retryAfter,
                         const std::string &decidedBy, Role role)
{
    // The retry delays of callers that are refused together are staggered at the team's rate.
    constexpr double millisecondsPerSecond = 1'000.0;
    const double rate = state.limits.ratePerSecond;
    const Core::Duration gap(
        rate > 0 ? static_cast<std::int64_t>(std::ceil(millisecondsPerSecond / rate)) : 0);
    Core::Duration wait = retryAfter;
    for (std::size_t i = 0; i < count && !state.waiting.empty(); ++i) {
        decisions_.push_back({state.waiting.front(), false, wait, rate, decidedBy, role});
        state.waiting.pop_front();
        wait = wait + gap;
    }
}

Core::Instant RateLimiter::nextDeadline() const
{
    Core::Instant due = Core::Instant::never();
    for (const auto &team : teamsWithRequest_)
        due = std::min(due, teams_.at(team).outstanding->sentAt + requestTimeout);
    for (const auto &team : teamsWithReturns_)
        due = std::min(due, teams_.at(team).returnDeadline);
    return due;
}

void RateLimiter::advance(Core::Instant now)
{
    std::vector<Core::TeamName> late;
    for (const auto &team : teamsWithRequest_) {
        if (now >= teams_.at(team).outstanding->sentAt + requestTimeout)
            late.push_back(team);
    }
    for (const auto &team : late) {
        TeamState &state = teams_.at(team);
        backOff(team, *state.outstanding, initialBackoff, "silent", now);
        ++state.unanswered;
        state.outstanding.reset();
        teamsWithRequest_.erase(team);
        grantOrRequest(team, state, now);
    }
    std::vector<Core::TeamName> due;
    for (const auto &team : teamsWithReturns_) {
        if (now >= teams_.at(team).returnDeadline)
            due.push_back(team);
    }
    for (const auto &team : due) {
        TeamState &state = teams_.at(team);
        teamsWithReturns_.erase(team);
        if (state.returned > 0 && !state.outstanding)
            sendRequest(team, state, now);
    }
}

std::vector<Decision> RateLimiter::takeDecisions()
{
    return std::exchange(decisions_, {});
}

std::vector<OwnerEvent> RateLimiter::takeEvents()
{
    return std::exchange(events_, {});
}

std::vector<AddressedRequest> RateLimiter::takeRequests()
{
    return std::exchange(requests_, {});
}

} // namespace Chervilpin::Rates
