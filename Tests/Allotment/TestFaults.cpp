#include <Tests/Allotment/FaultScenario.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Allotment;
using namespace Chervilpin::Core::Literals;

namespace {

constexpr std::uint64_t seed = 11;

std::size_t firstShareOwner(FaultScenario &trial)
{
    return trial.fleet.ownerOf(trial.firstTokenShare()).value_or(0);
}

void noFault(FaultScenario &trial)
{
    trial.run(20_s);
}

void ownerPausedAndResumed(FaultScenario &trial)
{
    const std::size_t owner = firstShareOwner(trial);
    trial.fleet.pause(owner);
    trial.run(20_s);
    trial.fleet.resume(owner);
    trial.run(10_s);
}

void ownerPausedBriefly(FaultScenario &trial)
{
    for (int i = 0; i < 8; ++i) {
        const std::size_t owner = firstShareOwner(trial);
        trial.fleet.pause(owner);
        trial.run(Core::Duration(700 + i * 600));
        trial.fleet.resume(owner);
        trial.run(1_s);
    }
}

void eachPausedAndResumed(FaultScenario &trial)
{
    for (std::size_t index = 0; index < trial.fleet.size(); ++index) {
        trial.fleet.pause(index);
        trial.run(16_s);
        trial.fleet.resume(index);
        trial.run(2_s);
    }
}

/// Pauses each node for long enough that a successor takes over, but for less than the lifetime of
/// connections.
void eachPausedBriefly(FaultScenario &trial)
{
    for (std::size_t index = 0; index < trial.fleet.size(); ++index) {
        trial.fleet.pause(index);
        trial.run(7_s);
        trial.fleet.resume(index);
        trial.run(2_s);
    }
}

void ownerKilled(FaultScenario &trial)
{
    trial.fleet.kill(firstShareOwner(trial));
    trial.run(8_s);
    trial.fleet.announceMembers();
    trial.run(20_s);
}

void nodesComeAndGo(FaultScenario &trial)
{
    trial.fleet.addNode();
    trial.fleet.announceMembers();
    trial.run(5_s);
    for (std::size_t index = 0; index < 4; ++index) {
        trial.fleet.kill(index);
        trial.run(3_s);
        trial.fleet.restart(index);
        trial.run(3_s);
    }
}

void nodeLeaves(FaultScenario &trial)
{
    FakeNode &node = trial.fleet.node(firstShareOwner(trial));
    node.manager->leave(trial.fleet.local(node));
    trial.run(5_s);
    node.isAlive = false;
    trial.fleet.announceMembers();
    trial.run(10_s);
}

void ownerPartitioned(FaultScenario &trial)
{
    trial.fleet.node(firstShareOwner(trial)).partition = 1;
    trial.fleet.isPartitioned = true;
    trial.run(30_s);
    trial.fleet.isPartitioned = false;
    trial.run(10_s);
}

void fleetPartitioned(FaultScenario &trial)
{
    const std::size_t owner = firstShareOwner(trial);
    trial.fleet.node(owner).partition = 1;
    trial.fleet.node((owner + 1) % trial.fleet.size()).partition = 1;
    for (int i = 0; i < 3; ++i) {
        trial.fleet.isPartitioned = true;
        trial.run(7_s);
        trial.fleet.isPartitioned = false;
        trial.run(3_s);
        trial.fleet.platformPartition = 1 - trial.fleet.platformPartition;
    }
}

void inconsistentMemberLists(FaultScenario &trial)
{
    for (std::size_t index = 0; index < trial.fleet.size(); ++index) {
        FakeNode &node = trial.fleet.node(index);
        const std::vector<Core::NodeName> onlyItself = {node.name};
        const std::vector<Core::NodeName> dead = {Core::NodeName("gone-1"),
                                                  Core::NodeName("gone-2")};
        node.manager->setMembers(index % 2 == 0 ? onlyItself : dead, trial.fleet.local(node));
    }
    trial.run(15_s);
    trial.fleet.kill(firstShareOwner(trial));
    trial.run(15_s);
}

void platformUnavailableForTenMinutes(FaultScenario &trial)
{
    trial.fleet.faults.isPlatformUnavailable = true;
    trial.run(300_s);
    trial.fleet.pause(0);
    trial.run(300_s);
    trial.fleet.faults.isPlatformUnavailable = false;
    trial.run(2_s);
    trial.fleet.resume(0);
    trial.run(10_s);
}

void platformRepliesLost(FaultScenario &trial)
{
    trial.fleet.faults.platformRepliesLostPerMille = 400;
    trial.run(20_s);
    trial.fleet.kill(firstShareOwner(trial));
    trial.run(20_s);
}

void messagesLostDuplicatedDelayed(FaultScenario &trial)
{
    trial.fleet.faults.lostPerMille = 100;
    trial.fleet.faults.duplicatedPerMille = 200;
    trial.fleet.faults.delayedPerMille = 100;
    trial.run(60_s);
}

void clocksDrift(FaultScenario &trial)
{
    // The fastest clock runs at the true rate, since the check measures refill against it.
    for (std::size_t index = 0; index < trial.fleet.size(); ++index)
        trial.fleet.node(index).clockPerMille = 1000 - static_cast<std::int64_t>(index % 3) * 4;
    trial.run(5_s);
    ownerPausedAndResumed(trial);
    ownerPartitioned(trial);
}

void allFaultsAtOnce(FaultScenario &trial)
{
    trial.fleet.faults.lostPerMille = 50;
    trial.fleet.faults.duplicatedPerMille = 100;
    trial.fleet.faults.delayedPerMille = 50;
    trial.fleet.faults.platformRepliesLostPerMille = 200;
    ownerPartitioned(trial);
    eachPausedAndResumed(trial);
    fleetPartitioned(trial);
    nodesComeAndGo(trial);
}

struct Case
{
    const char *name;
    void (*script)(FaultScenario &);
};

const Case cases[] = {
    {"no fault", noFault},
    {"owner paused and resumed", ownerPausedAndResumed},
    {"owner paused briefly", ownerPausedBriefly},
    {"each node paused and resumed", eachPausedAndResumed},
    {"each node paused briefly", eachPausedBriefly},
    {"owner killed", ownerKilled},
    {"nodes join, die and restart", nodesComeAndGo},
    {"node leaves", nodeLeaves},
    {"owner partitioned from the fleet", ownerPartitioned},
    {"fleet partitioned in two", fleetPartitioned},
    {"inconsistent member lists", inconsistentMemberLists},
    {"platform unavailable for ten minutes", platformUnavailableForTenMinutes},
    {"platform replies lost", platformRepliesLost},
    {"messages lost, duplicated and delayed", messagesLostDuplicatedDelayed},
    {"clocks drift", clocksDrift},
    {"all faults at once", allFaultsAtOnce},
};

/// A typical team, one with fewer tokens per second than the fleet has nodes, and one whose burst
/// is a minute's worth of tokens.
const Limit limits[] = {{100, 60}, {1, 3}, {10, 600}};

Violations violationsOf(void (*script)(FaultScenario &), const Options &options, Limit limit)
{
    FaultScenario trial(options, seed, limit);
    trial.run(5_s);
    script(trial);
    return trial.violations();
}

/// Each guard with a fault that exceeds a limit if the guard is disabled.
struct GuardCase
{
    const char *name;
    bool Guards::*guard;
    void (*script)(FaultScenario &);
    std::int64_t Violations::*broken;
    Limit limit;
};

const GuardCase guardCases[] = {
    {"owner counts granted units", &Guards::ownerCountsGranted, noFault, &Violations::connections},
    {"successor waits (tokens)",
     &Guards::successorWaits,
     nodeLeaves,
     &Violations::tokens,
     {10, 600}},
    {"successor waits (connections)", &Guards::successorWaits, eachPausedBriefly,
     &Violations::connections},
    {"owner stops at its lease", &Guards::ownerStopsAtLease, ownerPartitioned, &Violations::tokens},
    {"challenger waits for the lease", &Guards::challengerWaits, ownerPartitioned,
     &Violations::tokens},
    {"holders drop expired units", &Guards::holderExpires, eachPausedAndResumed,
     &Violations::connections},
    {"only the latest ask counts", &Guards::onlyLatestAskCounts, messagesLostDuplicatedDelayed,
     &Violations::tokens},
};

} // namespace

TEST_GROUP(Faults){};

TEST(Faults, NoFaultExceedsALimit)
{
    for (const Case &testCase : cases) {
        for (const Limit limit : limits) {
            const Violations found = violationsOf(testCase.script, Options(), limit);
            LONGS_EQUAL_TEXT(0, found.tokens, testCase.name);
            LONGS_EQUAL_TEXT(0, found.connections, testCase.name);
            CHECK_TEXT(found.admitted > 0, testCase.name);
        }
    }
}

TEST(Faults, EachGuardIsNeeded)
{
    for (const GuardCase &testCase : guardCases) {
        Options options;
        options.guards.*testCase.guard = false;
        const Violations found = violationsOf(testCase.script, options, testCase.limit);
        CHECK_TEXT(found.*testCase.broken > 0, testCase.name);
    }
}
