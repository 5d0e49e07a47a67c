#include <Ownership/HandoverCoordinator.h>
#include <Tests/Failover/FakeFleet.h>

#include <CppUTest/TestHarness.h>
#include <memory>
#include <vector>

using namespace Chervilpin;
using namespace Chervilpin::Failover;
using namespace Chervilpin::Failover::Fakes;
using namespace Chervilpin::Ownership;
using namespace Chervilpin::Core::Literals;

namespace {

const Core::HalfName east("east");
const Core::HalfName west("west");

/// A fleet in which each node has a handover coordinator.
struct OwnedFleet
{
    explicit OwnedFleet(const HandoverPolicy &policy = {})
    {
        for (auto &node : fleet.nodes)
            coordinators.push_back(std::make_unique<HandoverCoordinator>(node.manager, policy));
        fleet.afterTick = [this](std::size_t node) {
            fleet.carryOut(node, coordinators[node]->tick(fleet.now));
        };
        desire(east);
        fleet.run(1_s);
        fleet.callers = {0, 1, 2};
        fleet.run(200_ms);
        fleet.longestGap = {};
    }

    void desire(const Core::HalfName &owner)
    {
        for (auto &coordinator : coordinators)
            coordinator->setDesired(FakeFleet::groupName(), owner, fleet.now);
    }

    [[nodiscard]] HandoverState state(std::size_t node) const
    {
        return coordinators[node]->status(FakeFleet::groupName())->state;
    }

    /// The node that drives a change, which is the first watcher.
    [[nodiscard]] std::size_t driver() const
    {
        for (std::size_t node = 0; node < fleet.nodes.size(); ++node)
            if (fleet.nodes[node].manager.view(FakeFleet::groupName())->watcherRank == 0)
                return node;
        return 0;
    }

    /// Runs until the driver is in a state, at most for two seconds.
    void runUntil(HandoverState wanted)
    {
        for (int step = 0; step < 200 && state(driver()) != wanted; ++step)
            fleet.run(10_ms);
    }

    /// Whether every live node serves for this owner, under one term.
    [[nodiscard]] bool belongsTo(const Core::HalfName &owner) const
    {
        for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
            const auto &known = fleet.nodes[node].known.back();
            const bool isPlaced = known.owner == owner
                && known.term == fleet.nodes[1].known.back().term
                && state(node) == HandoverState::Serving;
            if (fleet.nodes[node].isAlive && !fleet.nodes[node].isPaused && !isPlaced)
                return false;
        }
        return true;
    }

    /// No term has acknowledged writes of two owners, and the owner changes only with the term.
    [[nodiscard]] bool hasOneOwnerPerTerm() const
    {
        std::map<Core::Term, Core::HalfName> owners;
        for (const auto &write : fleet.acknowledged)
            if (owners.emplace(write.mark.term, write.owner).first->second != write.owner)
                return false;
        return true;
    }

    FakeFleet fleet;
    std::vector<std::unique_ptr<HandoverCoordinator>> coordinators;
};

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
    owned.fleet.platform.mode = PlatformMode::Out;
}

void cutDriverFromPlatform(OwnedFleet &owned)
{
    owned.fleet.platformCut.insert(owned.driver());
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
                + ": " + owned.fleet.broken;
            CHECK_TEXT(owned.fleet.broken.empty(), what.c_str());
            CHECK_TEXT(owned.hasOneOwnerPerTerm(), what.c_str());
            CHECK_TEXT(owned.belongsTo(fault.owner), what.c_str());
            CHECK_TEXT(owned.fleet.now - owned.fleet.lastServed < 100_ms, what.c_str());
            CHECK_TEXT(owned.fleet.longestGap <= 2500_ms, what.c_str());

            for (std::size_t node = 0; node < 3; ++node)
                owned.fleet.wake(node);
            owned.fleet.run(3_s);
            CHECK_TEXT(owned.fleet.broken.empty(), what.c_str());
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
    STRCMP_EQUAL("", owned.fleet.broken.c_str());
}
