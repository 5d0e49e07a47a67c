#include <Tests/Configuration/Fleet.h>

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Configuration;
using namespace Chervilpin::Testing;

namespace {

constexpr std::uint64_t seed = 7;
const Core::TeamName brokers("brokers");

bool isPut(const Platform::CallBody &body)
{
    return std::holds_alternative<Platform::Put>(body);
}

bool isChangePut(const Platform::CallBody &body)
{
    const auto *put = std::get_if<Platform::Put>(&body);
    return put != nullptr && put->key.starts_with(changePrefix);
}

bool any(const Platform::CallBody &)
{
    return true;
}

std::uint32_t rateOf(const Manager &node, const Core::TeamName &name)
{
    const TeamSpec *team = node.snapshot()->findTeam(name);
    return team == nullptr ? 0 : team->ratePerSecond;
}

/// A change of an existing team, bound to the version its author saw.
Proposal changeRate(ProposalId id, std::uint32_t rate, Revision seen)
{
    Proposal proposal = putTeam(id, brokers.value(), rate);
    proposal.items.erase(proposal.items.begin());
    proposal.items.front().expectedVersion = seen;
    return proposal;
}

} // namespace

TEST_GROUP(Manager)
{
    Fleet fleet{seed};

    void start(const std::vector<std::string> &names)
    {
        for (const std::string &name : names)
            fleet.add(name);
        fleet.run(Core::Duration(2'000));
    }

    /// Starts three nodes with the team in force at revision 1.
    void startWithTeam()
    {
        start({"a", "b", "c"});
        fleet.propose("a", putTeam(100, brokers.value(), 10));
        fleet.run(Core::Duration(1'000));
        CHECK(fleet.allAt(1));
    }

    ProposalOutcome outcome(ProposalId id)
    {
        const ProposalAnswer *answer = fleet.answer(id);
        CHECK(answer != nullptr);
        return answer == nullptr ? ProposalOutcome::Unavailable : answer->outcome;
    }
};

TEST(Manager, AnAcceptedChangeIsInForceEverywhere)
{
    start({"a", "b", "c"});
    fleet.propose("a", putTeam(1, "brokers", 10));
    fleet.run(Core::Duration(1'000));
    CHECK(outcome(1) == ProposalOutcome::Accepted);
    CHECK(fleet.allAt(1));
    LONGS_EQUAL(10, rateOf(fleet.node("c"), brokers));
}

TEST(Manager, NothingIsAcceptedBeforeTheLogHoldsIt)
{
    start({"a", "b", "c"});
    fleet.propose("a", putTeam(1, "brokers", 10));
    CHECK(fleet.answer(1) == nullptr);
    CHECK(fleet.allAt(0));
}

TEST(Manager, FaultsOfThePlatformDuringAProposalAreToldTruthfully)
{
    struct Row
    {
        const char *name;
        bool (*applies)(const Platform::CallBody &);
        StoreFault fault;
        int times;
        std::vector<ProposalOutcome> allowed;
    };
    constexpr int always = 1'000'000;
    const Row rows[] = {
        {"refused once", isPut, StoreFault::Refuse, 1, {ProposalOutcome::Accepted}},
        {"answer lost once", isPut, StoreFault::LoseAnswer, 1, {ProposalOutcome::Accepted}},
        {"answer lost three times", isPut, StoreFault::LoseAnswer, 3, {ProposalOutcome::Accepted}},
        {"call lost once", isPut, StoreFault::LoseCall, 1, {ProposalOutcome::Accepted}},
        {"down for a while", any, StoreFault::Refuse, 10, {ProposalOutcome::Accepted}},
        {"down", any, StoreFault::Refuse, always, {ProposalOutcome::Unavailable}},
        {"silent", any, StoreFault::LoseCall, always, {ProposalOutcome::Unknown}},
        {"writes refused", isPut, StoreFault::Refuse, always, {ProposalOutcome::Unavailable}},
        {"writes lost", isPut, StoreFault::LoseCall, always, {ProposalOutcome::Unknown}},
        {"answers to writes lost",
         isPut,
         StoreFault::LoseAnswer,
         always,
         {ProposalOutcome::Unknown, ProposalOutcome::Accepted}},
    };
    for (const Row &row : rows) {
        Fleet fresh{seed};
        for (const char *name : {"a", "b", "c"})
            fresh.add(name);
        fresh.run(Core::Duration(2'000));
        int left = row.times;
        fresh.fault = [&](const std::string &, const Platform::CallBody &body) {
            const bool strikes = row.applies(body) && left > 0;
            left -= strikes ? 1 : 0;
            return strikes ? row.fault : StoreFault::None;
        };
        fresh.propose("a", putTeam(1, "brokers", 10));
        fresh.run(Core::Duration(9'000));
        const ProposalAnswer *answer = fresh.answer(1);
        CHECK_TEXT(answer != nullptr, row.name);
        const bool isAllowed = std::ranges::count(row.allowed, answer->outcome) == 1;
        CHECK_TEXT(isAllowed, row.name);

        fresh.fault = {};
        fresh.run(Core::Duration(15'000));
        const bool isInLog = fresh.node("b").snapshot()->findNonce("nonce-1").has_value();
        if (answer->outcome == ProposalOutcome::Accepted)
            CHECK_TEXT(isInLog, row.name);
        if (answer->outcome == ProposalOutcome::Unavailable)
            CHECK_TEXT(!isInLog, row.name);
        CHECK_TEXT(fresh.allAt(isInLog ? 1 : 0), row.name);
        CHECK_TEXT(!fresh.wentBack(), row.name);
    }
}

TEST(Manager, ARetryOfAnAcceptedChangeIsRecognised)
{
    startWithTeam();
    fleet.propose("b", changeRate(1, 20, 1));
    fleet.run(Core::Duration(1'000));
    Proposal retry = changeRate(2, 20, 1);
    retry.nonce = "nonce-1";
    fleet.propose("c", retry);
    fleet.run(Core::Duration(1'000));
    CHECK(outcome(2) == ProposalOutcome::Accepted);
    LONGS_EQUAL(2, fleet.answer(2)->revision);
    CHECK(fleet.allAt(2));
}

TEST(Manager, WithoutNoncesALostAnswerWouldBeCalledAConflict)
{
    fleet.add("a", [](Settings &settings) { settings.guards.recognisesNonces = false; });
    fleet.run(Core::Duration(2'000));
    int left = 1;
    fleet.fault = [&](const std::string &, const Platform::CallBody &body) {
        return isChangePut(body) && left-- > 0 ? StoreFault::LoseAnswer : StoreFault::None;
    };
    Proposal proposal = putTeam(1, "brokers", 10);
    proposal.items.back().expectedVersion = 0;
    fleet.propose("a", proposal);
    fleet.run(Core::Duration(2'000));
    CHECK(outcome(1) == ProposalOutcome::Conflict);
}

TEST(Manager, OfTwoRacingOperatorsOneWinsAndTheOtherIsTold)
{
    startWithTeam();
    fleet.propose("a", changeRate(1, 20, 1));
    fleet.propose("b", changeRate(2, 30, 1));
    fleet.run(Core::Duration(2'000));
    const ProposalId loser = outcome(1) == ProposalOutcome::Accepted ? 2 : 1;
    const ProposalId winner = 3 - loser;
    CHECK(outcome(winner) == ProposalOutcome::Accepted);
    CHECK(outcome(loser) == ProposalOutcome::Conflict);
    STRCMP_EQUAL(("operator-" + std::to_string(winner)).c_str(),
                 fleet.answer(loser)->winner.c_str());
    STRCMP_EQUAL("Team/brokers.resource_version", fleet.answer(loser)->errors.front().path.c_str());
    CHECK(fleet.allAt(2));
}

TEST(Manager, WithoutVersionsTheLoserOfARaceWouldOverwriteTheWinner)
{
    for (const char *name : {"a", "b"})
        fleet.add(name, [](Settings &settings) { settings.guards.checksVersions = false; });
    fleet.run(Core::Duration(2'000));
    fleet.propose("a", putTeam(100, "brokers", 10));
    fleet.run(Core::Duration(1'000));
    fleet.propose("a", changeRate(1, 20, 1));
    fleet.propose("b", changeRate(2, 30, 1));
    fleet.run(Core::Duration(2'000));
    CHECK(outcome(1) == ProposalOutcome::Accepted);
    CHECK(outcome(2) == ProposalOutcome::Accepted);
}

TEST(Manager, RacingChangesOfDifferentResourcesAreBothAccepted)
{
    startWithTeam();
    fleet.propose("a", putTeam(1, "clerks", 20));
    fleet.propose("b", putTeam(2, "kitchens", 30));
    fleet.propose("c", putTeam(3, "importers", 30));
    fleet.run(Core::Duration(2'000));
    for (const ProposalId id : {1, 2, 3})
        CHECK(outcome(id) == ProposalOutcome::Accepted);
    CHECK(fleet.allAt(4));
}

TEST(Manager, AStartingNodeGetsTheConfigurationFromPeersWhileThePlatformIsOut)
{
    struct Row
    {
        const char *name;
        std::size_t heldChanges; ///< 1: peers can only send a snapshot.
    };
    const Row rows[] = {{"changes", 512}, {"snapshot", 1}};
    for (const Row &row : rows) {
        Fleet fresh{seed};
        const auto adjust = [&](Settings &settings) {
            settings.heldChanges = row.heldChanges;
            settings.peerPartBytes = 64;
        };
        fresh.add("a", adjust);
        fresh.add("b", adjust);
        fresh.run(Core::Duration(2'000));
        for (ProposalId id = 1; id <= 3; ++id)
            fresh.propose("a", putTeam(id, "team-" + std::to_string(id), 10));
        fresh.run(Core::Duration(2'000));
        fresh.fault = [](const std::string &, const Platform::CallBody &) {
            return StoreFault::Refuse;
        };
        fresh.add("c", adjust);
        fresh.run(Core::Duration(1'000));
        CHECK_TEXT(fresh.allAt(3), row.name);
        CHECK_TEXT(fresh.node("c").snapshot()->contents() == fresh.node("a").snapshot()->contents(),
                   row.name);
    }
}

TEST(Manager, ANodeThatWasCutOffDoesNotBringAnOldRevisionBack)
{
    startWithTeam();
    fleet.isCut = [](const std::string &from, const std::string &to) {
        return from == "c" || to == "c";
    };
    fleet.fault = [](const std::string &node, const Platform::CallBody &) {
        return node == "c" ? StoreFault::Refuse : StoreFault::None;
    };
    fleet.propose("a", changeRate(1, 20, 1));
    fleet.run(Core::Duration(1'000));
    fleet.propose("a", changeRate(2, 30, 2));
    fleet.run(Core::Duration(2'000));
    LONGS_EQUAL(10, rateOf(fleet.node("c"), brokers));
    fleet.isCut = {};
    fleet.fault = {};
    fleet.run(Core::Duration(15'000));
    CHECK(fleet.allAt(3));
    CHECK(!fleet.wentBack());
    LONGS_EQUAL(30, rateOf(fleet.node("c"), brokers));
}

TEST(Manager, AStoreThatIsWipedBackIsReportedAndRepaired)
{
    startWithTeam();
    const auto old = fleet.store.contents();
    const auto oldRevision = fleet.store.revision();
    fleet.propose("a", changeRate(1, 20, 1));
    fleet.run(Core::Duration(1'000));
    fleet.store.restore(old, oldRevision);
    fleet.run(Core::Duration(30'000));
    CHECK(!fleet.wentBack());
    CHECK(fleet.allAt(2));
    CHECK(fleet.events(EventKind::StoreWentBack) > 0);
    CHECK(fleet.store.has(changeKey(2)));
    // A node that starts alone finds the whole log again.
    fleet.isCut = [](const std::string &, const std::string &) {
        return true;
    };
    fleet.add("d");
    fleet.run(Core::Duration(5'000));
    LONGS_EQUAL(20, rateOf(fleet.node("d"), brokers));
}

TEST(Manager, AnEmptiedStoreGetsASnapshotOfWhatIsInForce)
{
    startWithTeam();
    fleet.store.restore({}, 0);
    fleet.run(Core::Duration(30'000));
    CHECK(fleet.allAt(1));
    CHECK(fleet.store.has(std::string(headKey)));
}

TEST(Manager, OlderAnswersOfTheStoreAreIgnored)
{
    startWithTeam();
    fleet.store.readsFrom = fleet.store.contents();
    fleet.propose("a", changeRate(1, 20, 1));
    fleet.run(Core::Duration(5'000));
    CHECK(outcome(1) == ProposalOutcome::Accepted);
    CHECK(fleet.allAt(2));
    fleet.run(Core::Duration(15'000));
    CHECK(fleet.allAt(2));
    CHECK(!fleet.wentBack());
    CHECK(fleet.events(EventKind::StoreWentBack) > 0);
}

TEST(Manager, FaultyWatchesDelayChangesButLoseNone)
{
    struct Row
    {
        const char *name;
        WatchFault watchFault;
        StoreFault watchCallFault;
    };
    const Row rows[] = {
        {"sound", WatchFault::None, StoreFault::None},
        {"skips", WatchFault::Skips, StoreFault::None},
        {"ends at once", WatchFault::EndsAtOnce, StoreFault::None},
        {"answer lost", WatchFault::None, StoreFault::LoseAnswer},
        {"refused", WatchFault::None, StoreFault::Refuse},
    };
    for (const Row &row : rows) {
        Fleet fresh{seed};
        // Without messages between peers the platform is the only way.
        fresh.isCut = [](const std::string &, const std::string &) {
            return true;
        };
        fresh.store.watchFault = row.watchFault;
        fresh.fault = [&](const std::string &, const Platform::CallBody &body) {
            const bool isWatch = std::holds_alternative<Platform::Watch>(body);
            return isWatch ? row.watchCallFault : StoreFault::None;
        };
        fresh.add("a");
        fresh.add("b");
        fresh.run(Core::Duration(2'000));
        for (ProposalId id = 1; id <= 3; ++id)
            fresh.propose("a", putTeam(id, "team-" + std::to_string(id), 10));
        fresh.run(Core::Duration(20'000));
        CHECK_TEXT(fresh.allAt(3), row.name);
        // Failed watches are repeated after a pause: at most four calls per half second and node.
        CHECK_TEXT(fresh.calls < 2 * 4 * 2 * 22 + 100, row.name);
    }
}

TEST(Manager, OnlyAFewNodesWatchThePlatform)
{
    for (int i = 0; i < 12; ++i)
        fleet.add("node-" + std::to_string(i));
    fleet.run(Core::Duration(3'000));
    int watchers = 0;
    for (int i = 0; i < 12; ++i)
        watchers += fleet.node("node-" + std::to_string(i)).isWatching() ? 1 : 0;
    LONGS_EQUAL(2, watchers);
    fleet.propose("node-3", putTeam(1, "brokers", 10));
    fleet.run(Core::Duration(3'000));
    CHECK(fleet.allAt(1));
}

namespace {

/// A node that knew nothing of a long log puts its first change; returns the revision it was told.
Revision acceptedRevisionOfLateProposer(bool keepsTombstones)
{
    Fleet fleet{seed};
    const auto adjust = [&](Settings &settings) {
        settings.snapshotEvery = 2;
        settings.retainedChanges = 1;
        settings.guards.keepsTombstones = keepsTombstones;
    };
    fleet.add("a", adjust);
    fleet.run(Core::Duration(2'000));
    for (ProposalId id = 1; id <= 8; ++id) {
        fleet.propose("a", putTeam(id, brokers.value(), 9 + static_cast<std::uint32_t>(id)));
        fleet.run(Core::Duration(1'000));
    }
    fleet.isCut = [](const std::string &, const std::string &) {
        return true;
    };
    fleet.add("late", adjust);
    fleet.propose("late", putTeam(100, "clerks", 5));
    fleet.run(Core::Duration(7'000));
    const ProposalAnswer *answer = fleet.answer(100);
    return answer != nullptr && answer->outcome == ProposalOutcome::Accepted ? answer->revision : 0;
}

} // namespace

TEST(Manager, TheNumberOfADeletedChangeIsNotGivenToAnother)
{
    LONGS_EQUAL(9, acceptedRevisionOfLateProposer(true));
}

TEST(Manager, WithoutTombstonesALateProposerWouldBeToldThatItsLostChangeIsAccepted)
{
    LONGS_EQUAL(1, acceptedRevisionOfLateProposer(false));
}

TEST(Manager, SnapshotsBoundTheLogInThePlatform)
{
    const auto adjust = [](Settings &settings) {
        settings.snapshotEvery = 4;
        settings.retainedChanges = 3;
        settings.platformPartBytes = 100;
    };
    fleet.add("a", adjust);
    fleet.run(Core::Duration(2'000));
    for (ProposalId id = 1; id <= 30; ++id) {
        fleet.propose("a", putTeam(id, "brokers", 9 + static_cast<std::uint32_t>(id)));
        fleet.run(Core::Duration(2'000));
    }
    fleet.run(Core::Duration(10'000));
    CHECK(fleet.allAt(30));
    std::size_t whole = 0;
    for (const auto &[key, object] : fleet.store.contents())
        whole += key.starts_with(changePrefix) && object.value != tombstone ? 1 : 0;
    CHECK(whole <= 3 + 4);
    fleet.isCut = [](const std::string &, const std::string &) {
        return true;
    };
    fleet.add("late", adjust);
    fleet.run(Core::Duration(5'000));
    CHECK(fleet.allAt(30));
    CHECK(fleet.node("late").snapshot()->contents() == fleet.node("a").snapshot()->contents());
}
