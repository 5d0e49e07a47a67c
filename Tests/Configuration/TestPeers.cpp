#include <Tests/Configuration/Fleet.h>

#include <Configuration/RelayCodec.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Configuration;
using namespace Chervilpin::Testing;

namespace {

constexpr std::uint64_t seed = 11;

std::string changeText(Revision revision, std::uint64_t previousDigest, const std::string &nonce)
{
    Change change = changeFor(putTeam(900, "stranger", 5), *Snapshot::empty());
    change.revision = revision;
    change.previousDigest = previousDigest;
    change.nonce = nonce;
    return encodeChange(change);
}

std::string snapshotPart(Revision revision, std::uint32_t index, std::uint32_t count)
{
    const auto snapshot = Snapshot::create({revision, 1, {}, {}});
    return encodeRelayMessage(RelaySnapshotPart{revision, index, count, encodeSnapshot(*snapshot)});
}

} // namespace

TEST_GROUP(Peers)
{
    Fleet fleet{seed};

    void setup() override
    {
        fleet.add("a");
        fleet.add("b");
        fleet.run(Core::Duration(2'000));
        for (ProposalId id = 1; id <= 3; ++id)
            fleet.propose("a", putTeam(id, "team-" + std::to_string(id), 10));
        fleet.run(Core::Duration(2'000));
    }
};

TEST(Peers, WrongMessagesChangeNothing)
{
    CHECK(fleet.allAt(3));
    struct Row
    {
        const char *name;
        std::string payload;
    };
    const std::string own = encodeChange(changeFor(putTeam(1, "team-1", 10), *Snapshot::empty()));
    const Row rows[] = {
        {"empty", ""},
        {"garbage", std::string("\xff\x01\x80garbage")},
        {"text that is no change", encodeRelayMessage(RelayChanges{{"{\"revision\": 4}"}})},
        {"text that is no JSON", encodeRelayMessage(RelayChanges{{"]"}})},
        {"no changes", encodeRelayMessage(RelayChanges{})},
        {"a change that is in force, again", encodeRelayMessage(RelayChanges{{own, own}})},
        {"another change 2", encodeRelayMessage(RelayChanges{{changeText(2, 0, "other")}})},
        {"a change 4 of another log",
         encodeRelayMessage(RelayChanges{{changeText(4, 5, "other")}})},
        {"a change far ahead", encodeRelayMessage(RelayChanges{{changeText(9, 5, "other")}})},
        {"an older snapshot", snapshotPart(2, 0, 1)},
        {"a part out of range", snapshotPart(9, 3, 2)},
        {"no parts at all", snapshotPart(9, 0, 0)},
        {"too many parts", snapshotPart(9, 0, 1'000'000)},
        {"an advert of an older revision", encodeRelayMessage(RelayAdvert{1, 1})},
        {"a fetch from far ahead", encodeRelayMessage(RelayFetch{77})},
    };
    const auto before = fleet.node("b").snapshot()->contents();
    for (const Row &row : rows) {
        const Peer::Incoming incoming{Core::NodeName("a"), 1, Peer::MessageKind::Configuration,
                                      row.payload};
        fleet.deliver("b", incoming);
        fleet.deliver("b", incoming);
        fleet.run(Core::Duration(100));
        CHECK_TEXT(fleet.node("b").snapshot()->contents() == before, row.name);
    }
    CHECK(!fleet.wentBack());
    CHECK(fleet.events(EventKind::PeerGarbage) > 0);
    CHECK(fleet.events(EventKind::LogForked) > 0);
}

TEST(Peers, WithoutTheGuardAnOlderSnapshotWouldRevertTheConfiguration)
{
    fleet.add("c", [](Settings &settings) { settings.guards.neverGoesBack = false; });
    fleet.run(Core::Duration(2'000));
    CHECK(fleet.allAt(3));
    ChangeLog log(Guards{.neverGoesBack = false}, 8);
    CHECK(log.adopt(Snapshot::create({3, 1, {}, {}})));
    CHECK(log.adopt(Snapshot::create({2, 1, {}, {}})));
    LONGS_EQUAL(2, log.revision());
    ChangeLog guarded(Guards{}, 8);
    CHECK(guarded.adopt(Snapshot::create({3, 1, {}, {}})));
    CHECK(!guarded.adopt(Snapshot::create({2, 1, {}, {}})));
    LONGS_EQUAL(3, guarded.revision());
}

TEST(Peers, WithoutTheChainAChangeOfAnotherLogWouldBeApplied)
{
    const std::string foreign = changeText(1, 5, "other");
    ChangeLog guarded(Guards{}, 8);
    CHECK(guarded.append(foreign) == AppendResult::Forked);
    LONGS_EQUAL(0, guarded.revision());
    ChangeLog unguarded(Guards{.checksChain = false}, 8);
    CHECK(unguarded.append(foreign) == AppendResult::Applied);
}

TEST(Peers, ALossyNetworkStillBringsAllChangesEverywhere)
{
    fleet.lossPercent = 30;
    for (int i = 0; i < 20; ++i)
        fleet.add("node-" + std::to_string(i));
    fleet.run(Core::Duration(3'000));
    for (ProposalId id = 11; id <= 15; ++id)
        fleet.propose("a", putTeam(id, "team-" + std::to_string(id), 10));
    fleet.run(Core::Duration(20'000));
    CHECK(fleet.allAt(8));
    CHECK(!fleet.wentBack());
}
