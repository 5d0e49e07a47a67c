#include <Sessions/Placement.h>

#include <algorithm>
#include <cmath>

namespace Chervilpin::Sessions::Placement {

namespace {

/// Time to open a connection and set it up for its first statement.
constexpr double connectionOpenMilliseconds = 13.0;
/// Factor on the cost of a read on the primary, since it occupies a slot that writes need.
constexpr double primaryReadCostFactor = 1.8;
/// Duration of a round trip to another data centre.
constexpr double crossDataCentreMilliseconds = 1.0;
/// A replica is expected to have applied a mark that is older than its lag by more than this, since
/// the lag varies.
constexpr Core::Duration lagMargin{10};
/// Factor on a proxy's even share of the slots, since callers are spread unevenly over the proxies.
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

bool hasRoom(const Candidate &candidate)
{
    return candidate.outstanding < candidate.limit
        && (candidate.hasConnection || candidate.canOpen);
}

} // namespace

std::optional<std::size_t> choose(const Requirement &requirement,
                                  std::span<const Candidate> candidates)
{
    std::optional<std::size_t> best;
    double bestCost = 0;
    for (const auto &candidate : candidates) {
        if (!hasRoom(candidate))
            continue;
        const double cost = expectedMilliseconds(requirement, candidate);
        if (best && cost >= bestCost)
            continue;
        best = candidate.index;
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
