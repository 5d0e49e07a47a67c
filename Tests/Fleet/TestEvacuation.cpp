#include "FleetFixture.h"

#include <Core/Random.h>
#include <Fleet/Timing.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace Chervilpin;
using namespace Chervilpin::Fleet;
using namespace Chervilpin::Core::Literals;
using Testing::FleetFixture;

/// The replacement of primaries whose data centre is being evacuated. The primary db-1 is in dc-1;
/// db-2 and db-3, whose log is the longest, are in dc-2 and dc-3.
TEST_GROUP(Evacuation)
{
    FleetFixture fleet{3};

    void setup() override
    {
        fleet.directory[0].dataCentre = Core::DataCentreName("dc-1");
        fleet.directory[1].dataCentre = Core::DataCentreName("dc-2");
        fleet.directory[2].dataCentre = Core::DataCentreName("dc-3");
        for (auto &[name, proxy] : fleet.proxies)
            proxy.engine->directoryChanged(fleet.directory, fleet.now);
        fleet.report(Health::Healthy);
        fleet.advanceTime(2_s);
    }

    void evacuate(std::initializer_list<const char *> names)
    {
        const std::vector<Core::DataCentreName> dataCentres(names.begin(), names.end());
        for (auto &[name, proxy] : fleet.proxies) {
            if (!fleet.paused.contains(name) && !fleet.cutFromStore.contains(name))
                proxy.engine->evacuationsChanged(dataCentres, fleet.now);
        }
    }

    std::string follower()
    {
        return fleet.leader() == "n3" ? "n2" : "n3";
    }
};

TEST(Evacuation, ThePrimaryIsReplacedByADatabaseElsewhere)
{
    evacuate({"dc-1"});
    fleet.advanceTime(1_s);
    LONGS_EQUAL(1, fleet.orders.size());
    STRCMP_EQUAL("db-3", fleet.orders.front().database.value().c_str());
    LONGS_EQUAL(3, fleet.leaseHolders().at("db-3").size());
    LONGS_EQUAL(0, fleet.fencingViolations.size());
}

TEST(Evacuation, NoDatabaseOfAnEvacuatedDataCentreIsPromoted)
{
    evacuate({"dc-1", "dc-3"});
    fleet.advanceTime(1_s);
    LONGS_EQUAL(1, fleet.orders.size());
    STRCMP_EQUAL("db-2", fleet.orders.front().database.value().c_str());
}

TEST(Evacuation, AFailedPrimaryIsNotReplacedByADatabaseOfAnEvacuatedDataCentre)
{
    evacuate({"dc-3"});
    fleet.silentDatabases.insert("db-1");
    fleet.report(Health::Suspect);
    fleet.advanceTime(2_s);
    LONGS_EQUAL(1, fleet.orders.size());
    STRCMP_EQUAL("db-2", fleet.orders.front().database.value().c_str());
}

TEST(Evacuation, IfAllAreEvacuatedThePrimaryStays)
{
    evacuate({"dc-1", "dc-2", "dc-3"});
    fleet.advanceTime(2_s);
    LONGS_EQUAL(0, fleet.orders.size());
    LONGS_EQUAL(3, fleet.leaseHolders().at("db-1").size());
}

TEST(Evacuation, AnEvacuationThatIsWithdrawnBeforeTheOrderLeavesThePrimary)
{
    const std::string held = follower();
    fleet.proxies.at(held).holdsOldPrimary = true;
    evacuate({"dc-1"});
    fleet.advanceTime(1_s);
    LONGS_EQUAL(0, fleet.orders.size());
    evacuate({});
    fleet.advanceTime(1_s);
    LONGS_EQUAL(0, fleet.orders.size());
    CHECK(fleet.leaseHolders().contains("db-1"));
}

TEST(Evacuation, ASilentMemberKeepsThePrimaryInUseForAMomentAndNoOrderPrecedesItsLease)
{
    const std::string silent = follower();
    fleet.cutFromStore.insert(silent);
    fleet.cutFromPeers.insert(silent);
    fleet.advanceTime(peerTimeout);
    evacuate({"dc-1"});
    fleet.advanceTime(500_ms);
    CHECK(fleet.leaseHolders().contains("db-1"));
    fleet.advanceTime(12_s);
    LONGS_EQUAL(1, fleet.orders.size());
    LONGS_EQUAL(0, fleet.fencingViolations.size());
    CHECK(fleet.leaseHolders().contains("db-3"));
}

TEST(Evacuation, AnEvacuationDuringAnOutageOfTheStoreIsCarriedOutAfterIt)
{
    for (const char *name : {"n1", "n2", "n3"}) {
        fleet.cutFromStore.insert(name);
        fleet.proxies.at(name).engine->storeReachable(false, fleet.now);
    }
    fleet.advanceTime(2_s);
    fleet.cutFromStore.clear();
    for (const char *name : {"n1", "n2", "n3"})
        fleet.proxies.at(name).engine->storeReachable(true, fleet.now);
    evacuate({"dc-1"});
    fleet.advanceTime(2_s);
    LONGS_EQUAL(1, fleet.orders.size());
    LONGS_EQUAL(0, fleet.fencingViolations.size());
}

/// Random series of evacuations, cuts, pauses and withdrawals. Afterwards, with one data centre
/// left, every group has a primary there, and no order was ever sent while a lease to another
/// database was valid.
TEST(Evacuation, NoSeriesOfEvacuationsAndCutsBreaksTheFence)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        FleetFixture random{5};
        random.directory = fleet.directory;
        for (auto &[name, proxy] : random.proxies)
            proxy.engine->directoryChanged(random.directory, random.now);
        Core::Random choice(seed);
        const char *const names[] = {"n1", "n2", "n3", "n4", "n5"};
        const char *const places[] = {"dc-1", "dc-2", "dc-3"};
        const auto apply = [&](const std::vector<Core::DataCentreName> &dataCentres) {
            for (auto &[name, proxy] : random.proxies) {
                if (!random.paused.contains(name))
                    proxy.engine->evacuationsChanged(dataCentres, random.now);
            }
        };
        for (unsigned step = 0; step < 25; ++step) {
            std::vector<Core::DataCentreName> dataCentres;
            for (const char *place : places) {
                if (choice.below(3) == 0)
                    dataCentres.emplace_back(place);
            }
            random.cutFromStore.clear();
            random.cutFromPeers.clear();
            random.paused.clear();
            const char *const victim = names[choice.below(5)];
            if (choice.below(2) == 0)
                random.cutFromStore.insert(victim);
            if (choice.below(2) == 0)
                random.cutFromPeers.insert(victim);
            if (choice.below(4) == 0)
                random.paused.insert(victim);
            apply(dataCentres);
            random.advanceTime(Core::Duration(static_cast<std::int64_t>(choice.below(3'000))));
        }
        LONGS_EQUAL_TEXT(0, random.fencingViolations.size(), std::to_string(seed).c_str());
        random.cutFromStore.clear();
        random.cutFromPeers.clear();
        random.paused.clear();
        apply({Core::DataCentreName("dc-1"), Core::DataCentreName("dc-3")});
        random.advanceTime(20_s);
        LONGS_EQUAL_TEXT(0, random.fencingViolations.size(), std::to_string(seed).c_str());
        CHECK_TEXT(random.leaseHolders().contains("db-2"), std::to_string(seed).c_str());
    }
}
