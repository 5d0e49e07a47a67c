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
/// After a change of the members, the roles for this many teams are computed at a time, so that a
/// change takes a fraction of a millisecond of CPU time even with hundreds of members.
constexpr std::size_t teamsPerRoleReview = 8;
constexpr Core::Duration roleReviewInterval{10};
/// After this many requests for the same operations, they are refused: a retry at another proxy
/// helps the caller more than further requests.
constexpr unsigned maximumRequests = 4;
/// After this many requests without an answer, they are refused, which bounds the time that a
/// caller waits.
constexpr unsigned maximumUnanswered = 2;

} // namespace

RateLimiter::RateLimiter(Member self, Core::Incarnation incarnation)
    : self_(std::move(self))
    , incarnation_(incarnation)
    , owners_(self_)
{
    owners_.setMembers({self_});
}

double RateLimiter::evenlySplitFractionOf(const Sessions::TeamLimits &limits) const
{
    const double burst = limits.burst * evenlySplitFraction / static_cast<double>(proxies_);
    return burst >= minimumEvenShareBurst ? evenlySplitFraction : 0;
}

void RateLimiter::applyLimits(const Core::TeamName &team, TeamState &state, Core::Instant now)
{
    const double even = evenlySplitFractionOf(state.limits);
    state.evenShare.setShare(even / static_cast<double>(proxies_), now);
    state.evenShare.setLimits(state.limits, now);
    if (const auto owned = ownedRates_.find(team); owned != ownedRates_.end()) {
        updateOwnShare(owned->second, state, now);
        owned->second.bucket.setLimits(state.limits, now);
    }
    if (const auto holding = holdings_.find(team); holding != holdings_.end())
        holding->second.setLimits(state.limits, 1 - even, now);
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
    std::erase_if(ownedRates_, isGone);
    std::erase_if(holdings_, isGone);
    for (auto *teams : {&teamsWithRequest_, &teamsWithReturns_, &teamsWithQueries_})
        std::erase_if(*teams, [&](const auto &team) { return !limits.contains(team); });
    updateRoles(now);
}

void RateLimiter::setMembers(std::vector<Member> members, std::size_t proxies, Core::Instant now)
{
    proxies_ = std::max<std::size_t>(proxies, 1);
    if (std::ranges::find(members, self_.node, &Member::node) != members.end())
        membership_ = Membership::Member;
    else if (membership_ == Membership::Member)
        membership_ = Membership::Retired;
    // A proxy that was retired while it is cut off goes on with the share holders of its side.
    if (membership_ != Membership::Retired && members != owners_.members()) {
        updateLostDataCentres(members, now);
        owners_.setMembers(std::move(members));
        membersSince_ = now;
        std::erase_if(backoffs_, [&](const auto &entry) { return !owners_.isMember(entry.first); });
        updateRoles(now);
    }
    for (auto &[team, state] : teams_)
        applyLimits(team, state, now);
}

void RateLimiter::updateLostDataCentres(std::span<const Member> members, Core::Instant now)
{
    for (const auto &member : owners_.members())
        lostDataCentres_[member.dataCentre] = now;
    for (const auto &member : members)
        lostDataCentres_.erase(member.dataCentre);
}

void RateLimiter::updateRoles(Core::Instant now)
{
    // Where this proxy grants tokens, it must not go on in a role that it has lost.
    std::set<Core::TeamName> granting;
    for (const auto &[team, owned] : ownedRates_)
        granting.insert(team);
    for (const auto &[team, holding] : holdings_)
        granting.insert(team);
    for (const auto &team : granting)
        updateRole(team, now);
    // In a large fleet there are many members and teams, so the others are looked at bit by bit.
    teamsToReview_.clear();
    for (const auto &[team, state] : teams_)
        teamsToReview_.push_back(team);
    nextRoleReviewAt_ = now;
}

void RateLimiter::reviewRoles(Core::Instant now)
{
    if (teamsToReview_.empty() || now < nextRoleReviewAt_)
        return;
    nextRoleReviewAt_ = now + roleReviewInterval;
    for (std::size_t i = 0; i < teamsPerRoleReview && !teamsToReview_.empty(); ++i) {
        updateRole(teamsToReview_.back(), now);
        teamsToReview_.pop_back();
    }
}

void RateLimiter::updateRole(const Core::TeamName &team, Core::Instant now)
{
    const auto found = teams_.find(team);
    if (found == teams_.end())
        return;
    TeamState &state = found->second;
    const Owners &owners = owners_.ownersOf(team, state.limits);
    const bool isOwner = owners.owner && owners.owner->node == self_.node;
    // From its start, so that the holders of a team that has no callers yet get shares.
    if (isOwner && membership_ == Membership::Member)
        (void)ownedRateOf(team, state, now);
    if (const auto owned = ownedRates_.find(team); owned != ownedRates_.end()) {
        if (isOwner) {
            owned->second.lender.setHolders(owners.holders);
        } else {
            ownedRates_.erase(owned);
            teamsWithQueries_.erase(team);
        }
    }
    // An owner uses all that is not lent. An owner that lends no shares grants all.
    const auto holding = holdings_.find(team);
    if (holding == holdings_.end() || isHolder(team, state))
        return;
    holding->second.giveUp(now);
    if (owners.owner && !isOwner)
        sendReport(team, holding->second, owners.owner->address, now);
    holdings_.erase(holding);
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

const Granter *RateLimiter::nextGranter(const Core::TeamName &team, TeamState &state,
                                        Core::Instant now)
{
    Search &search = state.search;
    if (search.requests >= maximumRequests || search.unanswered >= maximumUnanswered)
        return nullptr;
    const auto &granters = owners_.ownersOf(team, state.limits).granters;
    for (; search.position < granters.size() && !search.isOver; ++search.position) {
        const Granter &granter = granters[search.position];
        const auto lacking = state.lackingUntil.find(granter.member.node);
        const bool lacksTokens = lacking != state.lackingUntil.end() && now < lacking->second;
        if (lacksTokens)
            noteLack(search, granter.role, granter.member.node, lacking->second - now);
        if (!lacksTokens && !isBackedOff(granter.member.node, now))
            return &granter;
    }
    return nullptr;
}

void RateLimiter::sendRequest(const Core::TeamName &team, TeamState &state, Core::Instant now)
{
    const Granter *granter = nextGranter(team, state, now);
    if (!granter) {
        refuseWaiting(state);
        return;
    }
    ++state.search.requests;
    TokenRequest request;
    request.id = nextRequestId_++;
    request.replyTo = self_.address;
    request.team = team;
    request.role = granter->role;
    request.needed = static_cast<std::uint32_t>(state.waiting.size());
    request.prefetch =
        static_cast<std::uint32_t>(state.demand.perSecond(now) * prefetchWindow.seconds());
    request.returned = std::exchange(state.returned, 0);
    const Member to = granter->member;
    state.outstanding = OutstandingRequest{request.id, request.role, to.node, request.needed, now};
    teamsWithRequest_.insert(team);
    if (to.node == self_.node)
        handleGrant(handleRequest(request, now), now);
    else
        messages_.push_back({to.address, std::move(request)});
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
    teamsWithRequest_.erase(grant.team);
    if (!grant.isAccepted) {
        backOff(grant.team, request, wrongOwnerBackoff, "not_owner", now);
        ++state.search.position;
        grantOrRequest(grant.team, state, now);
        return;
    }
    if (backoffs_.erase(request.to) > 0)
        events_.push_back({request.to, grant.team, request.role, "answers"});
    state.lackingUntil[request.to] = now + grant.retryAfter;
    state.reserved = (now < state.reservedUntil ? state.reserved : 0) + grant.operations;
    state.reservedUntil = request.sentAt + grantLifetime;
    const std::size_t ungranted =
        request.needed > grant.operations ? request.needed - grant.operations : 0;
    const std::size_t served = grantWaiting(state, now);
    const std::size_t unserved = request.needed > served ? request.needed - served : 0;
    if (std::min(ungranted, unserved) > 0)
        tokensLacked(state, request, grant);
    else
        state.search = {};
    grantOrRequest(grant.team, state, now);
}

void RateLimiter::tokensLacked(TeamState &state, const OutstandingRequest &request,
                               const TokenGrant &grant)
{
    noteLack(state.search, request.role, grant.from, grant.retryAfter);
    ++state.search.position;
}

void RateLimiter::noteLack(Search &search, Role role, const Core::NodeName &granter,
                           Core::Duration retryAfter)
{
    search.retryAfter = std::min(search.retryAfter.value_or(retryAfter), retryAfter);
    search.decidedBy = granter.value();
    search.role = role;
    // Shares follow demand within seconds, so the holders of other data centres are asked only if
    // the owner does not answer.
    if (role == Role::Owner)
        search.isOver = true;
}

void RateLimiter::refuseWaiting(TeamState &state)
{
    const Search search = std::exchange(state.search, {});
    state.returned = 0;
    refuse(state, state.waiting.size(), search.retryAfter.value_or(noGranterRetryDelay),
           search.decidedBy.empty() ? "no proxy that grants tokens answers" : search.decidedBy,
           search.role);
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
    for (const auto &team : teamsWithQueries_)
        due = std::min(due, ownedRates_.at(team).nextQueryAt);
    for (const auto &[team, holding] : holdings_)
        due = std::min(due, holding.nextReportAt());
    if (!teamsToReview_.empty())
        due = std::min(due, nextRoleReviewAt_);
    return due;
}

void RateLimiter::advance(Core::Instant now)
{
    handleSilence(now);
    returnTokens(now);
    reviewRoles(now);
    sendDueReports(now);
    sendDueQueries(now);
}

void RateLimiter::handleSilence(Core::Instant now)
{
    std::vector<Core::TeamName> late;
    for (const auto &team : teamsWithRequest_) {
        if (now >= teams_.at(team).outstanding->sentAt + requestTimeout)
            late.push_back(team);
    }
    for (const auto &team : late) {
        TeamState &state = teams_.at(team);
        backOff(team, *state.outstanding, initialBackoff, "silent", now);
        ++state.search.unanswered;
        ++state.search.position;
        state.outstanding.reset();
        teamsWithRequest_.erase(team);
        grantOrRequest(team, state, now);
    }
}

void RateLimiter::returnTokens(Core::Instant now)
{
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

std::vector<ShareEvent> RateLimiter::takeShareEvents()
{
    return std::exchange(shareEvents_, {});
}

std::vector<OutgoingMessage> RateLimiter::takeMessages()
{
    return std::exchange(messages_, {});
}

} // namespace Chervilpin::Rates
