#include "EngineFixture.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>

using namespace Chervilpin;
using namespace Chervilpin::Sessions;
using namespace Chervilpin::Core::Literals;
using Testing::EngineFixture;

/// Which databases get statements while data centres are evacuated, where routes and teams are
/// limited to regions, and while a database is cold. The primary is in dc-1, the replicas are in
/// dc-2 and dc-3.
TEST_GROUP(Restrictions)
{
    EngineFixture fixture;
    std::vector<DatabaseEntry> entries = EngineFixture::entries();
    std::uint64_t nextVersion = 2;

    void setup() override
    {
        entries[1].dataCentre = Core::DataCentreName("dc-2");
        entries[2].dataCentre = Core::DataCentreName("dc-3");
        fixture.engine.setEvacuationGracePeriod(1'200_ms);
        fixture.engine.setRegions(RegionMap({
            {Core::DataCentreName("dc-1"), Core::RegionName("east")},
            {Core::DataCentreName("dc-2"), Core::RegionName("east")},
            {Core::DataCentreName("dc-3"), Core::RegionName("west")},
        }));
        listDirectory();
    }

    void listDirectory()
    {
        fixture.engine.directoryChanged(entries, fixture.now);
    }

    void evacuate(std::initializer_list<const char *> names)
    {
        const std::vector<Core::DataCentreName> dataCentres(names.begin(), names.end());
        fixture.engine.evacuationsChanged(dataCentres, fixture.now);
    }

    /// Sends reads from many sessions and answers each; returns how many each database got.
    std::map<std::string, unsigned> readMany(const char *route, unsigned count = 60)
    {
        std::map<std::string, unsigned> result;
        for (unsigned i = 0; i < count; ++i) {
            const SessionId session = fixture.open(route);
            fixture.send(session, StatementKind::Read, "1");
            for (const auto &statement : fixture.sent()) {
                ++result[fixture.databaseByConnection.at(statement.connection).value()];
                fixture.advance(1_ms);
                fixture.replySuccess(statement.connection, {1, 1'000});
            }
            fixture.advance(20_ms);
            (void)fixture.takeActions();
        }
        return result;
    }

    std::optional<AnswerSession> answerToWrite()
    {
        const SessionId session = fixture.open("own");
        fixture.send(session, StatementKind::Write, "1 x");
        const auto actions = fixture.takeActions();
        const auto sent = EngineFixture::actionsOf<SendStatement>(actions);
        for (const auto &statement : sent)
            fixture.replySuccess(statement.connection, {1, 1'000});
        auto answers = EngineFixture::actionsOf<AnswerSession>(actions);
        const auto later = fixture.answers();
        answers.insert(answers.end(), later.begin(), later.end());
        if (answers.empty())
            return {};
        return answers.front();
    }

    void limitRoutes(const std::vector<Core::RegionName> &regions)
    {
        auto table = EngineFixture::table(nextVersion++);
        for (auto &[name, route] : table->routes) {
            auto limited = std::make_shared<Route>(*route);
            limited->permittedRegions = regions;
            route = limited;
        }
        fixture.engine.configure(table, fixture.now);
    }
};

TEST(Restrictions, ReplicasOfAnEvacuatedDataCentreGetNoReadsUntilItIsWithdrawn)
{
    fixture.showPrimaryMark({1, 10});
    fixture.advance(2_s);
    CHECK(readMany("aged").contains("db-2"));
    evacuate({"dc-2"});
    CHECK(!readMany("aged").contains("db-2"));
    evacuate({});
    CHECK(readMany("aged").contains("db-2"));
}

TEST(Restrictions, ThePrimaryOfAnEvacuatedDataCentreIsUsedInTheGracePeriodOnly)
{
    evacuate({"dc-1"});
    CHECK(!answerToWrite()->failure.has_value());
    fixture.advance(1'200_ms);
    // The leader usually replaces the primary in the grace period, so statements wait for a moment.
    CHECK(!answerToWrite().has_value());
    fixture.advance(primaryOutageThreshold);
    (void)fixture.takeActions();
    const auto refused = answerToWrite();
    CHECK(refused.has_value() && refused->failure == Failure::Busy);
    evacuate({});
    CHECK(!answerToWrite()->failure.has_value());
}

TEST(Restrictions, StatementsResumeAtThePrimaryThatReplacesTheEvacuatedOne)
{
    evacuate({"dc-1"});
    fixture.advance(1'500_ms);
    fixture.grantLease(2, EngineFixture::replica, true);
    const auto answer = answerToWrite();
    CHECK(answer.has_value() && !answer->failure.has_value());
}

TEST(Restrictions, ATransactionIsEndedWithTheGracePeriod)
{
    const SessionId session = fixture.open("own");
    const ConnectionId connection = fixture.openTransaction(session);
    evacuate({"dc-1"});
    fixture.advance(1'199_ms);
    LONGS_EQUAL(0, EngineFixture::actionsOf<CloseConnection>(fixture.takeActions()).size());
    fixture.advance(1_ms);
    const auto closed = EngineFixture::actionsOf<CloseConnection>(fixture.takeActions());
    LONGS_EQUAL(1, closed.size());
    CHECK(closed.front().connection == connection);
    fixture.send(session, StatementKind::Commit);
    const auto answers = fixture.answers();
    LONGS_EQUAL(1, answers.size());
    CHECK(answers.front().failure == Failure::Aborted);
}

TEST(Restrictions, WithAllDataCentresEvacuatedNothingIsSent)
{
    fixture.showPrimaryMark({1, 10});
    evacuate({"dc-1", "dc-2", "dc-3"});
    fixture.advance(2_s);
    LONGS_EQUAL(0, readMany("aged", 5).size());
    LONGS_EQUAL(0, readMany("latest", 5).size());
}

TEST(Restrictions, ARouteIsServedInItsRegionsOnly)
{
    fixture.showPrimaryMark({1, 10});
    fixture.advance(1_s);
    limitRoutes({Core::RegionName("west")});
    const auto west = readMany("aged", 10);
    CHECK(west.size() == 1 && west.contains("db-3"));
    limitRoutes({Core::RegionName("east")});
    const auto east = readMany("aged");
    CHECK(east.contains("db-2"));
    CHECK(!east.contains("db-3"));
}

TEST(Restrictions, AStatementThatNoRegionAllowsIsRefusedAtOnce)
{
    limitRoutes({Core::RegionName("west")});
    const auto refused = answerToWrite();
    CHECK(refused.has_value() && refused->failure == Failure::Busy);
    limitRoutes({Core::RegionName("nowhere")});
    const auto elsewhere = answerToWrite();
    CHECK(elsewhere.has_value() && elsewhere->failure == Failure::Busy);
}

/// Only the primary can serve a read while no log position is known that bounds its age.
TEST(Restrictions, AReadThatNeedsAPrimaryElsewhereIsRefusedAtOnce)
{
    limitRoutes({Core::RegionName("west")});
    const SessionId session = fixture.open("aged");
    fixture.send(session, StatementKind::Read, "1");
    const auto answers = fixture.answers();
    LONGS_EQUAL(1, answers.size());
    CHECK(answers.front().failure == Failure::Busy);
}

TEST(Restrictions, ATeamIsServedInItsRegionsOnly)
{
    auto table = EngineFixture::table(2);
    table->teamRegions[Core::TeamName("team")] = {Core::RegionName("west")};
    fixture.engine.configure(table, fixture.now);
    const auto refused = answerToWrite();
    CHECK(refused.has_value() && refused->failure == Failure::Busy);
}

TEST(Restrictions, AColdReplicaGetsNoReadsWhileAWarmOneCanServeThem)
{
    auto table = EngineFixture::table(2);
    table->groups[EngineFixture::group].coldRatePerSecond = 20;
    fixture.engine.configure(table, fixture.now);
    fixture.showPrimaryMark({1, 10});
    fixture.advance(2_s);
    entries[1].coldRemaining = 60_s;
    listDirectory();
    CHECK(!readMany("aged").contains("db-2"));
    entries[1].coldRemaining = {};
    entries[2].coldRemaining = 60_s;
    listDirectory();
    const auto counts = readMany("aged");
    CHECK(counts.contains("db-2") && !counts.contains("db-3"));
}

/// After an evacuation the databases of a data centre may be cold. What they get in any second
/// stays within what they bear then, however many callers wait.
TEST(Restrictions, AColdPrimaryGetsNoMoreThanItsRateInAnySecond)
{
    constexpr double coldRate = 20;
    auto table = EngineFixture::table(2);
    table->groups[EngineFixture::group].coldRatePerSecond = coldRate;
    fixture.engine.configure(table, fixture.now);
    entries[0].coldRemaining = 5_s;
    listDirectory();
    std::vector<Core::Instant> sentAt;
    for (unsigned i = 0; i < 400; ++i) {
        fixture.send(fixture.open("latest"), StatementKind::Read, "1");
        for (const auto &statement : fixture.sent()) {
            sentAt.push_back(fixture.now);
            fixture.replySuccess(statement.connection, {1, 10});
        }
        fixture.advance(10_ms);
    }
    std::size_t most = 0;
    for (std::size_t i = 0; i < sentAt.size(); ++i) {
        const auto inSecond = std::ranges::count_if(
            sentAt, [&](Core::Instant at) { return at >= sentAt[i] && at < sentAt[i] + 1_s; });
        most = std::max(most, static_cast<std::size_t>(inSecond));
    }
    CHECK(most <= static_cast<std::size_t>(coldRate));
    CHECK(sentAt.size() >= 30);
}
