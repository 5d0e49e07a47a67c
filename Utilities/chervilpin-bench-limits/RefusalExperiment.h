#pragma once

#include <Core/Milliseconds.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Chervilpin::BenchLimits {

struct RefusalSettings
{
    std::uint64_t seed = 1;
    std::int64_t seconds = 120;
    std::size_t nodes = 7;
    double utilisation = 0.8;          ///< Mean demand of a team relative to its rate.
    double aggressorFactor = 0;        ///< Demand of the first small team; 0: like the others.
    std::int64_t loseNodeAt = 40;      ///< Second at which the pool's owner dies; negative: never.
    std::int64_t platformOutFrom = -1; ///< Second; negative: never.
    std::int64_t platformOutSeconds = 0;
};

/// What one way of sharing the limits did with the same requests.
struct RefusalResult
{
    std::int64_t requests = 0;
    std::int64_t admitted = 0;
    std::int64_t refused = 0;
    std::int64_t wrongful = 0;             ///< See runRefusalExperiment().
    std::int64_t wrongfulInLossWindow = 0; ///< Of these: within ten seconds of a lost node.
    std::int64_t overshoots = 0;
};

struct TeamRefusals
{
    std::string team;
    std::int64_t requests = 0;
    std::int64_t wrongful = 0;
};

struct RefusalReport
{
    RefusalResult allotment;
    RefusalResult fixedShares;       ///< Each node has 1/N of rate and burst.
    std::vector<TeamRefusals> teams; ///< What each team saw with the allotment.
    double platformCallsPerSecond = 0;
    double platformWritesPerSecond = 0;
    double peerBytesPerNodeSecond = 0;
    double peerMessagesPerNodeSecond = 0;
    double waitedShare = 0;       ///< Requests that waited for tokens from an owner.
    std::int64_t longestWait = 0; ///< Milliseconds.
};

/// Runs seven managers under skewed and shifting demand of eight teams, in simulated time.
///
/// A single bucket with the whole rate and burst is fed with the same requests. For each team and
/// second, the requests that it admits beyond those admitted by the way under test are wrongful
/// refusals.
[[nodiscard]] RefusalReport runRefusalExperiment(const RefusalSettings &settings);

} // namespace Chervilpin::BenchLimits
