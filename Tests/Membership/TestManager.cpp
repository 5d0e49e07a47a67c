#include <Tests/Membership/MemberFleet.h>

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Membership;
using namespace Chervilpin::Testing;

namespace {

constexpr std::uint64_t seed = 3;
const std::vector<std::string> nodeNames = {"a1", "a2", "a3", "b1", "b2", "c1", "c2"};

/// Returns a heartbeat of a2 with an update about b1.
std::string encodeUpdateAboutB1(MemberVersion version, Health health)
{
    Heartbeat heartbeat;
    heartbeat.sender = {Core::NodeName("a2"),         {1'000, 0}, Health::Live, false,
                        Core::DataCentreName("dc-a"), "a2:1"};
    heartbeat.updates.push_back(
        {Core::NodeName("b1"), version, health, false, Core::DataCentreName("dc-b"), "b1:1"});
    return encodeHeartbeat(heartbeat);
}

} // namespace

TEST_GROUP(Membership)
{
    MemberFleet fleet{seed};

    void startNodes(const MemberFleet::SettingsAdjustment &adjustSettings = {})
    {
        for (const std::string &name : nodeNames)
            fleet.listed.push_back(vm(name));
        for (const std::string &name : nodeNames)
            fleet.add(name, adjustSettings);
        fleet.run(Core::Duration(8'000));
        CHECK(fleet.areAllLive());
    }

    void deliverFromA2(const std::string &node, const std::string &payload)
    {
        fleet.deliver(node, {Core::NodeName("a2"), 1, Peer::MessageKind::Membership, payload});
    }

    MemberVersion ageOf(const std::string &node, const std::string &member)
    {
        return fleet.node(node).find(Core::NodeName(member))->version;
    }
};

TEST(Membership, NodesDiscoverEachOtherThroughTheVmList)
{
    startNodes();
}

TEST(Membership, NodesDiscoverEachOtherThroughASeedWhileThePlatformIsUnavailable)
{
    fleet.isPlatformUnavailable = true;
    for (const std::string &name : nodeNames)
        fleet.add(name, [](Settings &settings) { settings.seeds = {vm("b1")}; });
    fleet.run(Core::Duration(8'000));
    CHECK(fleet.areAllLive());
}

// The VM list may contain a VM that never ran and lack one that runs; neither decides who is live.
TEST(Membership, VmListWithExtraAndMissingEntriesDoesNotDecideWhoIsLive)
{
    startNodes();
    fleet.listed.push_back(vm("b9")); // Has never run.
    std::erase_if(fleet.listed,
                  [](const Platform::Vm &entry) { return entry.name.value() == "c2"; });
    for (int second = 0; second < 40; ++second) {
        fleet.run(Core::Duration(1'000));
        CHECK(!fleet.anyReportsHealth("b9", Health::Live));
        CHECK(fleet.allReportHealth("c2", Health::Live));
    }
    CHECK(fleet.anyReportsHealth("b9", Health::Unreachable));
}

TEST(Membership, WithoutRequiringHeartbeatsADeadListedMemberIsBelievedLive)
{
    fleet.listed = {vm("b9")};
    fleet.add("a1", [](Settings &settings) { settings.guards.requiresHeartbeat = false; });
    fleet.run(Core::Duration(1'000));
    CHECK(fleet.anyReportsHealth("b9", Health::Live));
}

TEST(Membership, FailedNodeIsSuspectedThenUnreachableAndDeadOnceUnlisted)
{
    startNodes();
    fleet.kill("b1");
    fleet.run(Core::Duration(6'000));
    CHECK(!fleet.anyReportsHealth("b1", Health::Live));
    fleet.run(Core::Duration(10'000));
    CHECK(fleet.allReportHealth("b1", Health::Unreachable));
    std::erase_if(fleet.listed,
                  [](const Platform::Vm &entry) { return entry.name.value() == "b1"; });
    fleet.run(Core::Duration(15'000));
    CHECK(fleet.allReportHealth("b1", Health::Dead));
    fleet.run(Core::Duration(90'000));
    POINTERS_EQUAL(nullptr, fleet.node("a1").find(Core::NodeName("b1")));
}

TEST(Membership, LeavingIsKnownToAllNodesWithinOneSecond)
{
    startNodes();
    fleet.perform("b1", fleet.node("b1").leave(fleet.now()));
    fleet.run(Core::Duration(1'000));
    for (const std::string &name : nodeNames) {
        const Member *member = fleet.node(name).find(Core::NodeName("b1"));
        CHECK(name == "b1" || (member->isLeaving && !member->isUsable()));
    }
    fleet.kill("b1");
    fleet.run(Core::Duration(16'000));
    CHECK(fleet.allReportHealth("b1", Health::Dead));
}

TEST(Membership, PausedNodeRefutesSuspicionWhenItResumes)
{
    startNodes();
    fleet.pause("b1");
    fleet.run(Core::Duration(6'000));
    CHECK(!fleet.anyReportsHealth("b1", Health::Live));
    fleet.resume("b1");
    fleet.run(Core::Duration(100));
    CHECK(fleet.events(EventKind::Paused) > 0);
    fleet.run(Core::Duration(8'000));
    CHECK(fleet.areAllLive());
    CHECK(fleet.events(EventKind::Refuted) > 0);
}

TEST(Membership, WithoutRefutationAResumedNodeStaysSuspected)
{
    startNodes([](Settings &settings) { settings.guards.refutesSuspicion = false; });
    fleet.pause("b1");
    fleet.run(Core::Duration(6'000));
    fleet.resume("b1");
    fleet.run(Core::Duration(8'000));
    CHECK(!fleet.allReportHealth("b1", Health::Live));
}

TEST(Membership, BothSidesOfAPartitionRediscoverEachOther)
{
    startNodes();
    fleet.isPartitioned = [](const std::string &from, const std::string &to) {
        return (from[0] == 'a') != (to[0] == 'a');
    };
    fleet.run(Core::Duration(25'000));
    const auto isLive = [&](const std::string &node, const std::string &member) {
        return fleet.node(node).find(Core::NodeName(member))->health == Health::Live;
    };
    CHECK(!isLive("a1", "b1"));
    CHECK(!isLive("b1", "a1"));
    CHECK(isLive("a1", "a3"));
    CHECK(isLive("b1", "c2"));
    fleet.isPartitioned = {};
    fleet.run(Core::Duration(20'000));
    CHECK(fleet.areAllLive());
}

TEST(Membership, LeavingNodesThatBelieveEachOtherDeadRediscoverEachOther)
{
    fleet.listed = {vm("a1"), vm("b1")};
    fleet.add("a1");
    fleet.add("b1");
    fleet.run(Core::Duration(3'000));
    for (const char *name : {"a1", "b1"})
        fleet.perform(name, fleet.node(name).leave(fleet.now()));
    fleet.run(Core::Duration(1'000));
    fleet.isPartitioned = [](const std::string &, const std::string &) {
        return true;
    };
    fleet.run(Core::Duration(20'000));
    CHECK(fleet.allReportHealth("a1", Health::Dead));
    fleet.isPartitioned = {};
    fleet.run(Core::Duration(10'000));
    CHECK(fleet.areAllLive());
}

TEST(Membership, ReplacedNodeIsKnownByItsNewIncarnation)
{
    startNodes();
    const MemberVersion before = ageOf("a1", "b1");
    fleet.kill("b1");
    fleet.add("b1");
    fleet.run(Core::Duration(4'000));
    CHECK(ageOf("a1", "b1").incarnation > before.incarnation);
    CHECK(fleet.areAllLive());
    deliverFromA2("a1", encodeUpdateAboutB1(before, Health::Dead));
    fleet.run(Core::Duration(1'000));
    CHECK(fleet.areAllLive());
}

TEST(Membership, OlderUpdatesAreIgnoredAndNewerApplied)
{
    struct Row
    {
        const char *name;
        MemberVersion version;
        Health health;
        Health expected;
    };
    const Row rows[] = {
        {"same version, worse health", {5, 2}, Health::Suspected, Health::Suspected},
        {"same version, better health", {5, 2}, Health::Live, Health::Live},
        {"older refutation", {5, 1}, Health::Dead, Health::Live},
        {"older incarnation", {4, 9}, Health::Dead, Health::Live},
        {"newer refutation", {5, 3}, Health::Unreachable, Health::Unreachable},
        {"newer incarnation", {6, 0}, Health::Suspected, Health::Suspected},
    };
    for (const Row &row : rows) {
        MemberTable table{Guards()};
        Update update{Core::NodeName("x"),       {5, 2}, Health::Live, false,
                      Core::DataCentreName("d"), "x:1"};
        CHECK(table.merge(update, Core::Instant(0)));
        update.version = row.version;
        update.health = row.health;
        table.merge(update, Core::Instant(1));
        CHECK_TEXT(table.find(update.name)->health == row.expected, row.name);
    }
    MemberTable unguarded{Guards{.ordersByVersion = false}};
    Update update{Core::NodeName("x"),       {5, 2}, Health::Live, false,
                  Core::DataCentreName("d"), "x:1"};
    unguarded.merge(update, Core::Instant(0));
    update.version = {4, 9};
    update.health = Health::Dead;
    unguarded.merge(update, Core::Instant(1));
    CHECK(unguarded.find(update.name)->health == Health::Dead);
}

TEST(Membership, InvalidHeartbeatsChangeNothing)
{
    startNodes();
    Heartbeat unnamed;
    unnamed.sender.version.incarnation = 1;
    Heartbeat withoutIncarnation;
    withoutIncarnation.sender.name = Core::NodeName("a2");
    Heartbeat otherSender;
    otherSender.sender = {Core::NodeName("b2"), {1'000, 0}, Health::Dead, true, {}, ""};
    const std::string payloads[] = {"",
                                    "\xff\xff garbage",
                                    encodeHeartbeat(unnamed),
                                    encodeHeartbeat(withoutIncarnation),
                                    encodeHeartbeat(otherSender),
                                    encodeHeartbeat(otherSender).substr(0, 5)};
    for (const std::string &payload : payloads)
        deliverFromA2("a1", payload);
    LONGS_EQUAL(std::size(payloads), fleet.events(EventKind::InvalidHeartbeat));
    CHECK(fleet.areAllLive());
}

TEST(Membership, LossyNetworkDoesNotMakeMembersUnreachable)
{
    startNodes();
    fleet.lossPercent = 20;
    for (int second = 0; second < 60; ++second) {
        fleet.run(Core::Duration(1'000));
        CHECK(!fleet.anyReportsHealth("b1", Health::Unreachable));
    }
}

TEST(Membership, EveryNodeKnowsHowManyMembersHaveWhichConfiguration)
{
    startNodes();
    for (const std::string &name : nodeNames) {
        const std::uint64_t revision = name == "c2" ? 4 : 5;
        fleet.perform(name, fleet.node(name).setStatus({revision, 1}, fleet.now()));
    }
    fleet.run(Core::Duration(6'000));
    for (const std::string &name : nodeNames) {
        std::uint32_t current = 0;
        std::uint32_t members = 0;
        std::string laggard;
        for (const Summary &summary : fleet.node(name).summaries()) {
            for (const RevisionCount &count : summary.counts) {
                members += count.members;
                current += count.revision == 5 ? count.members : 0;
            }
            for (const Laggard &entry : summary.laggards)
                laggard = entry.name.value();
        }
        LONGS_EQUAL_TEXT(7, members, name.c_str());
        LONGS_EQUAL_TEXT(6, current, name.c_str());
        STRCMP_EQUAL("c2", laggard.c_str());
    }
}

TEST(Membership, OnlyAFewNodesRequestTheVmList)
{
    startNodes();
    fleet.listCalls = 0;
    fleet.run(Core::Duration(60'000));
    // Two nodes of each data centre request it every ten seconds.
    CHECK(fleet.listCalls <= 6 * 6 + 6);
    CHECK(fleet.listCalls >= 6);
}

TEST(Membership, NodeInAFleetOf1200StaysWithinItsByteBudget)
{
    constexpr int members = 1'199;
    constexpr int seconds = 120;
    constexpr std::uint64_t target = 2'048; // Target in bytes per second.
    MemberFleet isolatedFleet{seed};
    Manager &manager = isolatedFleet.add("a1");
    for (int i = 0; i < members; ++i) {
        Heartbeat heartbeat;
        const std::string name = "node-" + std::to_string(i);
        heartbeat.sender = {Core::NodeName(name),
                            {1'700'000'000'000, 0},
                            Health::Live,
                            false,
                            Core::DataCentreName("tt-north-" + std::to_string(i % 3)),
                            "10.20.30.40:7001"};
        isolatedFleet.deliver(
            "a1",
            {heartbeat.sender.name, 1, Peer::MessageKind::Membership, encodeHeartbeat(heartbeat)});
    }
    // One second of ticks uses up the burst; after that the rate limit holds, however much is
    // queued.
    isolatedFleet.run(Core::Duration(10'000));
    const std::uint64_t before = manager.bytesSent();
    isolatedFleet.run(Core::Duration(1'000) * seconds);
    const std::uint64_t perSecond = (manager.bytesSent() - before) / seconds;
    CHECK(perSecond > 0);
    CHECK(perSecond <= target);
    UT_PRINT(StringFromFormat("bytes_per_second=%llu", static_cast<unsigned long long>(perSecond))
                 .asCharString());
}
