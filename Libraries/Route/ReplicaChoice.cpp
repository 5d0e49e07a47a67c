#include <Route/ReplicaChoice.h>

#include <algorithm>

namespace Chervilpin::Route {

namespace {

bool isExcluded(const Core::DatabaseName &name, const std::vector<Core::DatabaseName> &excluded)
{
    return std::ranges::find(excluded, name) != excluded.end();
}

double expectedMilliseconds(const ReplicaCandidate &candidate, Core::Instant now)
{
    const double ahead = candidate.view->inFlight() + 1;
    return candidate.view->expectedLatency(now) * ahead
        + static_cast<double>(candidate.expectedWait.milliseconds());
}

} // namespace

std::vector<ReplicaCandidate> eligibleReplicas(const GroupView &view,
                                               const std::vector<Core::DatabaseName> &excluded,
                                               Core::LogMark mark, Core::Duration maximumWait,
                                               Core::Instant now)
{
    std::vector<ReplicaCandidate> candidates;
    for (const auto &[name, database] : view.databases()) {
        if (database.isPrimary() || !database.isReachable() || isExcluded(name, excluded))
            continue;
        const Core::Duration wait = view.expectedWait(name, mark, now);
        if (wait <= maximumWait)
            candidates.push_back({&database, wait});
    }
    return candidates;
}

std::optional<ReplicaCandidate> chooseOfTwo(const std::vector<ReplicaCandidate> &candidates,
                                            std::uint64_t probeOneIn, Core::Instant now,
                                            Core::Random &random)
{
    if (candidates.empty())
        return std::nullopt;
    if (candidates.size() == 1)
        return candidates.front();
    const std::size_t first = random.below(candidates.size());
    const std::size_t offset = 1 + random.below(candidates.size() - 1);
    const std::size_t second = (first + offset) % candidates.size();
    if (probeOneIn > 0 && random.below(probeOneIn) == 0)
        return candidates[first];
    const bool isFirstBetter = expectedMilliseconds(candidates[first], now)
        <= expectedMilliseconds(candidates[second], now);
    return candidates[isFirstBetter ? first : second];
}

} // namespace Chervilpin::Route
