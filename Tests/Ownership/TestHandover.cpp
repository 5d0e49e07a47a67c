#include <Ownership/HandoverCoordinator.h>
#include <Tests/Ownership/HandoverFixture.h>

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace Chervilpin;
using namespace Chervilpin::Failover;
using namespace Chervilpin::Failover::Fakes;
using namespace Chervilpin::Ownership;
using namespace Chervilpin::Ownership::Fakes;
using namespace Chervilpin::Core::Literals;

namespace {

using FaultInjector = void (*)(HandoverFixture &);

void killDriver(HandoverFixture &fixture)
{
    fixture.fleet.nodes[fixture.driver()].isAlive = false;
}

void pauseDriver(HandoverFixture &fixture)
{
    fixture.fleet.nodes[fixture.driver()].isPaused = true;
}

void makePlatformUnavailable(HandoverFixture &fixture)
{
    fixture.fleet.platform.mode = PlatformMode::Unavailable;
}

void isolateDriverFromPlatform(HandoverFixture &fixture)
{
    fixture.fleet.nodesWithoutPlatform.insert(fixture.driver());
}

void losePlatformAnswers(HandoverFixture &fixture)
{
    fixture.fleet.platform.mode = PlatformMode::LosesAnswers;
}

void killPrimary(HandoverFixture &fixture)
{
    fixture.fleet.kill(0);
}

void reverseHandover(HandoverFixture &fixture)
{
    fixture.setDesiredOwner(east);
}

struct Fault
{
    const char *name;
    FaultInjector inject;
    Core::HalfName owner;          ///< The owner once the handover and the fault are over.
    Core::Duration platformOutage; ///< Time until the platform is available again.
};

const Fault faults[] = {
    {"no fault", [](HandoverFixture & /*fixture*/) {}, west, 0_ms},
    {"driver killed", killDriver, west, 0_ms},
    {"driver paused", pauseDriver, west, 0_ms},
    {"platform unavailable", makePlatformUnavailable, west, 3_s},
    {"driver isolated from the platform", isolateDriverFromPlatform, west, 0_ms},
    {"platform answers lost", losePlatformAnswers, west, 3_s},
    {"primary killed", killPrimary, west, 0_ms},
    {"handover reversed", reverseHandover, east, 0_ms},
};

const HandoverState activeStates[] = {HandoverState::Waiting, HandoverState::TakingTerm,
                                      HandoverState::Draining, HandoverState::Promoting};

} // namespace

TEST_GROUP(Handover){};

// If the driver fails and no other watcher takes over in time, the handover stalls.
TEST(Handover, StallsWithItsDriverWhenTakeOverIsTooSlow)
{
    HandoverPolicy slowTakeOver;
    slowTakeOver.takeOverTimeout = 60_s;
    for (const FaultInjector inject : {killDriver, pauseDriver, isolateDriverFromPlatform}) {
        HandoverFixture fixture(slowTakeOver);
        fixture.setDesiredOwner(west);
        fixture.runUntil(HandoverState::TakingTerm);
        inject(fixture);
        fixture.fleet.run(8_s);
        CHECK(!fixture.isOwnedBy(west));
    }
}

TEST(Handover, CompletesWithinOneSecond)
{
    HandoverFixture fixture;
    const Core::Term previousTerm = fixture.fleet.nodes[0].known.back().term;
    fixture.setDesiredOwner(west);
    fixture.fleet.run(1_s);
    CHECK(fixture.isOwnedBy(west));
    CHECK(fixture.fleet.nodes[0].known.back().database == FakeFleet::database(0));
    CHECK(fixture.fleet.nodes[0].known.back().term > previousTerm);
    CHECK(fixture.fleet.longestGap <= 1_s);
    for (const auto &node : fixture.fleet.nodes)
        LONGS_EQUAL(1, node.drains);
    // A statement that was routed under the previous owner's term is refused without being run.
    const Upstream::Answer answer =
        fixture.fleet.databases[0].run(Upstream::Statement{.term = previousTerm, .text = "1"});
    CHECK(answer.verdict == Upstream::Verdict::NotRun);
    CHECK(answer.reason == Upstream::Reason::Superseded);
}

// Guards against two owners, lost writes or a stalled handover when a fault strikes in any of its
// states, and again when the failed nodes resume.
TEST(Handover, EveryFaultInEveryStateEndsWithOneOwner)
{
    for (const auto &fault : faults) {
        for (const HandoverState state : activeStates) {
            HandoverFixture fixture;
            fixture.setDesiredOwner(west);
            fixture.runUntil(state);
            fault.inject(fixture);
            fixture.fleet.run(fault.platformOutage);
            fixture.fleet.platform.mode = PlatformMode::Up;
            fixture.fleet.run(8_s);
            const std::string description = std::string(fault.name) + " at "
                + std::string(toString(state)) + ": " + fixture.fleet.violation;
            CHECK_TEXT(fixture.fleet.violation.empty(), description.c_str());
            CHECK_TEXT(fixture.hasOneOwnerPerTerm(), description.c_str());
            CHECK_TEXT(fixture.isOwnedBy(fault.owner), description.c_str());
            CHECK_TEXT(fixture.fleet.now - fixture.fleet.lastAcknowledgedAt < 100_ms,
                       description.c_str());
            CHECK_TEXT(fixture.fleet.longestGap <= 2500_ms, description.c_str());

            for (std::size_t node = 0; node < 3; ++node)
                fixture.fleet.resume(node);
            fixture.fleet.run(3_s);
            CHECK_TEXT(fixture.fleet.violation.empty(), description.c_str());
            CHECK_TEXT(fixture.hasOneOwnerPerTerm(), description.c_str());
            CHECK_TEXT(fixture.isOwnedBy(fault.owner), description.c_str());
        }
    }
}

namespace {

/// Whether a handover that was reversed in a state takes effect later, when there are more
/// failovers than reserved terms.
bool recursAfterFailovers(HandoverState state, const HandoverPolicy &policy)
{
    HandoverFixture fixture(policy);
    fixture.setDesiredOwner(west);
    fixture.runUntil(state);
    fixture.setDesiredOwner(east);
    fixture.fleet.run(2_s);
    const std::size_t knownBefore = fixture.fleet.nodes[1].known.size();
    for (int failover = 0; failover < 4; ++failover) {
        auto &host = fixture.fleet.hosts[fixture.fleet.nodes[1].known.back().database];
        host.isAlive = false;
        fixture.fleet.run(1_s);
        host.isAlive = true;
        fixture.fleet.run(3_s);
    }
    const auto &known = fixture.fleet.nodes[1].known;
    return std::any_of(known.begin() + static_cast<std::ptrdiff_t>(knownBefore), known.end(),
                       [](const PrimaryKnown &entry) { return entry.owner == west; });
}

} // namespace

// Terms granted after a reversed handover still carry its owner unless it is reverted explicitly,
// so that a later failover would bring that owner back.
TEST(Handover, ReversedHandoverDoesNotRecurWithAFailover)
{
    HandoverPolicy unguarded;
    unguarded.revertUnfinished = Failover::Guard::Off;
    for (const HandoverState state : activeStates)
        CHECK(!recursAfterFailovers(state, {}));
    CHECK(recursAfterFailovers(HandoverState::Draining, unguarded));
}

TEST(Handover, WorksInBothDirections)
{
    HandoverFixture fixture;
    for (const auto &owner : {west, east, west}) {
        fixture.setDesiredOwner(owner);
        fixture.fleet.run(1_s);
        CHECK(fixture.isOwnedBy(owner));
    }
    CHECK(fixture.hasOneOwnerPerTerm());
    STRCMP_EQUAL("", fixture.fleet.violation.c_str());
}
