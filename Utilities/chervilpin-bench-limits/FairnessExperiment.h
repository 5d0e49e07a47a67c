#pragma once

#include <cstdint>

namespace Chervilpin::BenchLimits {

struct FairnessSettings
{
    std::uint64_t seed = 1;
    std::int64_t seconds = 60;
    std::uint32_t slots = 5;
    std::size_t proxies = 7;
    double load = 0.6;            ///< Sum of the teams' rates relative to what the slots can do.
    double aggressorFactor = 5.0; ///< One team's demand relative to its rate.
    bool isRateLimited = true; ///< Whether the fleet's limits hold the aggressor before the queue.
    double burstSeconds = 1.0; ///< A team's burst, as seconds of its rate.
};

struct FairnessResult
{
    double worstTeamP99Ratio = 0; ///< Worst team's p99 over the median team's p99.
    double othersP99Shift = 0;    ///< The most that another team's p99 grew over a calm run.
    double othersRefusedShare = 0;
    double medianTeamP99 = 0; ///< Milliseconds from arrival to answer.
    double slotUse = 0;
};

struct FairnessReport
{
    FairnessResult limited;   ///< The whole pipeline: rate and burst, fair queue, limit in flight.
    FairnessResult unlimited; ///< The same without rate and burst: all excess reaches the queues.
    FairnessResult fifo;      ///< All excess in one queue inside the database, first in, first out.
};

/// Runs eight teams against the slots of one database behind several proxies, in simulated time.
/// The aggressor isn't among the teams that are compared: its own backlog is its own doing.
[[nodiscard]] FairnessReport runFairnessExperiment(const FairnessSettings &settings);

} // namespace Chervilpin::BenchLimits
