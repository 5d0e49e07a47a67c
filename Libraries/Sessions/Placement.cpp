#include <Sessions/Placement.h>

#include <algorithm>
#include <cmath>

namespace Chervilpin::Sessions::Placement {

namespace {

/// The time to open a connection before its first statement.
constexpr double connectionOpenMilliseconds = 13.0;
/// The cost factor of reads on the primary, which occupy slots that only the primary can offer for
/// writes.
constexpr double primaryReadCostFactor = 1.8;
/// The round-trip time to another data centre.
constexpr double crossDataCentreMilliseconds = 1.0;
/// A replica's lag varies; it is taken to have reached a mark that is older than its lag by this
/// margin.
constexpr Core::Duration lagMargin{10};
/// Callers are spread unevenly over the proxies, so each proxy may exceed its even share of the
/// slots by this factor.
constexpr double unevennessFactor = 2.5;
constexpr unsigned minimumStatementLimit = 2;

double expectedMilliseconds(const Requirement &requirement, const Candidate &candidate)
{
    double cost = candidate.serviceMilliseconds * (1.0 + candidate.outstanding);
    if (candidate.isPrimary && !requirement.isPrimaryOnly)
        cost *= primaryReadCostFactor;
    if (!candidate.hasConnection)
        cost += connectionOpenMilliseconds;
    if (!candidate.isNear)
        cost += crossDataCentreMilliseconds;
    return cost;
}

bool hasFreeCapacity(const Candidate &candidate)
{
    return candidate.outstanding < candidate.limit
        && (candidate.hasConnection || candidate.canOpen);
}

} // namespace

std::optional<std::size_t> choose(const Requirement &requirement,
                                  std::span<const Candidate> candidates)
{
    std::optional<std::size_t> best;
    bool isBestCold = false;
    double bestCost = 0;
    for (const auto &candidate : candidates) {
        if (!hasFreeCapacity(candidate))
            continue;
        const double cost = expectedMilliseconds(requirement, candidate);
        const bool isBetter = candidate.isCold != isBestCold ? isBestCold : cost < bestCost;
        if (best && !isBetter)
            continue;
        best = candidate.index;
        isBestCold = candidate.isCold;
        bestCost = cost;
    }
    return best;
}

bool isExpectedFresh(const Requirement &requirement, Core::LogMark known, Core::Duration lag)
{
    return requirement.mark
        && (known >= *requirement.mark || requirement.markAge > lag + lagMargin);
}

unsigned statementLimit(unsigned slots, std::size_t proxies)
{
    const double even =
        static_cast<double>(slots) / static_cast<double>(std::max<std::size_t>(proxies, 1));
    return std::max(minimumStatementLimit,
                    static_cast<unsigned>(std::ceil(even * unevennessFactor)));
}

} // namespace Chervilpin::Sessions::Placement
