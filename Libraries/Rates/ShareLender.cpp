#include <Rates/ShareLender.h>

#include <Rates/Timing.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace Chervilpin::Rates {

namespace {

/// The fraction that is not lent while all holders are in use. It serves a data centre whose share
/// has not followed its demand yet, or whose holder has died.
constexpr double reserve = 0.25;
/// The largest fraction that is lent to the holders of one data centre, and so the largest that a
/// new owner must assume of a data centre that does not answer.
constexpr double maximumOfDataCentre = 0.5;
/// The smallest fraction that is lent to a holder with any demand.
constexpr double minimumShare = 0.02;
/// What a new owner may use while it does not know what its predecessor lent. Within the excess
/// over a team's limit that the users tolerate.
constexpr double unknownOwnShare = 0.05;
/// Hysteresis: a share is changed only if the desired one differs by more than this fraction of it,
/// or by more than the random variation of the demand accounts for.
constexpr double toleratedDeviation = 0.2;

/// The standard deviation of a demand that is measured over demandWindow, in operations per second:
/// that of a count n is about the root of n.
double randomDeviation(double demandPerSecond)
{
    const double count = std::max(1.0, demandPerSecond * demandWindow.seconds());
    return std::sqrt(count) / demandWindow.seconds();
}

} // namespace

ShareLender::ShareLender(LossTimes lostDataCentres, Core::Instant now)
    : lostDataCentres_(std::move(lostDataCentres))
    , since_(now)
{ }

void ShareLender::setHolders(std::span<const Member> holders)
{
    holders_.clear();
    for (const auto &holder : holders)
        holders_[holder.node] = holder;
}

ShareLease ShareLender::lend(const ShareReport &report, const Core::DataCentreName &dataCentre,
                             Core::Instant now)
{
    ShareLease lease;
    lease.id = report.id;
    lease.team = report.team;
    lease.duration = shareLeaseDuration;
    Loan &loan = loans_[report.holder];
    const bool isOutdated = report.incarnation < loan.incarnation
        || (report.incarnation == loan.incarnation && report.id < loan.reportId);
    if (isOutdated)
        return lease;
    loan.dataCentre = dataCentre;
    loan.incarnation = report.incarnation;
    loan.reportId = report.id;
    loan.share = report.held;
    loan.demandPerSecond = report.demandPerSecond;
    loan.until = now + shareLeaseDuration;
    if (report.isReturning) {
        loan.share = 0;
        return lease;
    }
    const double desired = desiredShare(report.holder, loan, now);
    const double free = 1 - lentShare(report.holder, now) - unheardShare(now);
    lease.share = std::min(desired, std::max(report.held, free));
    // Until the holder reports that it uses less, it may not have received the lease.
    loan.share = std::max(report.held, lease.share);
    return lease;
}

double ShareLender::demandOf(std::optional<Core::DataCentreName> dataCentre,
                             Core::Instant now) const
{
    double demand = 0;
    for (const auto &[node, loan] : loans_) {
        if (now < loan.until && holders_.contains(node)
            && (!dataCentre || loan.dataCentre == *dataCentre))
            demand += loan.demandPerSecond;
    }
    return demand;
}

double ShareLender::desiredShare(const Core::NodeName &holder, const Loan &loan,
                                 Core::Instant now) const
{
    if (!holders_.contains(holder))
        return 0;
    // The holders of a data centre get equal shares.
    const auto nearCount = static_cast<double>(std::ranges::count_if(
        holders_, [&](const auto &entry) { return entry.second.dataCentre == loan.dataCentre; }));
    const double all = demandOf({}, now);
    const double near = demandOf(loan.dataCentre, now);
    const double fraction = all > 0 ? near / all : nearCount / static_cast<double>(holders_.size());
    const double desired =
        std::max(minimumShare, std::min(maximumOfDataCentre, fraction * (1 - reserve))) / nearCount;
    const double random = all > 0 ? randomDeviation(near) / all * (1 - reserve) / nearCount : 0;
    const double deviation = std::max(toleratedDeviation * loan.share, random);
    const bool isCloseEnough = std::abs(desired - loan.share) <= deviation
        && loan.share * nearCount <= maximumOfDataCentre;
    return isCloseEnough ? loan.share : desired;
}

double ShareLender::lentShare(const Core::NodeName &except, Core::Instant now) const
{
    double sum = 0;
    for (const auto &[node, loan] : loans_) {
        if (node != except && now < loan.until)
            sum += loan.share;
    }
    return sum;
}

std::vector<Member> ShareLender::holdersToLower(Core::Instant now) const
{
    std::vector<Member> result;
    for (const auto &[node, loan] : loans_) {
        const auto holder = holders_.find(node);
        if (holder != holders_.end() && now < loan.until
            && desiredShare(node, loan, now) < loan.share)
            result.push_back(holder->second);
    }
    return result;
}

std::vector<Member> ShareLender::unheardHolders(Core::Instant now) const
{
    std::vector<Member> unheard;
    if (now >= since_ + shareLeaseDuration)
        return unheard;
    for (const auto &[node, member] : holders_) {
        if (!loans_.contains(node))
            unheard.push_back(member);
    }
    return unheard;
}

double ShareLender::unheardShare(Core::Instant now) const
{
    std::set<Core::DataCentreName> unheard;
    for (const auto &member : unheardHolders(now))
        unheard.insert(member.dataCentre);
    for (const auto &[dataCentre, lostAt] : lostDataCentres_) {
        if (now < lostAt + shareLeaseDuration)
            unheard.insert(dataCentre);
    }
    double sum = 0;
    for (const auto &dataCentre : unheard) {
        double lent = 0;
        for (const auto &[node, loan] : loans_) {
            if (loan.dataCentre == dataCentre && now < loan.until)
                lent += loan.share;
        }
        sum += std::max(0.0, maximumOfDataCentre - lent);
    }
    return sum;
}

double ShareLender::ownShare(Core::Instant now) const
{
    const double unheard = unheardShare(now);
    const double own = 1 - lentShare({}, now) - unheard;
    return unheard > 0 ? std::max(own, unknownOwnShare) : std::max(own, 0.0);
}

} // namespace Chervilpin::Rates
