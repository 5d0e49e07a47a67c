#include <Ownership/HandoverCoordinator.h>
#include <Tests/Ownership/OwnedFleet.h>

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace Chervilpin;
using namespace Chervilpin::Failover;
using namespace Chervilpin::Failover::Fakes;
using namespace Chervilpin::Ownership;
using namespace Chervilpin::Ownership::Fakes;
using namespace Chervilpin::Core::Literals;

namespace {

using Inflict = void (*)(OwnedFleet &);

void killDriver(OwnedFleet &owned)
{
    owned.fleet.nodes[owned.driver()].isAlive = false;
}

void pauseDriver(OwnedFleet &owned)
{
    owned.fleet.nodes[owned.driver()].isPaused = true;
}

void takePlatformOut(OwnedFleet &owned)
{
    owned.fleet.platform.mode = PlatformMode::Unavailable;
}

void cutDriverFromPlatform(OwnedFleet &owned)
{
    owned.fleet.nodesWithoutPlatform.insert(owned.driver());
}

void losePlatformAnswers(OwnedFleet &owned)
{
    owned.fleet.platform.mode = PlatformMode::LosesAnswers;
}

void killPrimary(OwnedFleet &owned)
{
    owned.fleet.kill(0);
}

void reverse(OwnedFleet &owned)
{
    owned.desire(east);
}

struct Fault
{
    const char *name;
    Inflict inflict;
    Core::HalfName owner;   ///< Who owns the group when all is over.
    Core::Duration lasting; ///< The platform comes back after this.
};

const Fault faults[] = {
    {"no fault", [](OwnedFleet & /*owned*/) {}, west, 0_ms},
    {"driver killed", killDriver, west, 0_ms},
    {"driver paused", pauseDriver, west, 0_ms},
    {"platform out", takePlatformOut, west, 3_s},
    {"driver cut from the platform", cutDriverFromPlatform, west, 0_ms},
    {"platform's answers lost", losePlatformAnswers, west, 3_s},
    {"primary killed", killPrimary, west, 0_ms},
    {"order reversed", reverse, east, 0_ms},
};

const HandoverState steps[] = {HandoverState::Waiting, HandoverState::TakingTerm,
                               HandoverState::Draining, HandoverState::Promoting};

} // namespace

TEST_GROUP(Handover){};

TEST(Handover, WithoutTakeOverAChangeEndsWithItsDriver)
{
    HandoverPolicy weakened;
    weakened.takeOverAfter = 60_s;
    for (const Inflict inflict : {killDriver, pauseDriver, cutDriverFromPlatform}) {
        OwnedFleet owned(weakened);
        owned.desire(west);
        owned.runUntil(HandoverState::TakingTerm);
        inflict(owned);
        owned.fleet.run(8_s);
        CHECK(!owned.belongsTo(west));
    }
}

TEST(Handover, GroupChangesOwnerWithinASecond)
{
    OwnedFleet owned;
    const Core::Term before = owned.fleet.nodes[0].known.back().term;
    owned.desire(west);
    owned.fleet.run(1_s);
    CHECK(owned.belongsTo(west));
    CHECK(owned.fleet.nodes[0].known.back().database == FakeFleet::database(0));
    CHECK(owned.fleet.nodes[0].known.back().term > before);
    CHECK(owned.fleet.longestGap <= 1_s);
    for (const auto &node : owned.fleet.nodes)
        LONGS_EQUAL(1, node.drains);
    // A statement that was routed under the old owner is refused as not run.
    const Upstream::Answer refused =
        owned.fleet.databases[0].run(Upstream::Statement{.term = before, .text = "1"});
    CHECK(refused.verdict == Upstream::Verdict::NotRun);
    CHECK(refused.reason == Upstream::Reason::Superseded);
}

TEST(Handover, EveryFaultAtEveryStepEndsWithOneOwner)
{
    for (const auto &fault : faults) {
        for (const HandoverState step : steps) {
            OwnedFleet owned;
            owned.desire(west);
            owned.runUntil(step);
            fault.inflict(owned);
            owned.fleet.run(fault.lasting);
            owned.fleet.platform.mode = PlatformMode::Up;
            owned.fleet.run(8_s);
            const std::string what = std::string(fault.name) + " at " + std::string(toString(step))
                + ": " + owned.fleet.violation;
            CHECK_TEXT(owned.fleet.violation.empty(), what.c_str());
            CHECK_TEXT(owned.hasOneOwnerPerTerm(), what.c_str());
            CHECK_TEXT(owned.belongsTo(fault.owner), what.c_str());
            CHECK_TEXT(owned.fleet.now - owned.fleet.lastAcknowledgedAt < 100_ms, what.c_str());
            CHECK_TEXT(owned.fleet.longestGap <= 2500_ms, what.c_str());

            for (std::size_t node = 0; node < 3; ++node)
                owned.fleet.resume(node);
            owned.fleet.run(3_s);
            CHECK_TEXT(owned.fleet.violation.empty(), what.c_str());
            CHECK_TEXT(owned.hasOneOwnerPerTerm(), what.c_str());
            CHECK_TEXT(owned.belongsTo(fault.owner), what.c_str());
        }
    }
}

namespace {

/// Whether a change that was reversed at a step, and is over, comes back when more failovers come
/// than there are terms reserved ahead.
bool comesBackWithFailovers(HandoverState step, const HandoverPolicy &policy)
{
    OwnedFleet owned(policy);
    owned.desire(west);
    owned.runUntil(step);
    owned.desire(east);
    owned.fleet.run(2_s);
    const std::size_t before = owned.fleet.nodes[1].known.size();
    for (int failover = 0; failover < 4; ++failover) {
        auto &host = owned.fleet.hosts[owned.fleet.nodes[1].known.back().database];
        host.isAlive = false;
        owned.fleet.run(1_s);
        host.isAlive = true;
        owned.fleet.run(3_s);
    }
    const auto &known = owned.fleet.nodes[1].known;
    return std::any_of(known.begin() + static_cast<std::ptrdiff_t>(before), known.end(),
                       [](const PrimaryKnown &entry) { return entry.owner == west; });
}

} // namespace

TEST(Handover, ReversedChangeDoesNotComeBackWithAFailover)
{
    HandoverPolicy unguarded;
    unguarded.undoUnfinished = Failover::Guard::Off;
    for (const HandoverState step : steps)
        CHECK(!comesBackWithFailovers(step, {}));
    CHECK(comesBackWithFailovers(HandoverState::Draining, unguarded));
}

TEST(Handover, GoesBothWays)
{
    OwnedFleet owned;
    for (const auto &owner : {west, east, west}) {
        owned.desire(owner);
        owned.fleet.run(1_s);
        CHECK(owned.belongsTo(owner));
    }
    CHECK(owned.hasOneOwnerPerTerm());
    STRCMP_EQUAL("", owned.fleet.violation.c_str());
}
