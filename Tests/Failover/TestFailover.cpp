#include <Tests/Failover/FakeFleet.h>

#include <CppUTest/TestHarness.h>
#include <cstdio>
#include <cstdlib>

using namespace Chervilpin;
using namespace Chervilpin::Failover;
using namespace Chervilpin::Failover::Fakes;
using namespace Chervilpin::Core::Literals;

namespace {

using InjectFault = void (*)(FakeFleet &);

void killPrimary(FakeFleet &fleet)
{
    fleet.kill(0);
}

void cutPrimaryOffWithItsCallers(FakeFleet &fleet)
{
    fleet.cut(0, 1);
    fleet.cut(0, 2);
}

void killPrimaryWhileAReplicaLags(FakeFleet &fleet)
{
    fleet.lagging.insert(FakeFleet::database(1));
    fleet.run(100_ms);
    fleet.kill(0);
    fleet.due.emplace(fleet.now + 700_ms, [&fleet] { fleet.lagging.clear(); });
}

void killPrimaryWithPlatformOut(FakeFleet &fleet)
{
    fleet.platform.mode = PlatformMode::Unavailable;
    fleet.kill(0);
}

void killPrimaryWithPlatformSlow(FakeFleet &fleet)
{
    fleet.platform.latency = 2_s;
    fleet.kill(0);
}

void killPrimaryWithPlatformAnswersLost(FakeFleet &fleet)
{
    fleet.platform.mode = PlatformMode::LosesAnswers;
    fleet.kill(0);
}

/// The node with the lowest reserved term, which promotes first.
std::size_t firstCoordinator(const FakeFleet &fleet)
{
    std::size_t first = 0;
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        const auto term = fleet.nodes[node].manager.view(FakeFleet::groupName())->reservedTerm;
        const auto best = fleet.nodes[first].manager.view(FakeFleet::groupName())->reservedTerm;
        if (term && (!best || *term < *best))
            first = node;
    }
    return first;
}

/// Kills the primary and pauses the first coordinator before its first request of type Body.
template<typename Body>
void killPrimaryAndPauseAt(FakeFleet &fleet)
{
    fleet.kill(0);
    fleet.beforeSend = [&fleet](std::size_t node, const Upstream::RequestBody &body) {
        if (!std::holds_alternative<Body>(body))
            return;
        fleet.nodes[node].isPaused = true;
        fleet.beforeSend = nullptr;
    };
}

/// Kills the primary, and the first coordinator right after the database executed its promotion.
void killPrimaryAndPromoter(FakeFleet &fleet)
{
    fleet.kill(0);
    fleet.losesAnswer = [&fleet](const Upstream::RequestBody &body) {
        if (!std::holds_alternative<Upstream::Promote>(body))
            return false;
        for (auto &node : fleet.nodes)
            node.isAlive = node.isAlive && !node.manager.view(FakeFleet::groupName())->isPromoting;
        fleet.losesAnswer = nullptr;
        return true;
    };
}

void killPrimaryAndLosePromotionAnswer(FakeFleet &fleet)
{
    fleet.kill(0);
    fleet.losesAnswer = [&fleet](const Upstream::RequestBody &body) {
        if (!std::holds_alternative<Upstream::Promote>(body))
            return false;
        fleet.losesAnswer = nullptr;
        return true;
    };
}

void killPrimaryAndFirstCoordinator(FakeFleet &fleet)
{
    fleet.nodes[firstCoordinator(fleet)].isAlive = false;
    fleet.kill(0);
}

/// Kills the primary, and the chosen database once it is promoted. The old primary restarts, since
/// there would be no majority otherwise.
void killPrimaryThenTheChosen(FakeFleet &fleet)
{
    fleet.kill(0);
    fleet.losesAnswer = [&fleet](const Upstream::RequestBody &body) {
        if (!std::holds_alternative<Upstream::Promote>(body))
            return false;
        for (auto &database : fleet.databases)
            if (database.role == Upstream::Role::Primary && database.name != FakeFleet::database(0))
                fleet.hosts[database.name].isAlive = false;
        fleet.hosts[FakeFleet::database(0)].isAlive = true;
        fleet.losesAnswer = nullptr;
        return true;
    };
}

using WeakenPolicy = void (*)(FailoverPolicy &);

void detectLate(FailoverPolicy &policy)
{
    policy.detection.pingInterval = 4_s;
    policy.detection.newConnectionPingAfter = 4_s;
    policy.detection.silenceThreshold = 4_s;
}

void claimOnlyWhenNeeded(FailoverPolicy &policy)
{
    policy.reserveInAdvance = Guard::Off;
}

void repeatNothing(FailoverPolicy &policy)
{
    policy.promotion.retryInterval = 10_s;
    policy.promotion.promoteTimeout = 10_s;
    policy.promotion.followRetryInterval = 10_s;
}

void neverTakeOver(FailoverPolicy &policy)
{
    policy.rankDelay = 10_s;
    policy.takeoverDelay = 10_s;
}

void leaveFollowingToTheCoordinator(FailoverPolicy &policy)
{
    policy.promotion.followRetryInterval = 10_s;
}

struct Fault
{
    const char *name;
    InjectFault inject;
    Core::Duration gap;  ///< The maximum gap in acknowledged writes.
    WeakenPolicy weaken; ///< Makes the test case fail, as a check of the test.
};

// Writes resume within 1 s after a single fault and within 2.5 s if the coordinator fails too. If
// the chosen database fails as well, another promotion is needed.
const Fault faults[] = {
    {"primary killed", killPrimary, 1_s, detectLate},
    {"primary paused", [](FakeFleet &fleet) { fleet.pause(0); }, 1_s, detectLate},
    {"primary cut off with its callers", cutPrimaryOffWithItsCallers, 1_s, detectLate},
    {"primary killed, a replica behind", killPrimaryWhileAReplicaLags, 1_s,
     [](FailoverPolicy &policy) {
         policy.promotion.chooseHighestMark = Guard::Off;
     }},
    {"primary killed, platform unavailable", killPrimaryWithPlatformOut, 1_s, claimOnlyWhenNeeded},
    {"primary killed, platform slow", killPrimaryWithPlatformSlow, 1_s, claimOnlyWhenNeeded},
    {"primary killed, platform's answers lost", killPrimaryWithPlatformAnswersLost, 1_s,
     claimOnlyWhenNeeded},
    {"promotion's answer lost", killPrimaryAndLosePromotionAnswer, 1_s, repeatNothing},
    {"coordinator paused before its fence", killPrimaryAndPauseAt<Upstream::Fence>, 2500_ms,
     neverTakeOver},
    {"coordinator paused before its promotion", killPrimaryAndPauseAt<Upstream::Promote>, 2500_ms,
     neverTakeOver},
    {"coordinator paused before the others follow", killPrimaryAndPauseAt<Upstream::Follow>,
     2500_ms, leaveFollowingToTheCoordinator},
    {"coordinator killed with the primary", killPrimaryAndFirstCoordinator, 2500_ms, neverTakeOver},
    {"coordinator killed once it promoted", killPrimaryAndPromoter, 2500_ms,
     leaveFollowingToTheCoordinator},
    {"chosen database killed when promoted", killPrimaryThenTheChosen, 4_s, neverTakeOver},
};

std::string describe(const Fault &fault, const FakeFleet &fleet)
{
    return std::string(fault.name) + ": gap " + std::to_string(fleet.longestGap.milliseconds())
        + " ms, " + fleet.violation;
}

void runWithFault(const Fault &fault, FakeFleet &fleet)
{
    fleet.run(1_s);
    fleet.writingNodes = {0, 1, 2};
    fleet.run(200_ms);
    fleet.longestGap = {};
    fault.inject(fleet);
    fleet.run(5_s);
}

bool meetsBounds(const Fault &fault, const FakeFleet &fleet)
{
    return fleet.violation.empty() && fleet.now - fleet.lastAcknowledgedAt < 100_ms
        && fleet.longestGap <= fault.gap;
}

} // namespace

TEST_GROUP(Failover){};

TEST(Failover, EveryNodeLearnsTheFirstPrimaryAndOwner)
{
    FakeFleet fleet;
    fleet.run(1_s);
    for (std::size_t node = 0; node < 3; ++node) {
        LONGS_EQUAL(1, fleet.nodes[node].known.size());
        CHECK(fleet.nodes[node].known.back().database == FakeFleet::database(0));
        CHECK(fleet.nodes[node].known.back().owner == Core::HalfName("east"));
        CHECK(fleet.nodes[node].manager.view(FakeFleet::groupName())->reservedTerm.has_value());
        CHECK(fleet.serves(node));
    }
}

TEST(Failover, WritesResumeWithinBoundsAndNoneIsLost)
{
    for (const auto &fault : faults) {
        FailoverPolicy weakened;
        fault.weaken(weakened);
        FakeFleet weak(weakened);
        runWithFault(fault, weak);
        CHECK_TEXT(!meetsBounds(fault, weak), fault.name);

        FakeFleet fleet;
        runWithFault(fault, fleet);
        const std::string what = describe(fault, fleet);
        CHECK_TEXT(meetsBounds(fault, fleet), what.c_str());
        if (std::getenv("CHERVILPIN_PRINT_GAPS") != nullptr)
            std::printf("%s\n", what.c_str());

        // Everything paused or unreachable resumes, which must not disturb the group.
        fleet.beforeSend = nullptr;
        fleet.cuts.clear();
        for (auto &[name, host] : fleet.hosts)
            host = {};
        const Core::Term term = fleet.nodes[1].known.back().term;
        for (std::size_t node = 0; node < 3; ++node)
            fleet.resume(node);
        fleet.longestGap = {};
        fleet.run(3_s);
        CHECK_TEXT(fleet.violation.empty(), what.c_str());
        CHECK_TEXT(fleet.longestGap <= 100_ms, describe(fault, fleet).c_str());
        for (const auto &database : fleet.databases)
            LONGS_EQUAL_TEXT(term, database.knownTerm, what.c_str());
    }
}

TEST(Failover, NonWatchersLearnThePrimaryWithoutPinging)
{
    FakeFleet fleet({}, 7);
    std::size_t pings = 0;
    fleet.beforeSend = [&](std::size_t node, const Upstream::RequestBody & /*body*/) {
        if (!fleet.nodes[node].manager.view(FakeFleet::groupName())->isWatcher)
            ++pings;
    };
    fleet.run(2_s);
    pings = 0;
    fleet.platform.calls = 0;
    fleet.run(60_s);
    LONGS_EQUAL(0, pings);
    CHECK(fleet.platform.calls <= 7 * 60 / 30 + 7);
    fleet.writingNodes = {0, 1, 2, 3, 4, 5, 6};
    fleet.run(200_ms);
    fleet.longestGap = {};
    fleet.kill(0);
    fleet.run(2_s);
    const PrimaryKnown &known = fleet.nodes[0].known.back();
    for (const auto &node : fleet.nodes)
        CHECK(node.known.back().term == known.term && node.known.back().database == known.database);
    CHECK(fleet.longestGap <= 1_s);
    STRCMP_EQUAL("", fleet.violation.c_str());
}

TEST(Failover, CoordinatorReportsFailoverTimings)
{
    FakeFleet fleet;
    fleet.run(1_s);
    fleet.pause(0);
    fleet.run(2_s);
    std::vector<FailoverTimings> reports;
    for (const auto &node : fleet.nodes)
        reports.insert(reports.end(), node.timings.begin(), node.timings.end());
    LONGS_EQUAL(1, reports.size());
    const FailoverTimings &parts = reports.front();
    CHECK(parts.detect >= 400_ms && parts.detect <= 600_ms);
    CHECK(parts.claim <= 200_ms);
    CHECK(parts.fence > 0_ms && parts.promote > 0_ms && parts.learn > 0_ms);
    CHECK(parts.detect + parts.claim + parts.fence + parts.promote + parts.learn <= 1_s);
}

TEST(Failover, ConcurrentCoordinatorsAreOrderedByTerm)
{
    FailoverPolicy policy;
    policy.rankDelay = 0_ms;
    FakeFleet fleet(policy);
    fleet.run(1_s);
    fleet.writingNodes = {0, 1, 2};
    fleet.run(200_ms);
    fleet.kill(0);
    fleet.run(4_s);
    STRCMP_EQUAL("", fleet.violation.c_str());
    CHECK(fleet.count("promotion_started") > 1);
    CHECK(fleet.longestGap <= 2500_ms);
}

namespace {

void slowDown(FakeFleet &fleet)
{
    for (const auto latency : {100_ms, 250_ms, 350_ms, 700_ms, 1000_ms}) {
        fleet.hosts[FakeFleet::database(0)].latency = latency;
        fleet.run(2_s);
    }
}

void cutOneNodeFromThePrimary(FakeFleet &fleet)
{
    fleet.cut(0, 1);
    fleet.run(3_s);
}

void cutOneNodeOff(FakeFleet &fleet)
{
    fleet.cut(2, 0);
    fleet.cut(2, 1);
    fleet.run(3_s);
}

struct FalseAlarm
{
    const char *name;
    InjectFault inject;
    void (*switchOff)(FailoverPolicy &);
};

const FalseAlarm falseAlarms[] = {
    {"slow primary", slowDown,
     [](FailoverPolicy &policy) {
         policy.detection.countLateAnswers = Guard::Off;
     }},
    {"one node cut from the primary", cutOneNodeFromThePrimary,
     [](FailoverPolicy &policy) {
         policy.confirmWithPeers = Guard::Off;
     }},
    {"one node cut off from all others", cutOneNodeOff,
     [](FailoverPolicy &policy) {
         policy.detectOwnIsolation = Guard::Off;
     }},
};

std::size_t promotionsStartedBy(const FalseAlarm &row, const FailoverPolicy &policy)
{
    FakeFleet fleet(policy);
    fleet.run(1_s);
    row.inject(fleet);
    STRCMP_EQUAL("", fleet.violation.c_str());
    return fleet.count("promotion_started");
}

} // namespace

TEST(Failover, NoPromotionOnFalseAlarms)
{
    for (const auto &row : falseAlarms) {
        FailoverPolicy unguarded;
        row.switchOff(unguarded);
        LONGS_EQUAL_TEXT(0, promotionsStartedBy(row, {}), row.name);
        CHECK_TEXT(promotionsStartedBy(row, unguarded) > 0, row.name);
    }
}

namespace {

struct DisabledGuard
{
    const char *name;
    InjectFault inject;
    void (*switchOff)(FailoverPolicy &);
};

const DisabledGuard disabledGuards[] = {
    {"chooses after one fence", killPrimaryWhileAReplicaLags,
     [](FailoverPolicy &policy) {
         policy.promotion.requireFencedMajority = Guard::Off;
     }},
    {"promotes a replica that is behind", killPrimaryWhileAReplicaLags,
     [](FailoverPolicy &policy) {
         policy.promotion.chooseHighestMark = Guard::Off;
     }},
    {"tries a second database under one term", killPrimaryThenTheChosen,
     [](FailoverPolicy &policy) {
         policy.promotion.oneChoicePerTerm = Guard::Off;
     }},
};

std::string violationWith(const DisabledGuard &row, const FailoverPolicy &policy)
{
    FakeFleet fleet(policy);
    fleet.run(1_s);
    fleet.writingNodes = {0, 1, 2};
    fleet.run(200_ms);
    row.inject(fleet);
    fleet.run(5_s);
    return fleet.violation;
}

} // namespace

TEST(Failover, EachGuardPreventsItsInvariantViolation)
{
    for (const auto &row : disabledGuards) {
        FailoverPolicy unguarded;
        row.switchOff(unguarded);
        CHECK_TEXT(violationWith(row, {}).empty(), row.name);
        CHECK_TEXT(!violationWith(row, unguarded).empty(), row.name);
    }
}
