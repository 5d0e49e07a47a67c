#include <Tests/Allotment/FakeFleet.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Allotment;
using namespace Chervilpin::Core::Literals;

namespace {

constexpr std::uint64_t seed = 7;

struct Counts
{
    std::int64_t taken = 0;
    std::int64_t refused = 0;
};

} // namespace

TEST_GROUP(Manager){};

TEST(Manager, SkewedDemandBelowTheRateIsNeverRefused)
{
    FakeFleet fleet(7, Options(), seed);
    const ResourceLimit limit =
        ResourceLimit::tokens(Core::TeamName("a"), 200 * microUnitsPerUnit, 100);
    fleet.setLimits({limit});
    fleet.run(3_s);
    WindowCheck check(limit.ratePerSecond, limit.capacity);
    Counts counts;
    fleet.decided = [&](std::size_t, std::size_t, bool isTaken) {
        ++(isTaken ? counts.taken : counts.refused);
        if (isTaken)
            check.admit(fleet.now());
    };
    for (int i = 0; i < 20'000; ++i) {
        fleet.step();
        if (i % 8 != 0)
            continue;
        switch (fleet.request(i < 10'000 ? 1 : 2, 0, limit.name)) {
        case FakeFleet::Attempt::Taken:
            ++counts.taken;
            check.admit(fleet.now());
            break;
        case FakeFleet::Attempt::Refused:
            ++counts.refused;
            break;
        case FakeFleet::Attempt::Pending:
            break;
        }
    }
    fleet.run(1_s);
    LONGS_EQUAL(0, counts.refused);
    LONGS_EQUAL(2500, counts.taken);
    LONGS_EQUAL(0, check.overshoots());
}

namespace {

/// Each node wants connections of one database and uses those that it is granted.
struct ConnectionTrial
{
    explicit ConnectionTrial(std::size_t nodes)
        : fleet(nodes, Options(), seed)
        , wanted(nodes, 0)
    {
        fleet.setLimits({limit});
    }

    void run(Core::Duration span)
    {
        constexpr std::int64_t usageInterval = 10;
        for (std::int64_t i = 0; i < span.milliseconds(); ++i) {
            fleet.step();
            for (std::size_t index = 0; index < fleet.size(); ++index) {
                if (i % usageInterval == 0 && fleet.isUp(index))
                    use(index);
            }
            maximum = std::max(maximum, fleet.sharesOf(limit.name));
        }
    }

    [[nodiscard]] std::int64_t share(std::size_t index)
    {
        FakeNode &node = fleet.node(index);
        return node.manager->usableUnits(limit.name, fleet.local(node));
    }

    FakeFleet fleet;
    std::vector<std::int64_t> wanted;
    ResourceLimit limit = ResourceLimit::connections(Core::DatabaseName("registry-1a"), 30);
    std::int64_t maximum = 0;

private:
    void use(std::size_t index)
    {
        FakeNode &node = fleet.node(index);
        const std::int64_t inUse = std::min(wanted[index], share(index));
        node.manager->setUsage(limit.name, wanted[index], inUse);
    }
};

} // namespace

TEST(Manager, ConnectionsFollowDemandWithinSeconds)
{
    ConnectionTrial trial(7);
    trial.wanted = {25, 1, 1, 1, 1, 1, 0};
    trial.run(5_s);
    LONGS_EQUAL(25, trial.share(0));
    LONGS_EQUAL(1, trial.share(3));
    // The demand moves to another node. Connections that are no longer wanted are returned with the
    // next renewal.
    trial.wanted = {1, 1, 1, 25, 1, 1, 0};
    trial.run(5_s);
    LONGS_EQUAL(25, trial.share(3));
    LONGS_EQUAL(1, trial.share(0));
    CHECK(trial.maximum <= 30);
}

TEST(Manager, ConnectionsAreRecalledForNodesThatHaveFewer)
{
    ConnectionTrial trial(7);
    trial.wanted = {30, 0, 0, 0, 0, 0, 0};
    trial.run(5_s);
    LONGS_EQUAL(30, trial.share(0));
    trial.wanted = {30, 10, 10, 10, 10, 10, 10};
    trial.run(5_s);
    // 30 connections for seven equal demands are four each; one may be in transit.
    for (std::size_t index = 0; index < 7; ++index)
        CHECK(trial.share(index) >= 3);
    CHECK(trial.maximum <= 30);
}

TEST(Manager, ConnectionsOfALeavingNodeAreReusedWithinSeconds)
{
    ConnectionTrial trial(7);
    trial.wanted = {30, 0, 0, 0, 0, 0, 0};
    trial.run(5_s);
    FakeNode &leaving = trial.fleet.node(0);
    leaving.manager->leave(trial.fleet.local(leaving));
    trial.wanted = {0, 30, 0, 0, 0, 0, 0};
    trial.run(2_s);
    LONGS_EQUAL(0, trial.share(0));
    CHECK(leaving.manager->hasLeft(trial.fleet.local(leaving)));
    trial.run(2_s);
    CHECK(trial.share(1) >= 20);
    CHECK(trial.maximum <= 30);
}

TEST(Manager, ConnectionsOfADeadNodeAreReusedAfterTheirLifetime)
{
    ConnectionTrial trial(7);
    trial.wanted = {30, 0, 0, 0, 0, 0, 0};
    trial.run(5_s);
    trial.fleet.kill(0);
    trial.fleet.announceMembers();
    trial.wanted = {0, 30, 0, 0, 0, 0, 0};
    trial.run(25_s);
    LONGS_EQUAL(30, trial.share(1));
    CHECK(trial.maximum <= 30);
}

TEST(Manager, ConnectionsAreKeptDuringAPlatformOutage)
{
    ConnectionTrial trial(7);
    trial.wanted = {10, 5, 5, 5, 1, 1, 1};
    trial.run(5_s);
    trial.fleet.faults.isPlatformUnavailable = true;
    for (int minute = 0; minute < 10; ++minute) {
        trial.run(60_s);
        LONGS_EQUAL(28, trial.fleet.sharesOf(trial.limit.name));
    }
}

TEST(Manager, ATeamWithARateSmallerThanTheFleetIsServed)
{
    FakeFleet fleet(60, Options(), seed);
    const ResourceLimit limit =
        ResourceLimit::tokens(Core::TeamName("audit"), microUnitsPerUnit, 1);
    fleet.setLimits({limit});
    fleet.run(3_s);
    Counts counts;
    fleet.decided = [&](std::size_t, std::size_t, bool isTaken) {
        ++(isTaken ? counts.taken : counts.refused);
    };
    for (std::size_t i = 0; i < 60; ++i) {
        const auto attempt = fleet.request((i * 37) % fleet.size(), 0, limit.name);
        CHECK(attempt == FakeFleet::Attempt::Pending);
        fleet.run(1200_ms);
    }
    LONGS_EQUAL(60, counts.taken);
    LONGS_EQUAL(0, counts.refused);
}
