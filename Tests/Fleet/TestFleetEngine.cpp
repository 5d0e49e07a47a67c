#include "FleetFixture.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace Chervilpin;
using namespace Chervilpin::Fleet;
using namespace Chervilpin::Core::Literals;
using Testing::FleetFixture;

TEST_GROUP(FleetEngine)
{
    FleetFixture fleet{3};

    void failPrimary()
    {
        fleet.silentDatabases.insert("db-1");
        fleet.report(Health::Suspect);
    }
};

TEST(FleetEngine, AllMembersGetALeaseToThePrimaryInTheDirectory)
{
    const auto holders = fleet.leaseHolders();
    LONGS_EQUAL(1, holders.size());
    LONGS_EQUAL(3, holders.at("db-1").size());
    LONGS_EQUAL(2, fleet.leader().size());
}

TEST(FleetEngine, AFailedPrimaryIsReplacedByTheCandidateWithTheLongestLog)
{
    failPrimary();
    fleet.advanceTime(500_ms);
    LONGS_EQUAL(1, fleet.orders.size());
    STRCMP_EQUAL("db-3", fleet.orders.front().database.value().c_str());
    LONGS_EQUAL(3, fleet.leaseHolders().at("db-3").size());
    LONGS_EQUAL(0, fleet.fencingViolations.size());
}

TEST(FleetEngine, TheSuspicionOfOneProxyIsNotEnough)
{
    fleet.silentDatabases.insert("db-1");
    fleet.proxies.at("n2").engine->primaryHealth(FleetFixture::group, Health::Suspect, {},
                                                 fleet.now);
    fleet.advanceTime(2_s);
    LONGS_EQUAL(0, fleet.orders.size());
}

TEST(FleetEngine, NoOrderIsSentWhileAProxyStillUsesTheOldPrimary)
{
    fleet.proxies.at("n2").holdsOldPrimary = true;
    failPrimary();
    fleet.advanceTime(500_ms);
    LONGS_EQUAL(0, fleet.orders.size());
    auto &held = fleet.proxies.at("n2");
    held.engine->primaryReleased(FleetFixture::group, held.lease->revision, fleet.now);
    fleet.advanceTime(200_ms);
    LONGS_EQUAL(1, fleet.orders.size());
}

TEST(FleetEngine, AnIsolatedProxyLosesItsLeaseBeforeAnOrderIsSent)
{
    const struct
    {
        const char *name;
        bool isPaused;
    } cases[] = {{"cut from store and proxies", false}, {"suspended", true}};
    for (const auto &row : cases) {
        FleetFixture partitioned{3};
        const std::string isolated = partitioned.leader() == "n3" ? "n2" : "n3";
        if (row.isPaused) {
            partitioned.paused.insert(isolated);
        } else {
            partitioned.cutFromStore.insert(isolated);
            partitioned.cutFromPeers.insert(isolated);
        }
        partitioned.silentDatabases.insert("db-1");
        partitioned.report(Health::Suspect);
        partitioned.advanceTime(4_s);
        CHECK_TEXT(partitioned.orders.empty(), row.name);
        partitioned.advanceTime(leaseDuration);
        CHECK_TEXT(!partitioned.orders.empty(), row.name);
        CHECK_TEXT(partitioned.fencingViolations.empty(), row.name);
    }
}

TEST(FleetEngine, AProxyWithoutTheStoreIsConfirmedByOthers)
{
    fleet.cutFromStore.insert("n3");
    fleet.advanceTime(20_s);
    LONGS_EQUAL(3, fleet.leaseHolders().at("db-1").size());
}

TEST(FleetEngine, LeasesExpireWithoutTheStore)
{
    fleet.cutFromStore = {"n1", "n2", "n3"};
    fleet.advanceTime(leaseDuration - 2_s);
    LONGS_EQUAL(3, fleet.leaseHolders().at("db-1").size());
    fleet.advanceTime(2_s);
    LONGS_EQUAL(0, fleet.leaseHolders().size());
}

TEST(FleetEngine, ADeadLeaderIsReplacedAndFencingTokensIncrease)
{
    failPrimary();
    fleet.advanceTime(500_ms);
    const std::string first = fleet.leader();
    fleet.paused.insert(first);
    fleet.advanceTime(5_s);
    fleet.silentDatabases = {"db-3"};
    fleet.report(Health::Suspect);
    fleet.advanceTime(15_s);
    CHECK(fleet.orders.size() >= 2);
    for (std::size_t i = 1; i < fleet.orders.size(); ++i)
        CHECK(fleet.orders[i].token > fleet.orders[i - 1].token);
    LONGS_EQUAL(0, fleet.fencingViolations.size());
}

TEST(FleetEngine, AResumedLeaderSendsNoOrderWithAnOldToken)
{
    // The leader is suspended between its claim of the group and the order.
    fleet.proxies.at("n1").holdsOldPrimary = true;
    fleet.proxies.at("n2").holdsOldPrimary = true;
    failPrimary();
    fleet.advanceTime(100_ms);
    const std::string first = fleet.leader();
    fleet.paused.insert(first);
    for (auto &[name, proxy] : fleet.proxies) {
        proxy.holdsOldPrimary = false;
        if (proxy.lease)
            proxy.engine->primaryReleased(FleetFixture::group, proxy.lease->revision, fleet.now);
    }
    fleet.advanceTime(20_s);
    CHECK(!fleet.orders.empty());
    const auto orders = fleet.orders.size();
    const auto token = fleet.orders.back().token;
    fleet.cutFromStore.insert(first);
    fleet.paused.clear();
    fleet.advanceTime(2_s);
    fleet.cutFromStore.clear();
    fleet.advanceTime(5_s);
    for (std::size_t i = orders; i < fleet.orders.size(); ++i)
        CHECK(fleet.orders[i].token > token);
}

TEST(FleetEngine, AnOldPrimaryThatAnswersStaysPrimary)
{
    // The proxies suspect the primary because their connections broke; it still answers the leader.
    fleet.report(Health::Suspect);
    fleet.advanceTime(500_ms);
    LONGS_EQUAL(0, fleet.orders.size());
    LONGS_EQUAL(3, fleet.leaseHolders().at("db-1").size());
}

TEST(FleetEngine, ADrainingPrimaryIsReplaced)
{
    fleet.directory.front().availability = Sessions::DatabaseAvailability::Draining;
    for (auto &[name, proxy] : fleet.proxies)
        proxy.engine->directoryChanged(fleet.directory, fleet.now);
    fleet.advanceTime(500_ms);
    LONGS_EQUAL(1, fleet.orders.size());
    LONGS_EQUAL(3, fleet.leaseHolders().at("db-3").size());
    LONGS_EQUAL(0, fleet.fencingViolations.size());
}

TEST(FleetEngine, AnOrderWhoseAnswerIsLostIsSentAgainForTheSameDatabase)
{
    fleet.areOrdersAnswered = false;
    failPrimary();
    fleet.advanceTime(1_s);
    fleet.areOrdersAnswered = true;
    fleet.advanceTime(1_s);
    CHECK(fleet.orders.size() >= 2);
    for (const auto &order : fleet.orders)
        STRCMP_EQUAL("db-3", order.database.value().c_str());
    LONGS_EQUAL(3, fleet.leaseHolders().at("db-3").size());
}

TEST(FleetEngine, ARestartedProxyDelaysNoPromotion)
{
    fleet.start("n3");
    failPrimary();
    fleet.advanceTime(600_ms);
    LONGS_EQUAL(1, fleet.orders.size());
    LONGS_EQUAL(0, fleet.fencingViolations.size());
}

TEST(FleetEngine, ADeadMemberIsRemovedAfterItsLeasesHaveExpired)
{
    const std::string isolated = fleet.leader() == "n3" ? "n2" : "n3";
    fleet.paused.insert(isolated);
    const std::size_t before = fleet.proxies.at(fleet.leader()).engine->memberCount();
    LONGS_EQUAL(3, before);
    fleet.advanceTime(20_s);
    LONGS_EQUAL(2, fleet.proxies.at(fleet.leader()).engine->memberCount());
    fleet.paused.clear();
    fleet.advanceTime(3_s);
    LONGS_EQUAL(3, fleet.proxies.at(fleet.leader()).engine->memberCount());
}

TEST(FleetEngine, AProxyThatReturnsFromAPartitionNeitherLeadsNorReplacesAPrimary)
{
    // A data centre is isolated for six seconds.
    FleetFixture five{5};
    const std::string leader = five.leader();
    const std::string isolated = leader == "n5" ? "n4" : "n5";
    five.cutFromPeers.insert(isolated);
    five.cutFromStore.insert(isolated);
    five.proxies.at(isolated).engine->primaryHealth(FleetFixture::group, Health::Suspect, {},
                                                    five.now);
    five.advanceTime(6'500_ms);
    five.cutFromPeers.clear();
    five.cutFromStore.clear();
    five.advanceTime(5_s);
    STRCMP_EQUAL(leader.c_str(), five.leader().c_str());
    LONGS_EQUAL(0, five.orders.size());
    LONGS_EQUAL(5, five.leaseHolders().at("db-1").size());
    LONGS_EQUAL(5, five.proxies.at(leader).engine->memberCount());
}

TEST(FleetEngine, AnOrderOfAnEarlierLeaderIsSentAgainForTheSameDatabase)
{
    fleet.areOrdersAnswered = false;
    failPrimary();
    fleet.advanceTime(200_ms);
    CHECK(!fleet.orders.empty());
    fleet.paused.insert(fleet.leader());
    // The other candidate now has the longer log, but the first order may still take effect.
    fleet.areOrdersAnswered = true;
    fleet.advanceTime(15_s);
    CHECK(fleet.orders.size() >= 2);
    STRCMP_EQUAL("db-3", fleet.orders.back().database.value().c_str());
    LONGS_EQUAL(0, fleet.fencingViolations.size());
}

TEST(FleetEngine, AFailingStoreIsNotCalledWithoutDelay)
{
    // Each write of the leader is reset at once.
    const std::string leader = fleet.leader();
    fleet.cutFromStore.insert(leader);
    failPrimary();
    const auto before = fleet.writes;
    fleet.advanceTime(1_s);
    CHECK(fleet.writes - before <= 6);
}

TEST(FleetEngine, ALeaderWithoutTheStoreReplacesNoPrimaryAndReassessesHealthAfterwards)
{
    // The data centre with most proxies is isolated, and they suspect healthy primaries.
    const std::string leader = fleet.leader();
    fleet.proxies.at(leader).engine->storeReachable(false, fleet.now);
    fleet.cutFromStore = {"n1", "n2", "n3"};
    fleet.report(Health::Suspect);
    fleet.advanceTime(3_s);
    fleet.cutFromStore.clear();
    fleet.proxies.at(leader).engine->storeReachable(true, fleet.now);
    fleet.advanceTime(300_ms);
    fleet.report(Health::Healthy);
    const auto before = fleet.writes;
    fleet.advanceTime(2_s);
    LONGS_EQUAL(before, fleet.writes);
    LONGS_EQUAL(3, fleet.leaseHolders().at("db-1").size());
}

/// Guards against heartbeats of each proxy to every other one: with 68 proxies they took 0.09 GB
/// between data centres in half a minute.
TEST(FleetEngine, HeartbeatTrafficOfAProxyDoesNotGrowWithTheFleet)
{
    FleetFixture large(40);
    large.heartbeats.clear();
    large.advanceTime(10_s);
    const std::string leader = large.leader();
    for (const auto &[name, count] : large.heartbeats) {
        // Two neighbours on either side and the leader, once per second.
        if (name != leader)
            CHECK(count <= 5 * 11);
    }
    CHECK(large.heartbeats.at(leader) <= 39 * 11);
    LONGS_EQUAL(40, large.leaseHolders()["db-1"].size());
}

TEST(FleetEngine, ALargeFleetReplacesADeadLeaderAndAPrimary)
{
    FleetFixture large(40);
    const std::string old = large.leader();
    large.paused.insert(old);
    large.advanceTime(12_s);
    CHECK(large.leader() != old);
    large.silentDatabases.insert("db-1");
    large.report(Health::Suspect);
    large.advanceTime(14_s);
    CHECK(large.fencingViolations.empty());
    LONGS_EQUAL(39, large.leaseHolders()["db-3"].size());
}

/// Guards against claims before the other members are known: on a start of 75 proxies, each claimed
/// the leadership twice.
TEST(FleetEngine, NoProxyClaimsLeadershipBeforeItKnowsTheOtherMembers)
{
    const Core::NodeName self("n2");
    const Core::Instant start(10'000);
    FleetEngine engine({self, 1, Core::DataCentreName("a"), "n2"}, start);
    const auto claims = [&] {
        CallId member = 0;
        std::size_t count = 0;
        for (const auto &action : engine.takeActions()) {
            const auto *write = std::get_if<WriteRecord>(&action);
            if (!write)
                continue;
            if (std::holds_alternative<LeaderRecord>(write->record))
                ++count;
            else
                member = write->id;
        }
        if (member != 0)
            engine.writeEnded(member, WriteOutcome::Done, 5, start + 5_ms);
        return count;
    };
    engine.recordsListed({}, 1, start, start);
    for (Core::Instant now = start + 1_ms; now < start + 2_s; now = now + 100_ms) {
        engine.advance(now);
        LONGS_EQUAL(0, claims());
    }
    const auto stored = [](const char *name, unsigned capacity, Revision revision) {
        MemberRecord record;
        record.node = Core::NodeName(name);
        record.incarnation = 1;
        record.capacity = capacity;
        return StoredObject{memberKey(record.node), encode(record), revision, false};
    };
    const std::vector<StoredObject> changes{stored("n1", 500, 4), stored("n2", 120, 5)};
    const Core::Instant changedAt = start + 2_s;
    engine.recordsChanged(changes, changedAt, changedAt);
    engine.advance(changedAt);
    LONGS_EQUAL(0, claims());
    // The member with the higher capacity may claim first.
    engine.advance(changedAt + 200_ms);
    LONGS_EQUAL(1, claims());
}

/// Guards against a leader that is too slow for its fleet: on an eighth of a core, it heard 295
/// proxies so late that it took half of them as silent.
TEST(FleetEngine, TheMemberWithTheHighestCapacityLeads)
{
    FleetFixture five(5);
    five.start("n4", 500);
    five.advanceTime(3_s);
    five.paused.insert(five.leader());
    five.advanceTime(6_s);
    CHECK(five.proxies.at("n4").engine->isLeader());
}

/// Guards against an order of succession in which all members of an isolated data centre come
/// first: all 53 proxies of the leader's data centre preceded the others by name.
TEST(FleetEngine, ALeaderInAnIsolatedDataCentreIsReplacedSoon)
{
    FleetFixture large(60);
    large.paused.insert(large.leader());
    std::size_t cut = 1;
    for (const auto &[name, proxy] : large.proxies) {
        if (cut < 20 && large.paused.insert(name).second)
            ++cut;
    }
    // Allows for three lost heartbeats and a few unreachable successors.
    large.advanceTime(4_s);
    std::size_t leaders = 0;
    for (const auto &[name, proxy] : large.proxies)
        leaders += !large.paused.contains(name) && proxy.engine->isLeader() ? 1 : 0;
    LONGS_EQUAL(1, leaders);
}

/// The other proxies heard each other all the time, so only the leader is silent.
TEST(FleetEngine, ALeaderLostDuringAStoreOutageIsReplacedSoonAfterIt)
{
    FleetFixture five{5};
    const std::string first = five.leader();
    const auto setStore = [&](bool isReachable) {
        for (auto &[name, proxy] : five.proxies) {
            proxy.engine->storeReachable(isReachable, five.now);
            if (!isReachable)
                five.cutFromStore.insert(name);
        }
        if (isReachable)
            five.cutFromStore.clear();
    };
    setStore(false);
    five.paused.insert(first);
    five.advanceTime(4'500_ms);
    setStore(true);
    five.advanceTime(1'500_ms);
    std::size_t leaders = 0;
    for (const auto &[name, proxy] : five.proxies)
        leaders += name != first && proxy.engine->isLeader() ? 1 : 0;
    LONGS_EQUAL(1, leaders);
}

/// Guards against retiring members after the leader's own partition: within half a second, when it
/// had heard half of the members again, it retired the other 147.
TEST(FleetEngine, ALeaderRetiresNoMemberJustAfterItsOwnPartition)
{
    FleetFixture fleet(12);
    // Spreads the heartbeats over the second.
    for (int i = 1; i <= 12; ++i) {
        fleet.advanceTime(80_ms);
        fleet.start("n" + std::to_string(i));
    }
    fleet.advanceTime(15_s);
    const std::string leader = fleet.leader();
    fleet.cutFromPeers.insert(leader);
    for (const auto &[name, proxy] : fleet.proxies)
        fleet.cutFromStore.insert(name);
    fleet.advanceTime(4'900_ms);
    fleet.cutFromPeers.clear();
    // The others reach the store a moment later and can't become leader before.
    fleet.cutFromStore.erase(leader);
    fleet.advanceTime(1_s);
    fleet.cutFromStore.clear();
    const unsigned before = fleet.writes;
    fleet.advanceTime(3_s);
    // Each retired member would write its record again, so few writes mean few retirements.
    CHECK(fleet.writes <= before + 2);
    LONGS_EQUAL(12, fleet.leaseHolders()["db-1"].size());
}

/// Guards against judging primaries by incomplete reports: a new leader claimed 14 of 20 groups at
/// once, since its neighbours report suspected primaries and it had no reports of healthy ones yet.
TEST(FleetEngine, ANewLeaderWaitsForAllReportsBeforeItJudgesPrimaries)
{
    FleetEngine engine({Core::NodeName("n1"), 1, Core::DataCentreName("a"), "n1"},
                       Core::Instant(1));
    std::vector<StoredObject> records;
    const auto store = [&](const Record &record) {
        records.push_back({keyOf(record), encode(record), records.size() + 1, false});
    };
    for (const char *name : {"n1", "n2", "n3", "n4", "n5"}) {
        MemberRecord member;
        member.node = Core::NodeName(name);
        member.incarnation = 1;
        store(member);
    }
    PrimaryRecord primary;
    primary.group = FleetFixture::group;
    primary.database = Core::DatabaseName("db-1");
    store(primary);
    const Revision revision = records.size();
    Core::Instant now(100'000);
    engine.recordsListed(records, 1, now, now);
    const std::vector<Sessions::DatabaseEntry> directory{
        FleetFixture::entry("db-1", Sessions::DatabaseRole::Primary)};
    engine.directoryChanged(directory, now);
    now = now + 2_s;
    engine.advance(now);
    (void)engine.takeActions();
    records.clear();
    records.push_back({leaderKey(), encode(LeaderRecord{Core::NodeName("n1"), 1, 1}), 9, false});
    const auto receive = [&](const char *name, Health health) {
        Heartbeat heartbeat;
        heartbeat.node = Core::NodeName(name);
        heartbeat.incarnation = 1;
        heartbeat.sentAt = now;
        PrimaryReport report;
        report.group = FleetFixture::group;
        report.revision = revision;
        report.database = Core::DatabaseName("db-1");
        report.health = health;
        heartbeat.primaries.push_back(report);
        engine.heartbeat(heartbeat, now);
    };
    engine.recordsChanged(records, now, now);
    CHECK(engine.isLeader());
    const auto claims = [&] {
        engine.advance(now);
        return std::ranges::count_if(engine.takeActions(), [](const Action &action) {
            const auto *write = std::get_if<WriteRecord>(&action);
            return write && std::holds_alternative<PrimaryRecord>(write->record);
        });
    };
    for (int i = 0; i < 8; ++i) {
        receive("n2", Health::Suspect);
        receive("n3", Health::Suspect);
        if (i >= 4) {
            receive("n4", Health::Healthy);
            receive("n5", Health::Healthy);
        }
        LONGS_EQUAL(0, claims());
        now = now + 250_ms;
    }
    // A primary that nearly all members suspect is replaced all the same.
    receive("n4", Health::Suspect);
    receive("n5", Health::Suspect);
    LONGS_EQUAL(1, claims());
}

/// Guards against judging primaries by connections that broke in a partition: contact with the
/// store was regained through a feed, without a failed call of this proxy.
TEST(FleetEngine, PrimariesAreReassessedAfterALongGapOfConfirmations)
{
    for (auto &[name, proxy] : fleet.proxies)
        fleet.cutFromStore.insert(name);
    fleet.advanceTime(5'050_ms);
    fleet.cutFromStore.clear();
    fleet.advanceTime(50_ms);
    fleet.report(Health::Suspect);
    for (int i = 0; i < 30; ++i) {
        if (i == 10)
            fleet.report(Health::Healthy);
        fleet.advanceTime(50_ms);
        LONGS_EQUAL(3, fleet.leaseHolders()["db-1"].size());
    }
}

/// Guards against waiting for silent members when the old primary answers: eight groups had no
/// primary for 3 s after their databases were reachable again, since proxies of the same data
/// centre had not been heard yet.
TEST(FleetEngine, AnOldPrimaryThatAnswersStaysPrimaryBeforeAllMembersAreFenced)
{
    FleetFixture four(4);
    const std::string lost = four.leader() == "n4" ? "n3" : "n4";
    four.paused.insert(lost);
    four.silentDatabases.insert("db-1");
    four.report(Health::Suspect);
    four.advanceTime(2_s);
    CHECK(four.leaseHolders()["db-1"].size() <= 1);
    four.silentDatabases.clear();
    four.advanceTime(1_s);
    four.paused.clear();
    LONGS_EQUAL(4, four.leaseHolders()["db-1"].size());
    LONGS_EQUAL(0, four.orders.size());
}

namespace {

/// Isolates a proxy together with the primary for four seconds, in which its callers write.
void isolateWithPrimary(FleetFixture &fleet, const std::string &proxy)
{
    fleet.cutFromStore.insert(proxy);
    fleet.cutFromPeers.insert(proxy);
    fleet.silentDatabases.insert("db-1");
    for (auto &[name, other] : fleet.proxies) {
        if (name != proxy)
            other.engine->primaryHealth(FleetFixture::group, Health::Suspect, {1, 10}, fleet.now);
    }
    fleet.advanceTime(4_s);
    fleet.proxies.at(proxy).engine->primaryHealth(FleetFixture::group, Health::Healthy, {1, 40},
                                                  fleet.now);
    fleet.cutFromStore.clear();
}

} // namespace

/// The store shows first that the isolated proxy has stopped using the primary; its heartbeats and
/// then the leader's connection to the primary come back later.
TEST(FleetEngine, WritesAcknowledgedDuringAPartitionAreNotDiscardedAfterIt)
{
    FleetFixture four(4);
    isolateWithPrimary(four, four.leader() == "n4" ? "n3" : "n4");
    four.advanceTime(300_ms);
    four.cutFromPeers.clear();
    four.advanceTime(700_ms);
    LONGS_EQUAL(0, four.orders.size());
    four.silentDatabases.clear();
    four.advanceTime(1_s);
    LONGS_EQUAL(0, four.orders.size());
    LONGS_EQUAL(4, four.leaseHolders()["db-1"].size());
}

/// The proxies' connections to the primary come back later than the leader's.
TEST(FleetEngine, ARestoredPrimaryIsNotSuspectedAtOnce)
{
    FleetFixture four(4);
    isolateWithPrimary(four, four.leader() == "n4" ? "n3" : "n4");
    four.cutFromPeers.clear();
    four.silentDatabases.clear();
    four.advanceTime(300_ms);
    four.report(Health::Suspect);
    four.silentDatabases.insert("db-1");
    four.advanceTime(1_s);
    LONGS_EQUAL(4, four.leaseHolders()["db-1"].size());
    four.advanceTime(2_s);
    LONGS_EQUAL(1, four.orders.size());
}

TEST(FleetEngine, APrimaryThatDoesNotAnswerAfterAPartitionIsReplaced)
{
    FleetFixture four(4);
    isolateWithPrimary(four, four.leader() == "n4" ? "n3" : "n4");
    four.cutFromPeers.clear();
    four.advanceTime(2_s);
    LONGS_EQUAL(1, four.orders.size());
    LONGS_EQUAL(4, four.leaseHolders()["db-3"].size());
    LONGS_EQUAL(0, four.fencingViolations.size());
}

/// A superseded primary that had not stepped down acknowledged writes under its old term, because
/// its role alone was taken for the end of the promotion (docs/incidents/2026-12-05-superseded.md).
TEST(FleetEngine, ASupersededPrimaryIsUsedOnlyAfterItLeadsANewTerm)
{
    failPrimary();
    fleet.advanceTime(1_s);
    STRCMP_EQUAL("db-3", fleet.primary.value().c_str());
    fleet.supersededPrimaries["db-1"] = 1;
    fleet.silentDatabases = {"db-2", "db-3"};
    fleet.takeOverTime = 600_ms;
    fleet.advanceTime(3_s);
    fleet.staleLeases = 0;
    fleet.report(Health::Suspect);
    fleet.advanceTime(5_s);
    STRCMP_EQUAL("db-1", fleet.orders.back().database.value().c_str());
    LONGS_EQUAL(0, fleet.staleLeases);
    LONGS_EQUAL(3, fleet.leaseHolders().at("db-1").size());
}

/// As above, where another database can take over: the superseded primary may have commits that the
/// group has discarded.
TEST(FleetEngine, AReplicaIsPreferredToASupersededPrimary)
{
    failPrimary();
    fleet.advanceTime(1_s);
    fleet.supersededPrimaries["db-1"] = 1;
    fleet.silentDatabases = {"db-3"};
    fleet.takeOverTime = 600_ms;
    fleet.advanceTime(3_s);
    fleet.staleLeases = 0;
    fleet.report(Health::Suspect);
    fleet.advanceTime(5_s);
    STRCMP_EQUAL("db-2", fleet.orders.back().database.value().c_str());
    LONGS_EQUAL(0, fleet.staleLeases);
}

/// An old primary that another one superseded unnoticed must not be restored.
TEST(FleetEngine, ASupersededPrimaryIsNotRestored)
{
    fleet.supersededPrimaries["db-1"] = 1;
    fleet.supersede(Core::DatabaseName("db-2"));
    fleet.report(Health::Suspect);
    fleet.advanceTime(5_s);
    LONGS_EQUAL(3, fleet.leaseHolders().at("db-2").size());
}

/// The leader that sent the order is lost before the database has taken over. Its successor knows
/// from the record which term the database has to lead, and doesn't have to wait.
TEST(FleetEngine, ANewLeaderRecognisesTheTakeOverByItsTerm)
{
    fleet.takeOverTime = 600_ms;
    failPrimary();
    fleet.advanceUntil([&] { return !fleet.orders.empty(); }, 2_s);
    fleet.paused.insert(fleet.leader());
    fleet.advanceUntil([&] { return fleet.orders.size() == 2; }, 20_s);
    LONGS_EQUAL(2, fleet.orders.size());
    fleet.advanceTime(300_ms);
    LONGS_EQUAL(2, fleet.leaseHolders().at("db-3").size());
    LONGS_EQUAL(0, fleet.staleLeases);
}

/// Commits that a busy replica had received were acknowledged for that reason, and lost when
/// another replica was promoted because it answered first
/// (docs/incidents/2026-12-05-lost-commits.md).
TEST(FleetEngine, WithSynchronousReplicasNoneIsPromotedBeforeAllHaveAnswered)
{
    fleet.setSynchronousReplicas(1);
    fleet.silentDatabases.insert("db-3");
    failPrimary();
    fleet.advanceTime(10_s);
    LONGS_EQUAL(0, fleet.orders.size());
    fleet.silentDatabases.erase("db-3");
    fleet.advanceTime(200_ms);
    STRCMP_EQUAL("db-3", fleet.orders.at(0).database.value().c_str());
}

/// As above; a replica that ended and has left the directory is not waited for.
TEST(FleetEngine, AReplicaThatIsGoneIsNotAwaited)
{
    fleet.setSynchronousReplicas(1);
    fleet.silentDatabases.insert("db-3");
    failPrimary();
    fleet.advanceTime(2_s);
    fleet.changeDirectory({fleet.directory.at(0), fleet.directory.at(1)});
    fleet.advanceTime(500_ms);
    STRCMP_EQUAL("db-2", fleet.orders.at(0).database.value().c_str());
}

/// As above: the answer of one of three replicas may be missing if each commit is on two of them.
TEST(FleetEngine, FewerReplicasThanHaveEachCommitMayBeUnknown)
{
    auto directory = fleet.directory;
    directory.push_back(FleetFixture::entry("db-4", Sessions::DatabaseRole::Replica));
    fleet.changeDirectory(directory);
    fleet.setSynchronousReplicas(2);
    fleet.silentDatabases.insert("db-4");
    failPrimary();
    fleet.advanceTime(1_s);
    STRCMP_EQUAL("db-3", fleet.orders.at(0).database.value().c_str());
}

/// As above: what a replica reported before everybody had stopped using the old primary says
/// nothing about the commits that were acknowledged since.
TEST(FleetEngine, AStatusFromBeforeTheFenceDoesNotCount)
{
    fleet.setSynchronousReplicas(1);
    fleet.proxies.at("n2").holdsOldPrimary = true;
    fleet.receivedMarks = {{"db-2", {1, 10}}, {"db-3", {1, 9}}};
    failPrimary();
    fleet.advanceTime(1_s);
    fleet.receivedMarks = {{"db-2", {1, 10}}, {"db-3", {1, 20}}};
    fleet.silentDatabases.insert("db-3");
    auto &held = fleet.proxies.at("n2");
    held.engine->primaryReleased(FleetFixture::group, held.lease->revision, fleet.now);
    fleet.advanceTime(2_s);
    LONGS_EQUAL(0, fleet.orders.size());
    fleet.silentDatabases.erase("db-3");
    fleet.advanceTime(500_ms);
    STRCMP_EQUAL("db-3", fleet.orders.at(0).database.value().c_str());
}

/// As above: a draining replica goes on receiving, and may be the only one with the last commits.
TEST(FleetEngine, ADrainingReplicaWithTheLastCommitsIsPromotedAndReplaced)
{
    fleet.setSynchronousReplicas(1);
    auto directory = fleet.directory;
    directory.at(2).availability = Sessions::DatabaseAvailability::Draining;
    fleet.changeDirectory(directory);
    failPrimary();
    fleet.advanceUntil([&] { return !fleet.orders.empty(); }, 2_s);
    fleet.receivedMarks["db-2"] = {2, 12};
    fleet.advanceTime(2_s);
    LONGS_EQUAL(2, fleet.orders.size());
    STRCMP_EQUAL("db-3", fleet.orders.at(0).database.value().c_str());
    STRCMP_EQUAL("db-2", fleet.orders.at(1).database.value().c_str());
}

/// As above: without the configuration it isn't known how many replicas have each commit.
TEST(FleetEngine, NoDatabaseIsPromotedBeforeTheConfigurationIsKnown)
{
    FleetFixture restarted{1};
    restarted.proxies.at("n1").engine = nullptr;
    restarted.configuresProxies = false;
    restarted.start("n1");
    restarted.advanceTime(20_s);
    restarted.silentDatabases.insert("db-1");
    restarted.report(Health::Suspect);
    restarted.advanceTime(20_s);
    LONGS_EQUAL(0, restarted.orders.size());
    restarted.setSynchronousReplicas(0);
    restarted.advanceTime(1_s);
    LONGS_EQUAL(1, restarted.orders.size());
}

/// An order that was held up on its way reached the platform after a later one with a higher token
/// (docs/incidents/2026-12-05-late-order.md).
TEST(FleetEngine, AnOrderWaitsUntilTheOneBeforeHasEnded)
{
    fleet.areOrdersHeld = true;
    failPrimary();
    fleet.advanceTime(20_s);
    CHECK(fleet.orders.size() >= 5);
    LONGS_EQUAL(0, fleet.overtakingOrders);
}

/// As above, where the second order is of another group.
TEST(FleetEngine, OrdersOfTwoGroupsDoNotOvertakeEachOther)
{
    const Core::GroupName second("h");
    auto directory = fleet.directory;
    for (auto entry : fleet.directory) {
        entry.id = Core::DatabaseName("h-" + entry.id.value());
        entry.group = second;
        directory.push_back(entry);
    }
    fleet.changeDirectory(directory);
    fleet.advanceTime(3_s);
    fleet.areOrdersHeld = true;
    failPrimary();
    fleet.advanceTime(600_ms);
    LONGS_EQUAL(1, fleet.orders.size());
    fleet.silentDatabases.insert("h-db-1");
    for (auto &[name, proxy] : fleet.proxies)
        proxy.engine->primaryHealth(second, Health::Suspect, {1, 10}, fleet.now);
    fleet.advanceTime(20_s);
    const auto isOfSecond = [&](const auto &order) {
        return order.group == second;
    };
    CHECK(std::ranges::any_of(fleet.orders, isOfSecond));
    LONGS_EQUAL(0, fleet.overtakingOrders);
}

/// As above, where the leader that sent the first order is gone.
TEST(FleetEngine, ANewLeaderWaitsForTheOrdersOfTheOneBefore)
{
    for (const bool isRestarted : {false, true}) {
        FleetFixture other{3};
        other.areOrdersHeld = true;
        other.silentDatabases.insert("db-1");
        other.report(Health::Suspect);
        other.advanceUntil([&] { return !other.orders.empty(); }, 5_s);
        const std::string first = other.leader();
        other.paused.insert(first);
        if (isRestarted) {
            other.paused.clear();
            other.restart(first);
        }
        other.advanceTime(20_s);
        CHECK(other.orders.size() >= 2);
        LONGS_EQUAL(0, other.overtakingOrders);
    }
}

/// As above, where the leader leaves while its order is on its way.
TEST(FleetEngine, ALeaderThatLeavesDuringAnOrderKeepsItsRecord)
{
    fleet.areOrdersHeld = true;
    failPrimary();
    fleet.advanceUntil([&] { return !fleet.orders.empty(); }, 5_s);
    fleet.proxies.at(fleet.leader()).engine->leave(fleet.now);
    fleet.advanceTime(20_s);
    CHECK(fleet.orders.size() >= 2);
    LONGS_EQUAL(0, fleet.overtakingOrders);
}

/// As above, where the order had not been sent yet: the leader was suspended while it waited for
/// its token.
TEST(FleetEngine, ATokenThatWasAnsweredLateIsNotUsed)
{
    const std::string first = fleet.leader();
    fleet.proxies.at(first).holdsOldPrimary = true;
    failPrimary();
    fleet.advanceTime(500_ms);
    LONGS_EQUAL(0, fleet.orders.size());
    fleet.withoutAnswers.insert(first);
    auto &held = fleet.proxies.at(first);
    held.holdsOldPrimary = false;
    held.engine->primaryReleased(FleetFixture::group, held.lease->revision, fleet.now);
    fleet.advanceTime(300_ms);
    fleet.releaseAnswers();
    fleet.withoutAnswers.insert(first);
    fleet.advanceTime(300_ms);
    fleet.paused.insert(first);
    fleet.advanceTime(30_s);
    CHECK(!fleet.orders.empty());
    const auto count = fleet.orders.size();
    const auto newest = fleet.orders.back().token;
    fleet.releaseAnswers();
    fleet.paused.clear();
    fleet.advanceTime(10_ms);
    for (std::size_t i = count; i < fleet.orders.size(); ++i)
        CHECK(fleet.orders[i].token >= newest);
}

TEST(FleetEngine, ALeaderWithAnOutdatedRecordDoesNotWriteWithoutDelay)
{
    const std::string leader = fleet.leader();
    fleet.withoutWatch.insert(leader);
    fleet.cutFromPeers.insert(leader);
    fleet.rewritePrimaryRecord();
    const unsigned before = fleet.writes;
    // The primary has left the directory, so it is to be replaced.
    fleet.directory.erase(fleet.directory.begin());
    fleet.proxies.at(leader).engine->directoryChanged(fleet.directory, fleet.now);
    fleet.advanceTime(1_s);
    CHECK(fleet.writes > before);
    CHECK(fleet.writes - before <= 5);
}

/// Bounds the size of heartbeats to the leader, which one of 295 proxies sends with a report for
/// each group whose health it knows.
TEST(FleetEngine, TheLeaderIsSentReportsOnlyOfGroupsWithKnownHealth)
{
    FleetEngine engine({Core::NodeName("n2"), 1, Core::DataCentreName("a"), "n2"},
                       Core::Instant(1));
    std::vector<StoredObject> records;
    const auto store = [&](const Record &record) {
        records.push_back({keyOf(record), encode(record), records.size() + 1, false});
    };
    for (const char *name : {"n1", "n2"}) {
        MemberRecord member;
        member.node = Core::NodeName(name);
        member.incarnation = 1;
        member.address = name;
        store(member);
    }
    store(LeaderRecord{Core::NodeName("n1"), 1, 1});
    for (const char *group : {"g1", "g2", "g3"}) {
        PrimaryRecord primary;
        primary.group = Core::GroupName(group);
        primary.database = Core::DatabaseName(group);
        store(primary);
    }
    Core::Instant now(100'000);
    engine.recordsListed(records, 1, now, now);
    for (const char *group : {"g1", "g2", "g3"})
        engine.primaryReleased(Core::GroupName(group), records.size(), now);
    engine.primaryHealth(Core::GroupName("g2"), Health::Healthy, {1, 1}, now);
    (void)engine.takeActions();
    now = now + 2_s;
    engine.advance(now);
    std::size_t reportCount = 0;
    for (const auto &action : engine.takeActions()) {
        if (const auto *send = std::get_if<SendHeartbeat>(&action))
            reportCount += send->message.primaries.size();
    }
    LONGS_EQUAL(1, reportCount);
}

/// The leader is suspended between its claim and its order, and a silent VM holds leases. The next
/// leader measures their expiry from the first claim.
TEST(FleetEngine, ANewLeaderMeasuresLeaseExpiryFromTheFirstClaim)
{
    fleet.silentDatabases.insert("db-1");
    const std::string first = fleet.leader();
    const std::string holder = first == "n3" ? "n2" : "n3";
    fleet.proxies.at(holder).holdsOldPrimary = true;
    fleet.report(Health::Suspect);
    fleet.advanceTime(500_ms);
    LONGS_EQUAL(0, fleet.orders.size());
    fleet.paused.insert(first);
    fleet.advanceTime(11_s + 500_ms);
    LONGS_EQUAL(1, fleet.orders.size());
    CHECK(fleet.fencingViolations.empty());
}

/// A new leader measures the expiry of a retired member's leases from when it learned of the
/// retirement, and not from its own start.
TEST(FleetEngine, ANewLeaderKnowsHowLongMembersHaveBeenRetired)
{
    FleetFixture five(5);
    const std::string first = five.leader();
    const std::string lost = first == "n4" ? "n3" : "n4";
    five.paused.insert(lost);
    five.advanceTime(12_s);
    five.paused.insert(first);
    five.advanceTime(9_s);
    // The member that was lost first is removed; the previous leader is only retired so far.
    for (const auto &[name, proxy] : five.proxies) {
        if (!five.paused.contains(name))
            LONGS_EQUAL(4, proxy.engine->memberCount());
    }
}

/// Guards against an early planned change of primary while a VM is missing: the group had no
/// primary for 6 s though the old one was still serving.
TEST(FleetEngine, ADrainingPrimaryIsUsedUntilTheLeasesOfASilentMemberHaveExpired)
{
    FleetFixture four(4);
    const std::string lost = four.leader() == "n4" ? "n3" : "n4";
    four.paused.insert(lost);
    four.advanceTime(12_s);
    four.directory.front().availability = Sessions::DatabaseAvailability::Draining;
    for (auto &[name, proxy] : four.proxies)
        proxy.engine->directoryChanged(four.directory, four.now);
    four.advanceTime(1_s);
    LONGS_EQUAL(0, four.orders.size());
    LONGS_EQUAL(3, four.leaseHolders()["db-1"].size());
    four.advanceTime(3_s);
    LONGS_EQUAL(1, four.orders.size());
    CHECK(four.fencingViolations.empty());
    LONGS_EQUAL(3, four.leaseHolders()["db-3"].size());
}
