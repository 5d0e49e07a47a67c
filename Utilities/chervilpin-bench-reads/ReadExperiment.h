#pragma once

#include <Core/Milliseconds.h>
#include <Route/Router.h>

#include <cstdint>

namespace Chervilpin::BenchReads {

/// How the replicas of the simulated group replicate.
struct ReplicaLag
{
    Core::Duration usual{3};  ///< Time between two pulls of each replica.
    Core::Duration second{3}; ///< The same for the second replica in the middle third of the run.
};

struct ReadSettings
{
    Core::Duration length{10'000};
    std::uint64_t seed = 4;
    ReplicaLag lag;
    Route::ReadStrategy strategy = Route::ReadStrategy::Full;
    Core::Duration catchUpWait = Route::RouterOptions().catchUpWait;
};

struct ReadResult
{
    std::uint64_t reads = 0;
    std::uint64_t replicaReads = 0;
    std::uint64_t refused = 0;
    std::uint64_t staleReads = 0; ///< Reads that missed a write of their session.
    std::int64_t p50 = 0;         ///< Milliseconds.
    std::int64_t p99 = 0;
    std::int64_t max = 0;
    std::uint64_t writes = 0;
    std::uint64_t acknowledged = 0;
    std::int64_t writeP50 = 0;
};

/// Sends a seeded load of roaming sessions through three proxies to one group of three databases,
/// at simulated time: 1 ms one way, 1 ms for a statement.
[[nodiscard]] ReadResult runReadExperiment(const ReadSettings &settings);

} // namespace Chervilpin::BenchReads
