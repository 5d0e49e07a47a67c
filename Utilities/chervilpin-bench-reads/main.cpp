#include "ReadExperiment.h"

#include <CLI/CLI.hpp>
#include <cstdint>
#include <iostream>
#include <string>

namespace {

using namespace Chervilpin;
using BenchReads::ReadResult;
using BenchReads::ReadSettings;
using Route::ReadStrategy;

struct Strategy
{
    const char *name;
    ReadStrategy strategy;
};

struct Lag
{
    const char *name;
    BenchReads::ReplicaLag lag;
};

constexpr Strategy strategies[] = {
    {"baseline_all_to_primary", ReadStrategy::PrimaryOnly},
    {"baseline_token_only", ReadStrategy::TokenOnly},
    {"full", ReadStrategy::Full},
};

constexpr Lag lags[] = {
    {"lag_3ms", {}},
    {"lag_15ms", {.usual = Core::Duration(15), .second = Core::Duration(15)}},
    {"lag_one_500ms", {.usual = Core::Duration(3), .second = Core::Duration(500)}},
};

void print(const std::string &prefix, const ReadResult &result)
{
    const auto share = static_cast<double>(result.replicaReads)
        / static_cast<double>(result.reads - result.refused);
    std::cout << prefix << "replica_read_share=" << share << '\n'
              << prefix << "reads=" << result.reads << '\n'
              << prefix << "refused=" << result.refused << '\n'
              << prefix << "stale_reads=" << result.staleReads << '\n'
              << prefix << "read_p50_ms=" << result.p50 << '\n'
              << prefix << "read_p99_ms=" << result.p99 << '\n'
              << prefix << "read_max_ms=" << result.max << '\n'
              << prefix << "writes=" << result.writes << '\n'
              << prefix << "acknowledged=" << result.acknowledged << '\n'
              << prefix << "write_p50_ms=" << result.writeP50 << '\n';
}

void runAll(std::uint64_t seed)
{
    for (const Lag &lag : lags) {
        for (const Strategy &strategy : strategies) {
            ReadSettings settings{.seed = seed, .lag = lag.lag, .strategy = strategy.strategy};
            const std::string name = std::string(lag.name) + "_" + strategy.name;
            print(name + "_", runReadExperiment(settings));
        }
        ReadSettings settings{.seed = seed, .lag = lag.lag, .catchUpWait = Core::Duration(0)};
        print(std::string(lag.name) + "_full_without_waiting_", runReadExperiment(settings));
    }
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Replica reads of each strategy at simulated time, one key=value a line.");
    std::uint64_t seed = 4;
    app.add_option("--seed", seed, "Seed of the load");
    CLI11_PARSE(app, argc, argv);
    runAll(seed);
    return 0;
}
