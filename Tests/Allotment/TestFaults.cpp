#include <Tests/Allotment/FaultTrial.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Allotment;
using namespace Chervilpin::Core::Literals;

namespace {

constexpr std::uint64_t seed = 11;

std::size_t poolOwner(FaultTrial &trial)
{
    return trial.fleet.ownerOf(trial.tokenPool()).value_or(0);
}

void nothing(FaultTrial &trial)
{
    trial.run(20_s);
}

void ownerPausedAndWoken(FaultTrial &trial)
{
    const std::size_t owner = poolOwner(trial);
    trial.fleet.pause(owner);
    trial.run(20_s);
    trial.fleet.wake(owner);
    trial.run(10_s);
}

void ownerPausedBriefly(FaultTrial &trial)
{
    for (int i = 0; i < 8; ++i) {
        const std::size_t owner = poolOwner(trial);
        trial.fleet.pause(owner);
        trial.run(Core::Duration(700 + i * 600));
        trial.fleet.wake(owner);
        trial.run(1_s);
    }
}

void eachPausedAndWoken(FaultTrial &trial)
{
    for (std::size_t index = 0; index < trial.fleet.size(); ++index) {
        trial.fleet.pause(index);
        trial.run(16_s);
        trial.fleet.wake(index);
        trial.run(2_s);
    }
}

/// Long enough for a successor, and shorter than the lifetime of connections.
void eachPausedBriefly(FaultTrial &trial)
{
    for (std::size_t index = 0; index < trial.fleet.size(); ++index) {
        trial.fleet.pause(index);
        trial.run(7_s);
        trial.fleet.wake(index);
        trial.run(2_s);
    }
}

void ownerKilled(FaultTrial &trial)
{
    trial.fleet.kill(poolOwner(trial));
    trial.run(8_s);
    trial.fleet.announceMembers();
    trial.run(20_s);
}

void nodesComeAndGo(FaultTrial &trial)
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

void nodeLeaves(FaultTrial &trial)
{
    FakeNode &node = trial.fleet.node(poolOwner(trial));
    node.manager->leave(trial.fleet.local(node));
    trial.run(5_s);
    node.isAlive = false;
    trial.fleet.announceMembers();
    trial.run(10_s);
}

void ownerCutOff(FaultTrial &trial)
{
    trial.fleet.node(poolOwner(trial)).side = 1;
    trial.fleet.isCut = true;
    trial.run(30_s);
    trial.fleet.isCut = false;
    trial.run(10_s);
}

void fleetCutInTwo(FaultTrial &trial)
{
    const std::size_t owner = poolOwner(trial);
    trial.fleet.node(owner).side = 1;
    trial.fleet.node((owner + 1) % trial.fleet.size()).side = 1;
    for (int i = 0; i < 3; ++i) {
        trial.fleet.isCut = true;
        trial.run(7_s);
        trial.fleet.isCut = false;
        trial.run(3_s);
        trial.fleet.platformSide = 1 - trial.fleet.platformSide;
    }
}

void membersWrongBothWays(FaultTrial &trial)
{
    for (std::size_t index = 0; index < trial.fleet.size(); ++index) {
        FakeNode &node = trial.fleet.node(index);
        const std::vector<Core::NodeName> onlyItself = {node.name};
        const std::vector<Core::NodeName> dead = {Core::NodeName("gone-1"),
                                                  Core::NodeName("gone-2")};
        node.manager->setMembers(index % 2 == 0 ? onlyItself : dead, trial.fleet.local(node));
    }
    trial.run(15_s);
    trial.fleet.kill(poolOwner(trial));
    trial.run(15_s);
}

void platformOutForTenMinutes(FaultTrial &trial)
{
    trial.fleet.faults.isPlatformOut = true;
    trial.run(300_s);
    trial.fleet.pause(0);
    trial.run(300_s);
    trial.fleet.faults.isPlatformOut = false;
    trial.run(2_s);
    trial.fleet.wake(0);
    trial.run(10_s);
}

void platformAnswersLost(FaultTrial &trial)
{
    trial.fleet.faults.platformAnswersLostPerMille = 400;
    trial.run(20_s);
    trial.fleet.kill(poolOwner(trial));
    trial.run(20_s);
}

void messagesLostDoubledLate(FaultTrial &trial)
{
    trial.fleet.faults.lostPerMille = 100;
    trial.fleet.faults.doubledPerMille = 200;
    trial.fleet.faults.latePerMille = 100;
    trial.run(60_s);
}

void clocksDrift(FaultTrial &trial)
{
    // The fastest clock keeps the true time; creation is measured against it.
    for (std::size_t index = 0; index < trial.fleet.size(); ++index)
        trial.fleet.node(index).clockPerMille = 1000 - static_cast<std::int64_t>(index % 3) * 4;
    trial.run(5_s);
    ownerPausedAndWoken(trial);
    ownerCutOff(trial);
}

void everythingAtOnce(FaultTrial &trial)
{
    trial.fleet.faults.lostPerMille = 50;
    trial.fleet.faults.doubledPerMille = 100;
    trial.fleet.faults.latePerMille = 50;
    trial.fleet.faults.platformAnswersLostPerMille = 200;
    ownerCutOff(trial);
    eachPausedAndWoken(trial);
    fleetCutInTwo(trial);
    nodesComeAndGo(trial);
}

struct Case
{
    const char *name;
    void (*script)(FaultTrial &);
};

const Case cases[] = {
    {"nothing", nothing},
    {"owner paused and woken", ownerPausedAndWoken},
    {"owner paused briefly", ownerPausedBriefly},
    {"each paused and woken", eachPausedAndWoken},
    {"each paused briefly", eachPausedBriefly},
    {"owner killed", ownerKilled},
    {"nodes come and go", nodesComeAndGo},
    {"node leaves", nodeLeaves},
    {"owner cut off", ownerCutOff},
    {"fleet cut in two", fleetCutInTwo},
    {"members wrong both ways", membersWrongBothWays},
    {"platform out for ten minutes", platformOutForTenMinutes},
    {"platform answers lost", platformAnswersLost},
    {"messages lost, doubled, late", messagesLostDoubledLate},
    {"clocks drift", clocksDrift},
    {"everything at once", everythingAtOnce},
};

/// A usual team, one whose rate is smaller than the fleet, and one with a burst of a minute.
const Limit limits[] = {{100, 60}, {1, 3}, {10, 600}};

Violations violationsOf(void (*script)(FaultTrial &), const Options &options, Limit limit)
{
    FaultTrial trial(options, seed, limit);
    trial.run(5_s);
    script(trial);
    return trial.violations();
}

/// Each guard with a fault that it is there for.
struct GuardCase
{
    const char *name;
    bool Guards::*guard;
    void (*script)(FaultTrial &);
    std::int64_t Violations::*broken;
    Limit limit;
};

const GuardCase guardCases[] = {
    {"granted units are counted", &Guards::ownerCountsGranted, nothing, &Violations::connections},
    {"a successor waits (tokens)",
     &Guards::successorWaits,
     nodeLeaves,
     &Violations::tokens,
     {10, 600}},
    {"a successor waits (connections)", &Guards::successorWaits, eachPausedBriefly,
     &Violations::connections},
    {"the owner stops at its lease", &Guards::ownerStopsAtLease, ownerCutOff, &Violations::tokens},
    {"a challenger waits for the lease", &Guards::lapseIsWaitedFor, ownerCutOff,
     &Violations::tokens},
    {"holders drop what has expired", &Guards::holderExpires, eachPausedAndWoken,
     &Violations::connections},
    {"only the latest ask counts", &Guards::onlyLatestAskCounts, messagesLostDoubledLate,
     &Violations::tokens},
};

} // namespace

TEST_GROUP(Faults){};

TEST(Faults, NoFaultBreaksAPromise)
{
    for (const Case &one : cases) {
        for (const Limit limit : limits) {
            const Violations found = violationsOf(one.script, Options(), limit);
            LONGS_EQUAL_TEXT(0, found.tokens, one.name);
            LONGS_EQUAL_TEXT(0, found.connections, one.name);
            CHECK_TEXT(found.admitted > 0, one.name);
        }
    }
}

TEST(Faults, EachGuardIsNeeded)
{
    for (const GuardCase &one : guardCases) {
        Options options;
        options.guards.*one.guard = false;
        const Violations found = violationsOf(one.script, options, one.limit);
        CHECK_TEXT(found.*one.broken > 0, one.name);
    }
}
