#include "CostExperiment.h"

#include <Allotment/Manager.h>
#include <Core/SteadyClock.h>

#include <malloc.h>
#include <string>

namespace Chervilpin::BenchLimits {

using Allotment::Ask;
using Allotment::Manager;
using Allotment::ResourceLimit;
using Allotment::ShareAllocator;

namespace {

constexpr std::size_t teamCount = 8;
constexpr std::size_t databaseCount = 9;
constexpr std::int64_t rounds = 2'000;

std::int64_t liveBytes()
{
    return static_cast<std::int64_t>(mallinfo2().uordblks);
}

std::vector<ResourceLimit> limits()
{
    std::vector<ResourceLimit> all;
    for (std::size_t i = 0; i < teamCount; ++i) {
        const Core::TeamName team("team-" + std::to_string(i));
        all.push_back(ResourceLimit::tokens(team, 1000 * Allotment::microUnitsPerUnit, 1000));
    }
    for (std::size_t i = 0; i < databaseCount; ++i) {
        const Core::DatabaseName database("database-" + std::to_string(i));
        all.push_back(ResourceLimit::connections(database, 30));
    }
    return all;
}

std::vector<Core::NodeName> names(std::size_t count)
{
    std::vector<Core::NodeName> all;
    for (std::size_t i = 0; i < count; ++i)
        all.emplace_back("node-" + std::to_string(i));
    return all;
}

/// Mean time of a function in microseconds.
template<typename Function>
double timeOf(std::int64_t times, Function function)
{
    const std::int64_t before = Core::SteadyClock::nowMicroseconds();
    for (std::int64_t i = 0; i < times; ++i)
        function(i);
    const std::int64_t spent = Core::SteadyClock::nowMicroseconds() - before;
    return static_cast<double>(spent) / static_cast<double>(times);
}

void measureManager(CostResult &cost)
{
    constexpr double nanosecondsPerMicrosecond = 1000;
    const std::vector<ResourceLimit> all = limits();
    const std::vector<Core::NodeName> members = names(cost.nodes);
    const Core::Instant start(1'000'000);
    const std::int64_t before = liveBytes();
    const auto manager = *Manager::create({members.front(), 1}, Allotment::Options());
    manager->setLimits(all, start);
    constexpr std::int64_t memberRounds = 50;
    cost.setMembersMicroseconds =
        timeOf(memberRounds, [&](std::int64_t) { manager->setMembers(members, start); });
    cost.tickMicroseconds = timeOf(
        rounds, [&](std::int64_t i) { (void)manager->tick(start + Core::Duration(i * 10)); });
    cost.stateBytes = liveBytes() - before;
    const Core::Instant later = start + Core::Duration(rounds * 10);
    cost.takeNanoseconds =
        nanosecondsPerMicrosecond * timeOf(rounds, [&](std::int64_t i) {
            const auto taken = manager->tryTake(all[static_cast<std::size_t>(i) % teamCount].name,
                                                1, later + Core::Duration(1000), later);
            if (const auto *pending = std::get_if<Allotment::Pending>(&taken))
                manager->cancel(pending->ticket);
        });
}

void measureLedger(CostResult &cost)
{
    constexpr double nanosecondsPerMicrosecond = 1000;
    const std::vector<Core::NodeName> members = names(cost.nodes);
    const Core::Instant start(1'000'000);
    const ResourceLimit limit = limits().front();
    const std::int64_t before = liveBytes();
    ShareAllocator allocator(Allotment::Options(), {0, 0}, 1, Allotment::AllocatorStart::FirstOwner,
                             start);
    allocator.setLimits({&limit, 1}, start);
    std::uint64_t askId = 0;
    cost.answerNanoseconds =
        nanosecondsPerMicrosecond * timeOf(rounds, [&](std::int64_t i) {
            const std::size_t index = static_cast<std::size_t>(i) % members.size();
            const Ask ask{{0, 0}, ++askId, {{limit.name, 0, 0, 1, 1, 1000, 1}}};
            // All nodes ask once within a tenth of a second.
            const Core::Instant now =
                start + Core::Duration(i * 100 / static_cast<std::int64_t>(members.size()));
            (void)allocator.answer({members[index], 1}, ask, now);
        });
    cost.ownerStateBytes = liveBytes() - before;
}

} // namespace

std::vector<CostResult> runCostExperiment()
{
    std::vector<CostResult> results;
    for (const std::size_t nodes : {10U, 100U, 1200U}) {
        CostResult cost;
        cost.nodes = nodes;
        measureManager(cost);
        measureLedger(cost);
        results.push_back(cost);
    }
    return results;
}

} // namespace Chervilpin::BenchLimits
