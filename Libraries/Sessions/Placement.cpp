#include <Sessions/Placement.h>

#include <algorithm>
#include <cmath>

namespace Chervilpin::Sessions::Placement {

namespace {

/// What a new connection costs before its first statement.
constexpr double openMilliseconds = 13.0;
/// A read on the primary takes a slot that only the primary has for writes.
constexpr double primaryFactor = 1.8;
/// A round trip to another data centre.
constexpr double farMilliseconds = 1.0;
/// A replica's lag varies; a mark this much older than the lag is taken as held.
constexpr Core::Duration lagMargin{10};
/// The proxies' callers are spread unevenly, so each may use more than its even part.
constexpr double unevenness = 2.5;
constexpr unsigned leastLimit = 2;

double expectedMilliseconds(const Need &need, const Candidate &candidate)
{
    double cost = candidate.serviceMilliseconds * (1.0 + candidate.outstanding);
    if (candidate.isPrimary && !need.isPrimaryOnly)
        cost *= primaryFactor;
    if (!candidate.hasConnection)
        cost += openMilliseconds;
    if (!candidate.isNear)
        cost += farMilliseconds;
    return cost;
}

bool hasRoom(const Candidate &candidate)
{
    return candidate.outstanding < candidate.limit
        && (candidate.hasConnection || candidate.canOpen);
}

} // namespace

std::optional<std::size_t> choose(const Need &need, std::span<const Candidate> candidates)
{
    std::optional<std::size_t> best;
    double bestCost = 0;
    for (const auto &candidate : candidates) {
        if (!hasRoom(candidate))
            continue;
        const double cost = expectedMilliseconds(need, candidate);
        if (best && cost >= bestCost)
            continue;
        best = candidate.index;
        bestCost = cost;
    }
    return best;
}

bool isExpectedFresh(const Need &need, Core::LogMark known, Core::Duration lag)
{
    return need.mark && (known >= *need.mark || need.markAge > lag + lagMargin);
}

unsigned statementLimit(unsigned slots, std::size_t proxies)
{
    const double even =
        static_cast<double>(slots) / static_cast<double>(std::max<std::size_t>(proxies, 1));
    return std::max(leastLimit, static_cast<unsigned>(std::ceil(even * unevenness)));
}

} // namespace Chervilpin::Sessions::Placement
