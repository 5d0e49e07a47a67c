#include "FleetFixture.h"

#include <Core/Random.h>
#include <Fleet/ChangeHistory.h>
#include <Fleet/StoreWatcher.h>
#include <Fleet/Timing.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace Chervilpin;
using namespace Chervilpin::Fleet;
using namespace Chervilpin::Core::Literals;
using Testing::FleetFixture;

/// The store comes back from a copy that is some seconds old: what was written since is gone, and
/// its revisions are given out again in a new era.
TEST_GROUP(StoreEra)
{
    FleetFixture fleet{3};

    void setup() override
    {
        fleet.report(Health::Healthy);
        fleet.advanceTime(5_s);
    }

    /// Replaces db-1 by db-3.
    void replacePrimary()
    {
        fleet.silentDatabases.insert("db-1");
        fleet.report(Health::Suspect);
        fleet.advanceTime(1_s);
        fleet.silentDatabases.clear();
        fleet.report(Health::Healthy);
        LONGS_EQUAL(3, fleet.leaseHolders().at("db-3").size());
    }

    /// Forgets what the proxies know, as a restart of all processes does.
    void restartAll()
    {
        for (const char *name : {"n1", "n2", "n3"})
            fleet.start(name);
    }

    void checkSafety()
    {
        LONGS_EQUAL(0, fleet.fencingViolations.size());
        LONGS_EQUAL(0, fleet.staleLeases);
        for (std::size_t i = 1; i < fleet.orders.size(); ++i)
            CHECK(fleet.orders[i].token > fleet.orders[i - 1].token);
    }

    /// The longest time in which some proxy held no lease.
    Core::Duration longestGap(Core::Duration span)
    {
        Core::Duration gap;
        Core::Duration longest;
        for (Core::Duration passed; passed < span; passed = passed + 10_ms) {
            fleet.advanceTime(10_ms);
            const auto holders = fleet.leaseHolders();
            const bool isComplete = holders.size() == 1 && holders.begin()->second.size() == 3;
            gap = isComplete ? Core::Duration() : gap + 10_ms;
            longest = std::max(longest, gap);
        }
        return longest;
    }
};

TEST(StoreEra, ACopyInWhichNothingIsMissingInterruptsNobody)
{
    fleet.restoreFromCopy({});
    LONGS_EQUAL(0, longestGap(20_s).milliseconds());
    LONGS_EQUAL(0, fleet.orders.size());
    CHECK(fleet.leaseHolders().contains("db-1"));
    checkSafety();
}

TEST(StoreEra, ACopyOlderThanAReplacementDoesNotBringTheOldPrimaryBack)
{
    replacePrimary();
    fleet.restoreFromCopy(2_s);
    LONGS_EQUAL(0, longestGap(20_s).milliseconds());
    LONGS_EQUAL(1, fleet.orders.size());
    LONGS_EQUAL(3, fleet.leaseHolders().at("db-3").size());
    checkSafety();
}

TEST(StoreEra, ProxiesThatKnowNothingFindTheDatabaseThatLeads)
{
    replacePrimary();
    fleet.restoreFromCopy(2_s);
    restartAll();
    fleet.advanceTime(20_s);
    LONGS_EQUAL(3, fleet.leaseHolders().at("db-3").size());
    STRCMP_EQUAL("db-3", fleet.primary.value().c_str());
    checkSafety();
}

TEST(StoreEra, ACopyOlderThanTheFirstRecordIsCompleted)
{
    replacePrimary();
    fleet.restoreFromCopy(1'000_s);
    LONGS_EQUAL(0, longestGap(20_s).milliseconds());
    LONGS_EQUAL(3, fleet.leaseHolders().at("db-3").size());
    checkSafety();
}

TEST(StoreEra, ACopyFromTheMiddleOfAReplacementEndsWithOnePrimary)
{
    const Core::Duration moments[] = {20_ms, 40_ms, 80_ms, 150_ms, 300_ms, 600_ms, 1'200_ms};
    for (const auto takeOverTime : {0_ms, 400_ms}) {
        for (const auto moment : moments) {
            for (const auto age : {30_ms, 200_ms, 1'000_ms}) {
                FleetFixture random{3};
                random.takeOverTime = takeOverTime;
                random.report(Health::Healthy);
                random.advanceTime(5_s);
                random.silentDatabases.insert("db-1");
                random.report(Health::Suspect);
                random.advanceTime(moment);
                random.restoreFromCopy(age);
                random.advanceTime(30_s);
                LONGS_EQUAL(0, random.fencingViolations.size());
                LONGS_EQUAL(0, random.staleLeases);
                LONGS_EQUAL(3, random.leaseHolders().at(random.primary.value()).size());
            }
        }
    }
}

TEST(StoreEra, HalfOfTheFleetMayLearnOfTheEraLate)
{
    replacePrimary();
    fleet.restoreFromCopy(2_s);
    fleet.cutFromStore.insert("n2");
    fleet.advanceTime(10_s);
    fleet.cutFromStore.clear();
    fleet.advanceTime(10_s);
    LONGS_EQUAL(3, fleet.leaseHolders().at("db-3").size());
    checkSafety();
}

TEST(StoreEra, AProxyThatWasPausedOverItUsesNoOldPrimary)
{
    fleet.paused.insert(fleet.leader() == "n2" ? "n1" : "n2");
    fleet.silentDatabases.insert("db-1");
    fleet.report(Health::Suspect);
    fleet.advanceTime(20_s);
    STRCMP_EQUAL("db-3", fleet.primary.value().c_str());
    fleet.restoreFromCopy(20_s);
    fleet.advanceTime(1_s);
    fleet.paused.clear();
    fleet.silentDatabases.clear();
    fleet.advanceTime(20_s);
    LONGS_EQUAL(3, fleet.leaseHolders().at("db-3").size());
    checkSafety();
}

TEST(StoreEra, ALeaderThatLearnsOfItLateSendsNoOrderFromBefore)
{
    const std::string leader = fleet.leader();
    fleet.silentDatabases.insert("db-1");
    fleet.report(Health::Suspect);
    fleet.advanceTime(20_ms);
    fleet.paused.insert(leader);
    fleet.restoreFromCopy(1_s);
    fleet.advanceTime(4_s);
    fleet.paused.clear();
    fleet.advanceTime(30_s);
    LONGS_EQUAL(3, fleet.leaseHolders().at(fleet.primary.value()).size());
    checkSafety();
}

TEST(StoreEra, TwoCopiesInARowAreTold)
{
    replacePrimary();
    fleet.restoreFromCopy(2_s);
    fleet.advanceTime(500_ms);
    fleet.restoreFromCopy(4_s);
    fleet.advanceTime(20_s);
    LONGS_EQUAL(3, fleet.leaseHolders().at("db-3").size());
    checkSafety();
}

/// Random series of copies, cuts, pauses, restarts and failures of the primary.
TEST(StoreEra, NoSeriesOfCopiesAndCutsBreaksTheFence)
{
    const char *const names[] = {"n1", "n2", "n3", "n4"};
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        const std::string label = "seed " + std::to_string(seed);
        FleetFixture random{4};
        Core::Random choice(seed);
        random.takeOverTime = Core::Duration(static_cast<std::int64_t>(choice.below(800)));
        for (unsigned step = 0; step < 20; ++step) {
            random.cutFromStore.clear();
            random.cutFromPeers.clear();
            random.paused.clear();
            random.silentDatabases.clear();
            const char *const victim = names[choice.below(4)];
            if (choice.below(3) == 0)
                random.cutFromStore.insert(victim);
            if (choice.below(4) == 0)
                random.cutFromPeers.insert(victim);
            if (choice.below(4) == 0)
                random.paused.insert(victim);
            if (choice.below(3) == 0)
                random.restoreFromCopy(
                    Core::Duration(static_cast<std::int64_t>(choice.below(6'000))));
            if (choice.below(6) == 0)
                random.start(names[choice.below(4)]);
            if (choice.below(3) == 0) {
                random.silentDatabases.insert(random.primary.value());
                random.report(Health::Suspect);
            } else {
                random.report(Health::Healthy);
            }
            random.advanceTime(Core::Duration(static_cast<std::int64_t>(choice.below(4'000))));
        }
        random.cutFromStore.clear();
        random.cutFromPeers.clear();
        random.paused.clear();
        random.silentDatabases.clear();
        random.report(Health::Healthy);
        random.advanceTime(30_s);
        LONGS_EQUAL_TEXT(0, random.fencingViolations.size(), label.c_str());
        LONGS_EQUAL_TEXT(0, random.staleLeases, label.c_str());
        CHECK_TEXT(random.leaseHolders().contains(random.primary.value()), label.c_str());
        LONGS_EQUAL_TEXT(1, random.leaseHolders().size(), label.c_str());
    }
}

TEST(StoreEra, PositionsOfALaterEraAreTheHigherOnes)
{
    CHECK(makeRevision(2, 5) > makeRevision(1, 900));
    CHECK(makeRevision(0, 7) == 7);
    LONGS_EQUAL(2, eraOf(makeRevision(2, 5)));
    LONGS_EQUAL(5, storeRevisionOf(makeRevision(2, 5)));
}

TEST(StoreEra, AWatchAcrossErasIsNotContinued)
{
    StoreWatcher watcher(1_s);
    CHECK(!watcher.isFromOtherEra(makeRevision(1, 50)));
    (void)watcher.listed("", false, makeRevision(1, 50));
    CHECK(watcher.isBefore(2));
    CHECK(!watcher.isBefore(1));
    CHECK(!watcher.isFromOtherEra(makeRevision(1, 51)));
    CHECK(watcher.isFromOtherEra(makeRevision(2, 51)));
    watcher.restart();
    // A list of the earlier era that arrives late is refused.
    CHECK(!watcher.isFromOtherEra(makeRevision(2, 40)));
    (void)watcher.listed("a", true, makeRevision(2, 40));
    CHECK(watcher.isFromOtherEra(makeRevision(3, 10)));
    (void)watcher.listed("", false, makeRevision(2, 41));
    watcher.restart();
    CHECK(watcher.isFromOtherEra(makeRevision(1, 60)));
}

TEST(StoreEra, AFeedCoversNothingOfAnEarlierEra)
{
    ChangeHistory history;
    const std::vector<StoredObject> before{{"a", "1", makeRevision(1, 5), false},
                                           {"b", "1", makeRevision(1, 9), false}};
    history.replace(before, makeRevision(1, 10), Core::Instant(1'000));
    const std::vector<StoredObject> after{{"a", "1", makeRevision(2, 5), false}};
    history.replace(after, makeRevision(2, 6), Core::Instant(2'000));
    CHECK(!history.covers(makeRevision(1, 12)));
    CHECK(history.covers(makeRevision(2, 6)));
    LONGS_EQUAL(1, history.liveObjects().size());
    // What the feed still gets of the earlier era changes nothing.
    history.replace(before, makeRevision(1, 11), Core::Instant(3'000));
    LONGS_EQUAL(1, history.liveObjects().size());
}
