#include <Rates/GrantTokens.h>
#include <Rates/RateLimiter.h>

#include <algorithm>

namespace Chervilpin::Rates {

bool RateLimiter::isOwner(const Core::TeamName &team, const TeamState &state)
{
    const auto &owner = owners_.ownersOf(team, state.limits).owner;
    return membership_ == Membership::Member && fleetVisibility_ == FleetVisibility::Sufficient
        && owner && owner->node == self_.node;
}

bool RateLimiter::isHolder(const Core::TeamName &team, const TeamState &state)
{
    return std::ranges::any_of(owners_.ownersOf(team, state.limits).holders,
                               [&](const Member &holder) { return holder.node == self_.node; });
}

RateLimiter::OwnedRate &RateLimiter::ownedRateOf(const Core::TeamName &team, TeamState &state,
                                                 Core::Instant now)
{
    const auto found = ownedRates_.find(team);
    if (found != ownedRates_.end()) {
        updateOwnShare(found->second, state, now);
        return found->second;
    }
    OwnedRate &owned = ownedRates_.emplace(team, OwnedRate(lostDataCentres_, now)).first->second;
    owned.lender.setHolders(owners_.ownersOf(team, state.limits).holders);
    applyLimits(team, state, now);
    // The previous owner may have spent the burst, so the bucket holds only the tokens that accrued
    // since the change of members.
    owned.bucket.setTokens(1 + state.limits.ratePerSecond * (now - membersSince_).seconds());
    teamsWithQueries_.insert(team);
    queryHolders(team, owned, now);
    return owned;
}

ShareHolding &RateLimiter::holdingOf(const Core::TeamName &team, TeamState &state,
                                     Core::Instant now)
{
    const auto found = holdings_.find(team);
    if (found != holdings_.end())
        return found->second;
    ShareHolding &holding = holdings_.emplace(team, ShareHolding()).first->second;
    applyLimits(team, state, now);
    return holding;
}

void RateLimiter::updateOwnShare(OwnedRate &owned, const TeamState &state, Core::Instant now)
{
    const double lendablePart = 1 - evenlySplitFractionOf(state.limits);
    owned.bucket.moveShare(owned.lender.ownShare(now) * lendablePart, now);
}

TokenGrant RateLimiter::handleRequest(const TokenRequest &request, Core::Instant now)
{
    TokenGrant grant;
    grant.id = request.id;
    grant.team = request.team;
    grant.from = self_.node;
    const auto found = teams_.find(request.team);
    if (found == teams_.end()) {
        grant.isAccepted = false;
        return grant;
    }
    TeamState &state = found->second;
    if (request.role == Role::Owner) {
        grant.isAccepted = isOwner(request.team, state);
        if (grant.isAccepted)
            grantTokens(ownedRateOf(request.team, state, now).bucket, request, grant, now);
        return grant;
    }
    // A proxy that is no designated holder may still hold a share of before the members changed.
    if (holdings_.contains(request.team) || isHolder(request.team, state))
        holdingOf(request.team, state, now).grant(request, grant, now);
    return grant;
}

void RateLimiter::handleReport(const ShareReport &report, Core::Instant now)
{
    const auto found = teams_.find(report.team);
    if (found == teams_.end() || !isOwner(report.team, found->second))
        return;
    OwnedRate &owned = ownedRateOf(report.team, found->second, now);
    ShareLease lease = owned.lender.lend(report, owners_.dataCentreOf(report.holder), now);
    lease.lender = self_.node;
    messages_.push_back({report.replyTo, std::move(lease)});
    updateOwnShare(owned, found->second, now);
    if (now >= owned.nextQueryAt) {
        owned.nextQueryAt = now + shareQueryInterval;
        query(report.team, owned.lender.holdersToLower(now));
    }
    if (owned.lender.unheardHolders(now).empty() && teamsWithQueries_.erase(report.team) > 0)
        owned.bucket.setTokens(1 + owned.bucket.ratePerSecond() * (now - membersSince_).seconds());
}

void RateLimiter::handleLease(const ShareLease &lease, Core::Instant now)
{
    const auto holding = holdings_.find(lease.team);
    if (holding != holdings_.end() && holding->second.renew(lease, now))
        shareEvents_.push_back({lease.team, lease.lender, lease.share, lease.duration});
}

void RateLimiter::handleQuery(const ShareQuery &query, Core::Instant now)
{
    const auto found = teams_.find(query.team);
    if (found == teams_.end())
        return;
    if (holdings_.contains(query.team) || isHolder(query.team, found->second)) {
        sendReport(query.team, holdingOf(query.team, found->second, now), query.replyTo, now);
        return;
    }
    // The asking proxy knows other members.
    ShareReport report;
    report.id = nextRequestId_++;
    report.replyTo = self_.address;
    report.team = query.team;
    report.holder = self_.node;
    report.incarnation = incarnation_;
    report.isReturning = true;
    messages_.push_back({query.replyTo, std::move(report)});
}

void RateLimiter::sendReport(const Core::TeamName &team, ShareHolding &holding,
                             const std::string &to, Core::Instant now)
{
    ShareReport report = holding.makeReport(nextRequestId_++, now);
    report.replyTo = self_.address;
    report.team = team;
    report.holder = self_.node;
    report.incarnation = incarnation_;
    messages_.push_back({to, std::move(report)});
}

void RateLimiter::queryHolders(const Core::TeamName &team, OwnedRate &owned, Core::Instant now)
{
    owned.nextQueryAt = now + shareQueryInterval;
    query(team, owned.lender.unheardHolders(now));
}

void RateLimiter::query(const Core::TeamName &team, std::span<const Member> holders)
{
    for (const auto &holder : holders)
        messages_.push_back({holder.address, ShareQuery{team, self_.address}});
}

void RateLimiter::sendDueReports(Core::Instant now)
{
    for (auto &[team, holding] : holdings_) {
        if (now < holding.nextReportAt())
            continue;
        const auto &owner = owners_.ownersOf(team, teams_.at(team).limits).owner;
        if (owner && owner->node != self_.node)
            sendReport(team, holding, owner->address, now);
    }
}

void RateLimiter::sendDueQueries(Core::Instant now)
{
    for (const auto &team : std::vector(teamsWithQueries_.begin(), teamsWithQueries_.end())) {
        OwnedRate &owned = ownedRates_.at(team);
        if (now < owned.nextQueryAt)
            continue;
        if (owned.lender.unheardHolders(now).empty())
            teamsWithQueries_.erase(team);
        else
            queryHolders(team, owned, now);
    }
}

std::size_t RateLimiter::heldShareCount(Core::Instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        holdings_, [&](const auto &entry) { return entry.second.share(now) > 0; }));
}

} // namespace Chervilpin::Rates
