#include "CostExperiment.h"
#include "FairnessExperiment.h"
#include "RefusalExperiment.h"

#include <CLI/CLI.hpp>
#include <iostream>

namespace {

using namespace Chervilpin::BenchLimits;

double share(std::int64_t part, std::int64_t whole)
{
    return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

void print(const char *prefix, const RefusalResult &result)
{
    std::cout << prefix << "requests=" << result.requests << '\n'
              << prefix << "admitted=" << result.admitted << '\n'
              << prefix << "refused=" << result.refused << '\n'
              << prefix << "wrongful_refusals=" << share(result.wrongful, result.requests) << '\n'
              << prefix << "wrongful_refusals_count=" << result.wrongful << '\n'
              << prefix << "wrongful_in_loss_window_count=" << result.wrongfulInLossWindow << '\n'
              << prefix << "overshoots=" << result.overshoots << '\n';
}

void runLimits(const RefusalSettings &settings)
{
    const RefusalReport report = runRefusalExperiment(settings);
    print("", report.allotment);
    print("baseline_fixed_", report.fixedShares);
    for (const TeamRefusals &team : report.teams) {
        std::cout << "team_" << team.team << "_wrongful_count=" << team.wrongful << '\n'
                  << "team_" << team.team << "_requests=" << team.requests << '\n';
    }
    std::cout << "platform_calls_s=" << report.platformCallsPerSecond << '\n'
              << "platform_writes_s=" << report.platformWritesPerSecond << '\n'
              << "peer_bytes_node_s=" << report.peerBytesPerNodeSecond << '\n'
              << "peer_messages_node_s=" << report.peerMessagesPerNodeSecond << '\n'
              << "waited_share=" << report.waitedShare << '\n'
              << "longest_wait_ms=" << report.longestWait << '\n';
}

void runFairness(const FairnessSettings &settings)
{
    const FairnessReport report = runFairnessExperiment(settings);
    const auto print = [](const char *prefix, const FairnessResult &result) {
        std::cout << prefix << "worst_team_p99_ratio=" << result.worstTeamP99Ratio << '\n'
                  << prefix << "others_p99_shift=" << result.othersP99Shift << '\n'
                  << prefix << "others_refused_share=" << result.othersRefusedShare << '\n'
                  << prefix << "median_team_p99_ms=" << result.medianTeamP99 << '\n'
                  << prefix << "slot_use=" << result.slotUse << '\n';
    };
    print("", report.limited);
    print("unlimited_", report.unlimited);
    print("baseline_fifo_", report.fifo);
}

void runCost()
{
    for (const CostResult &cost : runCostExperiment()) {
        const std::string prefix = "nodes_" + std::to_string(cost.nodes) + "_";
        std::cout << prefix << "state_bytes=" << cost.stateBytes << '\n'
                  << prefix << "owner_state_bytes=" << cost.ownerStateBytes << '\n'
                  << prefix << "set_members_us=" << cost.setMembersMicroseconds << '\n'
                  << prefix << "tick_us=" << cost.tickMicroseconds << '\n'
                  << prefix << "take_ns=" << cost.takeNanoseconds << '\n'
                  << prefix << "answer_ns=" << cost.answerNanoseconds << '\n';
    }
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Measures the decisions about limits and fairness in simulated time.");
    app.require_subcommand(1);
    RefusalSettings refusal;
    CLI::App *limits = app.add_subcommand("limits", "Refusals under skewed and shifting demand.");
    limits->add_option("--seed", refusal.seed, "Seed of demand and faults");
    limits->add_option("--seconds", refusal.seconds, "Simulated time");
    limits->add_option("--nodes", refusal.nodes, "Number of proxies");
    limits->add_option("--utilisation", refusal.utilisation, "Mean demand relative to the rate");
    limits->add_option("--aggressor", refusal.aggressorFactor,
                       "One team's demand relative to its rate; 0: none stands out");
    limits->add_option("--lose-node-at", refusal.loseNodeAt, "Second; negative: none is lost");
    limits->add_option("--platform-out-from", refusal.platformOutFrom, "Second; negative: never");
    limits->add_option("--platform-out-seconds", refusal.platformOutSeconds,
                       "Length of the outage");
    limits->callback([&refusal] { runLimits(refusal); });

    FairnessSettings fairness;
    CLI::App *fair = app.add_subcommand("fairness", "Waiting times with one team at five times.");
    fair->add_option("--seed", fairness.seed, "Seed of demand and service times");
    fair->add_option("--seconds", fairness.seconds, "Simulated time");
    fair->add_option("--slots", fairness.slots, "Slots of the database");
    fair->add_option("--proxies", fairness.proxies, "Number of proxies that share it");
    fair->add_option("--load", fairness.load, "All teams' rates relative to the slots' capacity");
    fair->add_option("--aggressor", fairness.aggressorFactor, "One team's demand over its rate");
    fair->add_option("--burst-seconds", fairness.burstSeconds, "A team's burst over its rate");
    fair->callback([&fairness] { runFairness(fairness); });

    CLI::App *cost = app.add_subcommand("cost", "Time and memory of one node's decisions.");
    cost->callback(runCost);
    CLI11_PARSE(app, argc, argv);
    return 0;
}
