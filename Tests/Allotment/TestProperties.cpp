#include <rapidcheck.h>

#include <Tests/Allotment/FaultScenario.h>

#include <Allotment/Codec.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Allotment;
using namespace Chervilpin::Core::Literals;

namespace {

enum class Event {
    Pause,
    Resume,
    Kill,
    Restart,
    Leave,
    Partition,
    HealPartition,
    MovePlatform,
    PlatformUnavailable,
    PlatformAvailable,
    LoseMessages,
    DuplicateMessages,
    DelayMessages,
    LoseReplies,
    ClearFaults,
    ForgetMembers,
    AnnounceMembers,
    Count,
};

void leave(FakeFleet &fleet, std::size_t index)
{
    FakeNode &node = fleet.node(index);
    node.manager->leave(fleet.local(node));
}

void forgetMembers(FakeFleet &fleet, std::size_t index)
{
    FakeNode &node = fleet.node(index);
    const std::vector<Core::NodeName> onlyItself = {node.name};
    node.manager->setMembers(onlyItself, fleet.local(node));
}

void apply(Event event, std::size_t index, FakeFleet &fleet)
{
    switch (event) {
    case Event::Pause:
        return fleet.pause(index);
    case Event::Resume:
        return fleet.resume(index);
    case Event::Kill:
        return fleet.kill(index);
    case Event::Restart:
        return fleet.restart(index);
    case Event::Leave:
        return leave(fleet, index);
    case Event::Partition:
        fleet.isPartitioned = true;
        fleet.node(index).partition = 1 - fleet.node(index).partition;
        return;
    case Event::HealPartition:
        fleet.isPartitioned = false;
        return;
    case Event::MovePlatform:
        fleet.platformPartition = 1 - fleet.platformPartition;
        return;
    case Event::PlatformUnavailable:
        fleet.faults.isPlatformUnavailable = true;
        return;
    case Event::PlatformAvailable:
        fleet.faults.isPlatformUnavailable = false;
        return;
    case Event::LoseMessages:
        fleet.faults.lostPerMille = 200;
        return;
    case Event::DuplicateMessages:
        fleet.faults.duplicatedPerMille = 300;
        return;
    case Event::DelayMessages:
        fleet.faults.delayedPerMille = 300;
        return;
    case Event::LoseReplies:
        fleet.faults.platformRepliesLostPerMille = 500;
        return;
    case Event::ClearFaults:
        fleet.faults = Faults();
        return;
    case Event::ForgetMembers:
        return forgetMembers(fleet, index);
    case Event::AnnounceMembers:
        return fleet.announceMembers();
    case Event::Count:
        return;
    }
}

bool propertyHolds(const char *description, const rc::detail::Property &property, int runs)
{
    rc::detail::TestMetadata metadata;
    metadata.id = description;
    metadata.description = description;
    rc::detail::TestParams parameters;
    parameters.seed = 20260101;
    parameters.maxSuccess = runs;
    const auto result = rc::detail::checkProperty(property, metadata, parameters);
    if (!result.is<rc::detail::SuccessResult>())
        rc::detail::printResultMessage(result, std::cerr);
    return result.is<rc::detail::SuccessResult>();
}

int integerInRange(int from, int below)
{
    return *rc::gen::inRange(from, below);
}

} // namespace

TEST_GROUP(Properties){};

TEST(Properties, NoSequenceOfEventsExceedsALimit)
{
    const auto property = [] {
        FaultScenario trial(Options(), static_cast<std::uint64_t>(integerInRange(0, 1'000'000)));
        trial.run(Core::Duration(integerInRange(0, 4000)));
        const int events = integerInRange(1, 12);
        for (int i = 0; i < events; ++i) {
            const auto event =
                static_cast<Event>(integerInRange(0, static_cast<int>(Event::Count)));
            const auto index =
                static_cast<std::size_t>(integerInRange(0, FaultScenario::nodeCount));
            apply(event, index, trial.fleet);
            trial.run(Core::Duration(integerInRange(0, 6000)));
            RC_ASSERT(trial.violations().tokens == 0);
            RC_ASSERT(trial.violations().connections == 0);
        }
    };
    CHECK(propertyHolds("no sequence of events exceeds a limit", rc::detail::toProperty(property),
                        60));
}

TEST(Properties, PartsSumToTheLimit)
{
    const auto property = [] {
        const ShareTable table((Options()));
        const ResourceLimit limit = ResourceLimit::tokens(
            Core::TeamName("a"), *rc::gen::inRange<MicroUnits>(1, 100'000 * microUnitsPerUnit),
            *rc::gen::inRange<std::int64_t>(0, 200'000));
        std::int64_t capacity = 0;
        MicroUnits rate = 0;
        for (std::uint32_t index = 0; index < table.shareCount(); ++index) {
            capacity += table.part(limit, index).capacity;
            rate += table.part(limit, index).ratePerSecond;
        }
        RC_ASSERT(capacity == limit.capacity);
        RC_ASSERT(limit.capacity == 0 || rate <= limit.ratePerSecond);
        RC_ASSERT(limit.capacity == 0 || rate > limit.ratePerSecond - table.shareCount());
    };
    CHECK(propertyHolds("parts sum to the limit", rc::detail::toProperty(property), 500));
}

TEST(Properties, ArbitraryBytesNeverCrashANode)
{
    const auto property = [] {
        const auto bytes = *rc::gen::arbitrary<std::string>();
        FakeFleet fleet(1, Options(), 1);
        fleet.setLimits({ResourceLimit::tokens(Core::TeamName("a"), microUnitsPerUnit, 5)});
        const Peer::Incoming incoming{Core::NodeName("b"), 1, Peer::MessageKind::Allotment, bytes};
        FakeNode &node = fleet.node(0);
        const auto actions = node.manager->peerMessage(incoming, fleet.local(node));
        RC_ASSERT(actions.size() <= 1U);
    };
    CHECK(
        propertyHolds("arbitrary bytes never crash a node", rc::detail::toProperty(property), 300));
}

TEST(Properties, MessagesSurviveTheirEncoding)
{
    const Ask ask{{2, 3}, 77, {{ResourceName("team/a"), 1, 2, 3, 4, 5, 6}}};
    const auto decoded = Codec::decodeMessage(Codec::encode(Message(ask)));
    CHECK(decoded.has_value());
    const Ask &read = std::get<Ask>(*decoded);
    CHECK(read.share == ask.share);
    LONGS_EQUAL(77, read.askId);
    LONGS_EQUAL(6, read.entries.front().heldEpoch);
    const Ask negative{{0, 0}, 1, {{ResourceName("team/a"), -1, 0, 0, 0, 0, 0}}};
    CHECK(!Codec::decodeMessage(Codec::encode(Message(negative))).has_value());
    const Claim claim{Core::NodeName("node-1"), 2, 3, 4, true, {Core::NodeName("node-2")}};
    CHECK(Codec::decodeClaim(Codec::encode(claim)) == claim);
    CHECK(!Codec::decodeClaim("").has_value());
}
