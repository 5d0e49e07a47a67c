#include <Failover/PeerMessages.h>
#include <Failover/TermReservation.h>
#include <Failover/WatcherSelection.h>
#include <Tests/Failover/FakeFleet.h>

#include <CppUTest/TestHarness.h>
#include <set>

using namespace Chervilpin;
using namespace Chervilpin::Failover;
using namespace Chervilpin::Failover::Fakes;
using namespace Chervilpin::Core::Literals;

namespace {

/// Reservations of several nodes on one platform, whose calls are answered immediately.
struct ReservingNodes
{
    explicit ReservingNodes(std::size_t count)
    {
        std::vector<Core::NodeName> holders;
        for (std::size_t index = 0; index < count; ++index)
            holders.push_back(FakeFleet::nodeName(index));
        for (std::size_t index = 0; index < count; ++index) {
            nodes.emplace_back(ThisNode{holders[index], FakeFleet::dataCentre(index), 1, 0},
                               FakeFleet::group(), FailoverPolicy{}, Core::Random(index + 1));
            nodes.back().setHolders(holders);
        }
    }

    void run(Core::Duration span)
    {
        const Core::Instant end = now + span;
        for (; now < end; now = now + 10_ms)
            for (auto &node : nodes)
                if (const auto call = node.tick(now))
                    node.replied(platform.take(*call), now);
    }

    [[nodiscard]] TermObject stored() const
    {
        return *TermObject::fromJson(platform.objects.at(termKey(FakeFleet::groupName())).value);
    }

    Core::Instant now{1000};
    FakePlatform platform;
    std::vector<TermReservation> nodes;
};

struct PlatformFault
{
    const char *name;
    void (*before)(ReservingNodes &);
    void (*after)(ReservingNodes &);
};

const PlatformFault platformFaults[] = {
    {"none", [](ReservingNodes & /*all*/) {},
     [](ReservingNodes & /*all*/) {
     }},
    {"platform unavailable",
     [](ReservingNodes &all) { all.platform.mode = PlatformMode::Unavailable; },
     [](ReservingNodes &all) {
         all.platform.mode = PlatformMode::Up;
     }},
    {"answers lost after the effect",
     [](ReservingNodes &all) { all.platform.mode = PlatformMode::LosesAnswers; },
     [](ReservingNodes &all) {
         all.platform.mode = PlatformMode::Up;
     }},
    {"object deleted", [](ReservingNodes &all) { all.platform.objects.clear(); },
     [](ReservingNodes & /*all*/) {
     }},
    {"object corrupted",
     [](ReservingNodes &all) {
         auto &object = all.platform.objects[termKey(FakeFleet::groupName())];
         object.value = "{";
         ++object.version;
     },
     [](ReservingNodes & /*all*/) {
     }},
};

} // namespace

TEST_GROUP(TermReservation){};

TEST(TermReservation, NoTermIsGrantedTwiceUnderPlatformFaults)
{
    for (const auto &platformFault : platformFaults) {
        ReservingNodes all(3);
        std::set<Core::Term> used;
        for (int round = 0; round < 4; ++round) {
            all.run(1_s);
            platformFault.before(all);
            for (auto &node : all.nodes) {
                if (!node.reservedTerm())
                    continue;
                CHECK_TEXT(used.insert(*node.reservedTerm()).second, platformFault.name);
                node.consumeReservedTerm();
            }
            all.run(1_s);
            platformFault.after(all);
            all.run(10_s);
        }
        LONGS_EQUAL_TEXT(12, used.size(), platformFault.name);
        LONGS_EQUAL_TEXT(3, all.stored().reservations.size(), platformFault.name);
    }
}

TEST(TermReservation, LostAnswerIsRecognisedAndNothingIsReservedTwice)
{
    ReservingNodes all(1);
    all.platform.mode = PlatformMode::LosesAnswers;
    all.run(10_s);
    all.platform.mode = PlatformMode::Up;
    all.run(10_s);
    LONGS_EQUAL(1, *all.nodes[0].reservedTerm());
    LONGS_EQUAL(1, all.stored().highestGranted);
}

TEST(TermReservation, UnchangedObjectIsReadOncePerRefreshInterval)
{
    ReservingNodes all(3);
    all.run(5_s);
    all.platform.calls = 0;
    all.run(120_s);
    CHECK(all.platform.calls <= 3 * 120 / 30 + 3);
}

TEST(TermReservation, SupersededTermIsReplaced)
{
    ReservingNodes all(3);
    all.run(1_s);
    for (auto &node : all.nodes)
        node.recordSeenTerm(100);
    CHECK(!all.nodes[0].reservedTerm().has_value());
    all.run(1_s);
    for (auto &node : all.nodes)
        CHECK(node.reservedTerm().value_or(0) > 100);
}

TEST(TermReservation, DeadHoldersAreReplacedAndReleasedReservationsRemoved)
{
    ReservingNodes all(4);
    std::vector<Core::NodeName> holders{FakeFleet::nodeName(0), FakeFleet::nodeName(1),
                                        FakeFleet::nodeName(2)};
    for (auto &node : all.nodes)
        node.setHolders(holders);
    all.run(1_s);
    CHECK(!all.nodes[3].reservedTerm().has_value());
    holders[0] = FakeFleet::nodeName(3);
    for (auto &node : all.nodes)
        node.setHolders(holders);
    all.run(1_s);
    CHECK(all.nodes[3].reservedTerm().has_value());
    CHECK(all.stored().reservationOf(FakeFleet::nodeName(0)) == nullptr);
    all.nodes[3].release();
    all.run(1_s);
    CHECK(!all.nodes[3].reservedTerm().has_value());
    CHECK(all.stored().reservationOf(FakeFleet::nodeName(3)) == nullptr);
}

TEST(TermReservation, OwnerOfATermIsFixedWhenItIsGranted)
{
    ReservingNodes all(2);
    all.run(1_s);
    const Core::Term reserved = *all.nodes[0].reservedTerm();
    all.nodes[1].requestOwnership(Core::HalfName("west"));
    all.run(1_s);
    const Core::Term changed = *all.nodes[1].ownershipTerm();
    const TermObject object = all.stored();
    CHECK(changed > reserved);
    CHECK(*object.ownerIn(reserved) == Core::HalfName("east"));
    CHECK(*object.ownerIn(changed) == Core::HalfName("west"));
    CHECK(!object.ownerIn(object.highestGranted + 1).has_value());
}

TEST(TermReservation, WatchersAreInDifferentDataCentres)
{
    std::vector<PeerNode> nodes;
    for (std::size_t index = 0; index < 9; ++index)
        nodes.push_back({FakeFleet::nodeName(index), FakeFleet::dataCentre(index % 3)});
    std::set<Core::DataCentreName> dataCentres;
    for (const auto &node : selectWatchers(FakeFleet::groupName(), nodes, 3))
        dataCentres.insert(node.dataCentre);
    LONGS_EQUAL(3, dataCentres.size());
    nodes.resize(1);
    LONGS_EQUAL(1, selectWatchers(FakeFleet::groupName(), nodes, 3).size());
}

TEST(TermReservation, WithoutTermAndPlatformNoPromotionStartsAndItIsLogged)
{
    FakeFleet fleet;
    fleet.run(1_s);
    fleet.platform.mode = PlatformMode::Unavailable;
    for (int failover = 0; failover < 4; ++failover) {
        fleet.kill(failover % 2 == 0 ? 0 : 1);
        fleet.run(3_s);
        LONGS_EQUAL(std::min(failover + 1, 3), fleet.count("promotion_started"));
        fleet.hosts[FakeFleet::database(0)].isAlive = failover != 3;
        fleet.hosts[FakeFleet::database(1)].isAlive = true;
        fleet.run(3_s);
    }
    for (const auto &node : fleet.nodes)
        CHECK(std::ranges::count(node.events, "failover_without_term") > 0);
    fleet.platform.mode = PlatformMode::Up;
    fleet.run(8_s);
    CHECK(fleet.serves(1));
}

TEST(TermReservation, MalformedInputIsAnError)
{
    for (const char *text : {"", "{", "[]", "{}", R"({"highest_granted":-1})",
                             R"({"highest_granted":1,"reservations":[1],"current":{}})"})
        CHECK(!TermObject::fromJson(text).has_value());
    for (const char *payload : {"", "\x0a", "\xff\xff\xff", "\x12\x02\x20\x63", "\x1a\x00"})
        CHECK(!decode(payload).has_value());
}

TEST(TermReservation, MessagesRoundTrip)
{
    const GroupState state{FakeFleet::groupName(), 7, FakeFleet::database(1),
                           Core::HalfName("west")};
    const auto decoded = decode(encode(state));
    CHECK(decoded.has_value());
    const auto &back = std::get<GroupState>(*decoded);
    CHECK(back.group == state.group && back.term == 7 && back.primary == state.primary);
    CHECK(back.owner == state.owner);
    const auto verdict = decode(encode(
        PeerVerdict{state.group, state.primary, 3, Health::Unreachable, FakeFleet::dataCentre(1)}));
    CHECK(std::get<PeerVerdict>(*verdict).health == Health::Unreachable);
    const auto notice = decode(encode(DrainingNotice{state.group, 8, 1000000_ms}));
    CHECK(std::get<DrainingNotice>(*notice).remaining <= 2_s);
}
