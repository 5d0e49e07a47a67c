#include <Rates/ShareHolding.h>

#include <Rates/GrantTokens.h>

namespace Chervilpin::Rates {

namespace {
/// A demand below this, in operations per second, does not move shares.
constexpr double idleDemandPerSecond = 0.1;
} // namespace

void ShareHolding::setLimits(const Sessions::TeamLimits &limits, double lendablePart,
                             Core::Instant now)
{
    lendablePart_ = lendablePart;
    bucket_.setLimits(limits, now);
    bucket_.moveShare(share_ * lendablePart_, now);
}

double ShareHolding::share(Core::Instant now) const
{
    return now < expiresAt_ ? share_ : 0;
}

void ShareHolding::grant(const TokenRequest &request, TokenGrant &grant, Core::Instant now)
{
    hasRequests_ = true;
    demand_.add(request.needed, now);
    if (share(now) <= 0) {
        hasLackedTokens_ = true;
        return;
    }
    grantTokens(bucket_, request, grant, now);
    hasLackedTokens_ |= grant.operations < request.needed;
}

Core::Instant ShareHolding::nextReportAt() const
{
    if (isConfirmationDue_)
        return reportedAt_;
    if (hasLackedTokens_)
        return reportedAt_ + urgentShareReportInterval;
    const bool isIdle = !hasRequests_ && reportedDemandPerSecond_ < idleDemandPerSecond;
    return reportedAt_ + (isIdle ? idleShareReportInterval : shareReportInterval);
}

ShareReport ShareHolding::makeReport(std::uint64_t id, Core::Instant now)
{
    ShareReport report;
    report.id = id;
    report.isReturning = isGivenUp_;
    report.held = share(now);
    report.demandPerSecond = demand_.perSecond(now);
    reportedDemandPerSecond_ = report.demandPerSecond;
    reportId_ = id;
    reportedAt_ = now;
    isConfirmationDue_ = false;
    hasRequests_ = false;
    hasLackedTokens_ = false;
    return report;
}

bool ShareHolding::renew(const ShareLease &lease, Core::Instant now)
{
    if (!reportId_ || *reportId_ != lease.id)
        return false;
    reportId_.reset();
    const double previous = share(now);
    expiresAt_ = reportedAt_ + lease.duration;
    setShare(lease.share, now);
    isConfirmationDue_ = lease.share < previous;
    return lease.share != previous;
}

void ShareHolding::giveUp(Core::Instant now)
{
    isGivenUp_ = true;
    setShare(0, now);
}

void ShareHolding::setShare(double share, Core::Instant now)
{
    share_ = share;
    bucket_.moveShare(share_ * lendablePart_, now);
}

} // namespace Chervilpin::Rates
