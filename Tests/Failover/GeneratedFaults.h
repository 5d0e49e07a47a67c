#pragma once

// rapidcheck must be included before any header that may define CHECK.
#include <rapidcheck.h>
#include <rapidcheck/detail/TestListenerAdapter.h>

#include <Tests/Failover/FakeFleet.h>

#include <array>
#include <iostream>
#include <string>
#include <unordered_map>
#include <vector>

namespace Chervilpin::Failover::Fakes {

constexpr std::uint64_t seed = 20261204;

enum class Report {
    Printed,
    Silent, ///< For properties that are expected to fail.
};

/// Checks a property with the fixed seed. On failure prints the counterexample and how to reproduce
/// it, unless \a report is Silent.
template<typename Property>
bool holds(const std::string &name, int cases, Report report, Property property)
{
    rc::detail::TestParams parameters;
    parameters.seed = seed;
    parameters.maxSuccess = cases;
    parameters.maxSize = 100;
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    metadata.description = name;
    rc::detail::TestListenerAdapter listener;
    const auto result =
        rc::detail::checkTestable(property, metadata, parameters, listener,
                                  std::unordered_map<std::string, rc::detail::Reproduce>{});
    if (result.template is<rc::detail::SuccessResult>())
        return true;
    if (report == Report::Silent)
        return false;
    rc::detail::printResultMessage(result, std::cout);
    std::cout << "\nreplay: the same program with -n " << name << " (the seed is fixed: " << seed
              << ")\n";
    return false;
}

/// Kind of fault, index of the affected database or node, and time to run afterwards in units of 20
/// ms.
using GeneratedFault = std::array<std::size_t, 3>;
constexpr std::size_t faultKinds = 9;

inline rc::Gen<std::vector<GeneratedFault>> generatedFaults()
{
    return rc::gen::resize(
        20,
        rc::gen::container<std::vector<GeneratedFault>>(
            rc::gen::container<GeneratedFault>(rc::gen::inRange<std::size_t>(0, 45))));
}

/// Injects or repairs one fault of the fleet.
inline void injectFault(FakeFleet &fleet, std::size_t kind, std::size_t which)
{
    auto &host = fleet.hosts[FakeFleet::database(which % 3)];
    auto &node = fleet.nodes[which % 3];
    switch (kind) {
    case 0:
        host.isAlive = !host.isAlive;
        break;
    case 1:
        host.isPaused = !host.isPaused;
        break;
    case 2:
        host.latency = Core::Duration(static_cast<std::int64_t>(1 + which * 20));
        break;
    case 3:
        if (node.isPaused)
            fleet.resume(which % 3);
        else
            node.isPaused = true;
        break;
    case 4:
        fleet.cuts.clear();
        break;
    case 5:
        fleet.cut(which % 3, (which + 1) % 3);
        break;
    case 6:
        fleet.platform.mode = static_cast<PlatformMode>(which % 3);
        break;
    case 7:
        fleet.lagging.clear();
        if (which % 2 == 0)
            fleet.lagging.insert(FakeFleet::database(which % 3));
        break;
    default:
        fleet.losesAnswer = [count = which](const Upstream::RequestBody & /*body*/) mutable {
            return ++count % 3 == 0;
        };
        if (which % 2 == 0)
            fleet.losesAnswer = nullptr;
        break;
    }
}

inline void heal(FakeFleet &fleet)
{
    fleet.cuts.clear();
    fleet.lagging.clear();
    fleet.losesAnswer = nullptr;
    fleet.platform.mode = PlatformMode::Up;
    for (auto &[name, host] : fleet.hosts)
        host = {};
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node)
        fleet.resume(node);
}

} // namespace Chervilpin::Failover::Fakes
