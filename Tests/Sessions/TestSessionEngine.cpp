#include "EngineFixture.h"

#include <Tests/Fakes/LogMarks.h>

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace Chervilpin;
using namespace Chervilpin::Sessions;
using namespace Chervilpin::Core::Literals;
using Testing::EngineFixture;

namespace {

std::string nameOf(const std::optional<Failure> &failure)
{
    return failure ? std::string(toString(*failure)) : "none";
}

} // namespace

TEST_GROUP(SessionEngine)
{
    EngineFixture fixture;

    Failure onlyFailure()
    {
        const auto answers = fixture.answers();
        LONGS_EQUAL(1, answers.size());
        CHECK(answers.front().failure.has_value());
        return *answers.front().failure;
    }
};

TEST(SessionEngine, AWriteIsSentToThePrimaryAndItsReplyIsReturned)
{
    const auto session = fixture.open("own");
    fixture.send(session, StatementKind::Write, "1 x");
    const auto sent = fixture.sent();
    LONGS_EQUAL(1, sent.size());
    CHECK(fixture.databaseByConnection.at(sent.front().connection) == fixture.primary);
    STRCMP_EQUAL("id-1", sent.front().statement.id.c_str());
    fixture.replySuccess(sent.front().connection, {1, 7});
    const auto answers = fixture.answers();
    LONGS_EQUAL(1, answers.size());
    STRCMP_EQUAL("rows", answers.front().body.c_str());
    CHECK(answers.front().mark == Fakes::logMark(1, 7));
}

TEST(SessionEngine, RejectedSessionsGetTheReason)
{
    const struct
    {
        const char *name;
        const char *database;
        const char *key;
        Failure expected;
    } cases[] = {
        {"unknown route", "elsewhere", "key", Failure::UnknownRoute},
        {"unknown key", "own", "stolen", Failure::AuthenticationFailed},
        {"no key", "own", "", Failure::AuthenticationFailed},
    };
    for (const auto &row : cases) {
        (void)fixture.open(row.database, row.key);
        const auto ends = EngineFixture::actionsOf<EndSession>(fixture.takeActions());
        CHECK_TEXT(ends.size() == 1 && ends.front().failure == row.expected, row.name);
    }
}

TEST(SessionEngine, AReadWithAMaximumAgeIsSentToAReplica)
{
    fixture.showPrimaryMark({1, 10});
    fixture.marks[fixture.replica] = {1, 10};
    fixture.marks[fixture.otherReplica] = {1, 10};
    // The log position of a replica is known only after a connection to it has been opened.
    for (int i = 0; i < 3; ++i) {
        const auto session = fixture.open("aged");
        fixture.send(session, StatementKind::Read, "1");
        fixture.advance(Core::Duration(20));
        const auto sent = fixture.sent();
        for (const auto &statement : sent) {
            if (statement.atLeast) {
                CHECK(fixture.databaseByConnection.at(statement.connection) != fixture.primary);
                CHECK(*statement.atLeast == Fakes::logMark(1, 10));
                return;
            }
            fixture.replySuccess(statement.connection, {1, 10});
        }
    }
    FAIL("no read went to a replica");
}

/// A replica could return rows that are too old if an old log mark of the primary proved freshness.
/// The mark here is about 1450 ms old; the maximum age is 1500 ms, less 100 ms for the network
/// delay.
TEST(SessionEngine, AnOutdatedPrimaryMarkDoesNotProveFreshness)
{
    fixture.showPrimaryMark({1, 10});
    fixture.advance(Core::Duration(1'450));
    const auto session = fixture.open("aged");
    fixture.send(session, StatementKind::Read, "1");
    const auto sent = fixture.sent();
    LONGS_EQUAL(1, sent.size());
    CHECK(fixture.databaseByConnection.at(sent.front().connection) == fixture.primary);
    CHECK(!sent.front().atLeast);
}

TEST(SessionEngine, NothingIsSentToThePrimaryWithoutALease)
{
    fixture.grantLease(1, fixture.primary, true, Core::Duration(0));
    const auto session = fixture.open("own");
    fixture.send(session, StatementKind::Write, "1 x");
    LONGS_EQUAL(0, fixture.sent().size());
    fixture.advance(Core::Duration(400));
    CHECK(onlyFailure() == Failure::Busy);
}

/// Once the lease has expired, another primary may have taken over without this write, so a late
/// success must not be reported as one.
TEST(SessionEngine, AWriteAnsweredAfterTheLeaseExpiredIsInDoubt)
{
    fixture.grantLease(1, fixture.primary, true, Core::Duration(50));
    const auto session = fixture.open("own");
    fixture.send(session, StatementKind::Write, "1 x");
    const auto sent = fixture.sent();
    fixture.now = fixture.now + Core::Duration(60);
    fixture.replySuccess(sent.front().connection, {1, 7});
    CHECK(onlyFailure() == Failure::InDoubt);
}

TEST(SessionEngine, ThePreviousPrimaryIsReleasedOnceNothingIsInFlightThere)
{
    const auto session = fixture.open("own");
    fixture.send(session, StatementKind::Write, "1 x");
    const auto sent = fixture.sent();
    fixture.grantLease(2, fixture.primary, false);
    LONGS_EQUAL(0, EngineFixture::actionsOf<ReportReleased>(fixture.takeActions()).size());
    fixture.replySuccess(sent.front().connection, {1, 7});
    const auto actions = fixture.takeActions();
    LONGS_EQUAL(1, EngineFixture::actionsOf<ReportReleased>(actions).size());
    const auto answers = EngineFixture::actionsOf<AnswerSession>(actions);
    STRCMP_EQUAL("none", nameOf(answers.front().failure).c_str());
}

TEST(SessionEngine, ConnectionsStillActiveAtAReplacedPrimaryAreClosed)
{
    const auto session = fixture.open("own");
    fixture.send(session, StatementKind::Write, "1 x");
    (void)fixture.sent();
    fixture.grantLease(2, fixture.primary, false);
    (void)fixture.takeActions();
    fixture.advance(Core::Duration(300));
    const auto actions = fixture.takeActions();
    LONGS_EQUAL(1, EngineFixture::actionsOf<ReportReleased>(actions).size());
    const auto answers = EngineFixture::actionsOf<AnswerSession>(actions);
    LONGS_EQUAL(1, answers.size());
    CHECK(answers.front().failure == Failure::InDoubt);
}

/// A new primary must not be reported as suspect because of connections that failed before it
/// became the primary. A network partition makes the connections to all databases fail, including
/// the one that becomes the primary.
TEST(SessionEngine, FailuresBeforeAChangeOfPrimaryDoNotMakeTheNewOneSuspect)
{
    fixture.opensConnections = false;
    for (int i = 0; i < 3; ++i) {
        const auto session = fixture.open("own");
        fixture.send(session, StatementKind::Write, "1 x");
        for (const auto &opened : EngineFixture::actionsOf<OpenConnection>(fixture.takeActions()))
            fixture.engine.connectionEnded(opened.connection, {}, fixture.now);
        fixture.advance(Core::Duration(200));
    }
    const auto before = EngineFixture::actionsOf<ReportHealth>(fixture.takeActions());
    CHECK(!before.empty() && before.back().health == PrimaryHealth::Suspect);
    fixture.grantLease(2, fixture.primary, false);
    fixture.grantLease(3, fixture.primary, true);
    fixture.advance(Core::Duration(10));
    for (const auto &report : EngineFixture::actionsOf<ReportHealth>(fixture.takeActions()))
        CHECK(report.health != PrimaryHealth::Suspect);
}

TEST(SessionEngine, ALostConnectionFailsAStatementAccordingToItsKind)
{
    const struct
    {
        const char *name;
        bool isInTransaction;
        StatementKind kind;
        Failure expected;
    } cases[] = {
        {"a single write may have run", false, StatementKind::Write, Failure::InDoubt},
        {"a write in a transaction is rolled back", true, StatementKind::Write, Failure::Aborted},
        {"a read in a transaction too", true, StatementKind::Read, Failure::Aborted},
        {"a commit may have run", true, StatementKind::Commit, Failure::InDoubt},
    };
    for (const auto &row : cases) {
        const auto session = fixture.open("own");
        if (row.isInTransaction) {
            fixture.send(session, StatementKind::Begin);
            fixture.send(session, StatementKind::Write, "1 x");
            const auto begun = fixture.sent();
            fixture.replySuccess(begun.back().connection, {1, 1}, TransactionState::Open);
            const auto first = fixture.sent();
            fixture.replySuccess(first.back().connection, {1, 1}, TransactionState::Open);
            (void)fixture.takeActions();
        }
        fixture.send(session, row.kind, row.kind == StatementKind::Commit ? "" : "1 x");
        const auto sent = fixture.sent();
        LONGS_EQUAL_TEXT(1, sent.size(), row.name);
        fixture.engine.connectionEnded(sent.front().connection, {}, fixture.now);
        const auto answers = fixture.answers();
        LONGS_EQUAL_TEXT(1, answers.size(), row.name);
        STRCMP_EQUAL_TEXT(std::string(toString(row.expected)).c_str(),
                          nameOf(answers.front().failure).c_str(), row.name);
        fixture.engine.sessionClosed(session, fixture.now);
        fixture.advance(Core::Duration(2'000));
        (void)fixture.takeActions();
    }
}

TEST(SessionEngine, AReadIsRetriedAfterItsConnectionIsLost)
{
    const auto session = fixture.open("latest");
    fixture.send(session, StatementKind::Read, "1");
    const auto sent = fixture.sent();
    fixture.engine.connectionEnded(sent.front().connection, {}, fixture.now);
    fixture.advance(Core::Duration(10));
    const auto again = fixture.sent();
    LONGS_EQUAL(1, again.size());
    STRCMP_EQUAL(sent.front().statement.id.c_str(), again.front().statement.id.c_str());
}

/// Connections are reused by other sessions of the team, so values that a session set must be reset
/// before the next session's statement runs.
TEST(SessionEngine, ValuesOfOneSessionAreNeverSeenByAnother)
{
    const auto first = fixture.open("latest");
    fixture.send(first, StatementKind::SetValue, "red", "colour");
    fixture.send(first, StatementKind::Read, "1");
    auto sent = fixture.sent();
    LONGS_EQUAL(1, sent.size());
    CHECK(sent.front().statement.kind == StatementKind::SetValue);
    const ConnectionId connection = sent.front().connection;
    fixture.replySuccess(connection, {1, 1});
    sent = fixture.sent();
    LONGS_EQUAL(1, sent.size());
    CHECK(sent.front().statement.kind == StatementKind::Read);
    fixture.replySuccess(connection, {1, 1});
    (void)fixture.takeActions();

    const auto second = fixture.open("latest");
    fixture.send(second, StatementKind::Read, "1");
    sent = fixture.sent();
    LONGS_EQUAL(1, sent.size());
    LONGS_EQUAL(connection, sent.front().connection);
    CHECK(sent.front().statement.kind == StatementKind::Reset);
}

TEST(SessionEngine, PreparedStatementsAreRenamedByShape)
{
    const auto session = fixture.open("latest");
    fixture.send(session, StatementKind::Prepare, "shape", "mine", Access::Write);
    fixture.send(session, StatementKind::Execute, "1 x", "mine");
    auto sent = fixture.sent();
    LONGS_EQUAL(1, sent.size());
    CHECK(sent.front().statement.kind == StatementKind::Prepare);
    const std::string shared = sent.front().statement.name;
    fixture.replySuccess(sent.front().connection, {1, 1});
    sent = fixture.sent();
    STRCMP_EQUAL(shared.c_str(), sent.front().statement.name.c_str());
    STRCMP_EQUAL("1 x", sent.front().statement.arguments.c_str());
}

TEST(SessionEngine, ATransactionIsRolledBackWhenItsSessionCloses)
{
    const auto session = fixture.open("own");
    fixture.send(session, StatementKind::Begin);
    fixture.send(session, StatementKind::Write, "1 x");
    auto sent = fixture.sent();
    const ConnectionId connection = sent.back().connection;
    fixture.replySuccess(connection, {1, 1}, TransactionState::Open);
    (void)fixture.takeActions();
    fixture.replySuccess(connection, {1, 1}, TransactionState::Open);
    (void)fixture.takeActions();
    fixture.engine.sessionClosed(session, fixture.now);
    sent = fixture.sent();
    LONGS_EQUAL(1, sent.size());
    CHECK(sent.front().statement.kind == StatementKind::Rollback);
    CHECK(sent.front().statement.id.empty());
}

TEST(SessionEngine, AnIdleTransactionIsRolledBackAndReportedWithTheNextStatement)
{
    const auto session = fixture.open("own");
    (void)fixture.openTransaction(session);
    fixture.advance(Core::Duration(3'000));
    const auto actions = fixture.takeActions();
    LONGS_EQUAL(0, EngineFixture::actionsOf<AnswerSession>(actions).size());
    CHECK(EngineFixture::actionsOf<SendStatement>(actions).front().statement.kind
          == StatementKind::Rollback);
    fixture.send(session, StatementKind::Commit);
    CHECK(onlyFailure() == Failure::Aborted);
}

/// A caller that sent 10,000 statements without waiting for an answer ended the process, since the
/// stack grew with each that the proxy answers by itself (docs/incidents/2026-12-05-pipelining.md).
TEST(SessionEngine, AnyNumberOfStatementsMayBeSentWithoutWaiting)
{
    constexpr std::size_t count = 300'000;
    const auto session = fixture.open("latest");
    fixture.send(session, StatementKind::Read, "1");
    const auto reads = fixture.sent();
    for (std::size_t i = 0; i < count; ++i)
        fixture.send(session, StatementKind::SetValue, "v", "name");
    fixture.send(session, StatementKind::Read, "2");
    fixture.replySuccess(reads.back().connection, {1, 1});
    const auto actions = fixture.takeActions();
    LONGS_EQUAL(count + 1, EngineFixture::actionsOf<AnswerSession>(actions).size());
    // The value is set on the connection first.
    const auto setup = EngineFixture::actionsOf<SendStatement>(actions);
    CHECK(setup.back().statement.kind == StatementKind::SetValue);
    fixture.replySuccess(setup.back().connection, {1, 1});
    STRCMP_EQUAL("2", fixture.sent().back().statement.arguments.c_str());
}

/// As above: a caller can't fill the memory of the process either.
TEST(SessionEngine, ACallerWithManyUnansweredStatementsIsNotReadFrom)
{
    const auto session = fixture.open("latest");
    fixture.send(session, StatementKind::Read, "1");
    const auto reads = fixture.sent();
    for (unsigned i = 0; i < maximumPipelinedStatements; ++i) {
        CHECK(!fixture.engine.isSaturated(session));
        fixture.send(session, StatementKind::SetValue, "v", "name");
    }
    CHECK(fixture.engine.isSaturated(session));
    fixture.replySuccess(reads.back().connection, {1, 1});
    CHECK(!fixture.engine.isSaturated(session));

    fixture.send(session, StatementKind::Read, "1");
    fixture.send(session, StatementKind::Write, std::string(maximumPipelinedBytes, 'x'));
    CHECK(fixture.engine.isSaturated(session));
}

TEST(SessionEngine, AWithdrawnKeyEndsOpenSessions)
{
    const auto idle = fixture.open("own");
    const auto busy = fixture.open("own");
    fixture.send(busy, StatementKind::Write, "1 x");
    const auto sent = fixture.sent();
    auto table = EngineFixture::table(2);
    table->keys.clear();
    fixture.engine.configure(table, fixture.now);
    auto ends = EngineFixture::actionsOf<EndSession>(fixture.takeActions());
    LONGS_EQUAL(1, ends.size());
    LONGS_EQUAL(idle, ends.front().session);
    CHECK(!ends.front().failure);
    fixture.replySuccess(sent.front().connection, {1, 1});
    const auto actions = fixture.takeActions();
    LONGS_EQUAL(1, EngineFixture::actionsOf<AnswerSession>(actions).size());
    ends = EngineFixture::actionsOf<EndSession>(actions);
    LONGS_EQUAL(1, ends.size());
    LONGS_EQUAL(busy, ends.front().session);
}

/// After a restart during which the directory could not be read, the fleet reported that it was
/// ready, and served nothing (docs/incidents/2026-12-05-odd-entry.md).
TEST(SessionEngine, AProxyWithoutTheDirectoryIsNotReady)
{
    SessionEngine started(Core::NodeName("self"), EngineFixture::dataCentre, fixture.now);
    CHECK(!started.isReady());
    started.configure(EngineFixture::table(1), fixture.now);
    CHECK(!started.isReady());
    started.directoryChanged(EngineFixture::entries(), fixture.now);
    CHECK(started.isReady());
}

/// A key that was withdrawn and soon given back was refused after that, and open transactions were
/// lost (docs/incidents/2026-12-05-returned-key.md).
TEST(SessionEngine, AKeyThatWasGivenBackIsNotRefused)
{
    const auto session = fixture.open("own");
    const auto connection = fixture.openTransaction(session);
    auto withdrawn = EngineFixture::table(2);
    withdrawn->keys.clear();
    fixture.engine.configure(withdrawn, fixture.now);
    fixture.advance(Core::Duration(330));
    fixture.engine.configure(EngineFixture::table(3), fixture.now);
    fixture.advance(withdrawnKeyGracePeriod);
    LONGS_EQUAL(0, EngineFixture::actionsOf<EndSession>(fixture.takeActions()).size());
    fixture.send(session, StatementKind::Commit);
    fixture.replySuccess(connection, {1, 2});
    const auto actions = fixture.takeActions();
    CHECK(!EngineFixture::actionsOf<AnswerSession>(actions).back().failure);
    LONGS_EQUAL(0, EngineFixture::actionsOf<EndSession>(actions).size());
}

/// As above: versions that don't hold the key either don't postpone the end.
TEST(SessionEngine, AKeyThatStaysWithdrawnEndsItsSessionsInTime)
{
    const auto session = fixture.open("own");
    (void)fixture.openTransaction(session);
    for (const std::uint64_t version : {2U, 3U}) {
        auto withdrawn = EngineFixture::table(version);
        withdrawn->keys.clear();
        fixture.engine.configure(withdrawn, fixture.now);
        fixture.advance(withdrawnKeyGracePeriod / 2);
    }
    const auto ends = EngineFixture::actionsOf<EndSession>(fixture.takeActions());
    LONGS_EQUAL(1, ends.size());
    CHECK(ends.front().failure == Failure::AuthenticationFailed);
}

TEST(SessionEngine, ASessionReadsItsOwnWrites)
{
    fixture.showPrimaryMark({1, 5});
    fixture.marks[fixture.replica] = {1, 5};
    fixture.marks[fixture.otherReplica] = {1, 5};
    const auto session = fixture.open("own");
    fixture.send(session, StatementKind::Write, "1 x");
    const auto write = fixture.sent();
    fixture.replySuccess(write.front().connection, {1, 9});
    (void)fixture.takeActions();
    fixture.send(session, StatementKind::Read, "1");
    for (const auto &statement : fixture.sent()) {
        const bool isOnPrimary =
            fixture.databaseByConnection.at(statement.connection) == fixture.primary;
        CHECK(isOnPrimary || (statement.atLeast && *statement.atLeast >= Fakes::logMark(1, 9)));
    }
}

TEST(SessionEngine, ShutdownClosesIdleSessionsAndWaitsForTransactions)
{
    const auto idle = fixture.open("own");
    const auto open = fixture.open("own");
    fixture.send(open, StatementKind::Begin);
    (void)fixture.takeActions();
    fixture.engine.shutDown(fixture.now + Core::Duration(2'800), fixture.now);
    auto ends = EngineFixture::actionsOf<EndSession>(fixture.takeActions());
    LONGS_EQUAL(1, ends.size());
    LONGS_EQUAL(idle, ends.front().session);
    fixture.advance(Core::Duration(2'800));
    ends = EngineFixture::actionsOf<EndSession>(fixture.takeActions());
    LONGS_EQUAL(1, ends.size());
    LONGS_EQUAL(open, ends.front().session);
    CHECK(ends.front().failure == Failure::Aborted);
}

/// A session with an open transaction closes while its connection is still setting a session value
/// for the next statement. Without a rollback, the next statement on that connection runs inside
/// the abandoned transaction.
TEST(SessionEngine, ATransactionIsRolledBackWhenItsSessionClosesDuringSetup)
{
    const auto session = fixture.open("own");
    const ConnectionId connection = fixture.openTransaction(session);
    fixture.send(session, StatementKind::SetValue, "red", "colour");
    fixture.send(session, StatementKind::Write, "1 y");
    CHECK(fixture.sent().back().statement.kind == StatementKind::SetValue);
    fixture.engine.sessionClosed(session, fixture.now);
    fixture.replySuccess(connection, {1, 1}, TransactionState::Open);
    const auto sent = fixture.sent();
    LONGS_EQUAL(1, sent.size());
    CHECK(sent.front().statement.kind == StatementKind::Rollback);
}

/// After replicas have caught up, reads must not stay on the primary for good. The lag of a replica
/// is known only from its replies, so one that gets no reads because it lagged would be taken to
/// lag forever.
TEST(SessionEngine, AReplicaThatHasCaughtUpIsUsedAgain)
{
    fixture.marks[fixture.replica] = {1, 1};
    fixture.marks[fixture.otherReplica] = {1, 1};
    unsigned onReplicas = 0;
    for (Core::LogPosition i = 1; i <= 60; ++i) {
        fixture.showPrimaryMark({1, i * 10});
        const auto session = fixture.open("aged");
        fixture.send(session, StatementKind::Read, "1");
        // A lagging replica refuses the read, which is then retried; four attempts are made at
        // most.
        for (int attempt = 0; attempt < 4; ++attempt) {
            for (const auto &statement : fixture.sent()) {
                const bool isReplica = statement.atLeast.has_value();
                const bool isLagging = i < 30;
                fixture.advance(Core::Duration(isReplica && isLagging ? 1 : 12));
                if (isReplica && isLagging)
                    fixture.replyFailure(statement.connection, Failure::Lagging);
                else
                    fixture.replySuccess(statement.connection, {1, i * 10});
                onReplicas += isReplica && !isLagging ? 1 : 0;
            }
            fixture.advance(Core::Duration(1));
        }
        fixture.advance(Core::Duration(30));
        fixture.engine.sessionClosed(session, fixture.now);
        (void)fixture.takeActions();
    }
    CHECK(onReplicas >= 20);
}

/// No database is left for the read, so it must not wait until its time is up.
TEST(SessionEngine, ReadThatAllReplicasRefusedIsRefusedAtOnceWhileThePrimaryIsReplaced)
{
    fixture.showPrimaryMark({1, 5});
    fixture.advance(Core::Duration(500));
    fixture.grantLease(2, EngineFixture::primary, false);
    (void)fixture.takeActions();
    const auto other = fixture.open("latest");
    fixture.send(other, StatementKind::Read, "1");
    fixture.advance(primaryOutageThreshold);
    (void)fixture.takeActions();
    const auto session = fixture.open("aged");
    fixture.send(session, StatementKind::Read, "1");
    for (int replica = 0; replica < 2; ++replica) {
        const auto sent = fixture.sent();
        LONGS_EQUAL(1, sent.size());
        fixture.replyFailure(sent.front().connection, Failure::Busy);
        fixture.advance(1_ms);
    }
    CHECK(onlyFailure() == Failure::Busy);
}

TEST(SessionEngine, AnOperationWaitsForItsTeamsRateAndARefusalIsFinal)
{
    fixture.admitsOperations = false;
    const SessionId session = fixture.open("latest");
    fixture.send(session, StatementKind::Begin);
    fixture.send(session, StatementKind::Read, "1");
    const auto asked = EngineFixture::actionsOf<RequestAdmission>(fixture.takeActions());
    LONGS_EQUAL(1, asked.size());
    CHECK(asked.front().team == Core::TeamName("team"));
    fixture.engine.refused(session, {250_ms, 10, "n1"}, fixture.now);
    const auto actions = fixture.takeActions();
    const auto answers = EngineFixture::actionsOf<AnswerSession>(actions);
    LONGS_EQUAL(1, answers.size());
    CHECK(answers.front().failure == Failure::Busy);
    STRCMP_CONTAINS("250 ms", answers.front().text.c_str());
    // The read was pipelined after the refused Begin and starts an operation of its own.
    LONGS_EQUAL(1, EngineFixture::actionsOf<RequestAdmission>(actions).size());
    fixture.engine.admitted(session, fixture.now);
    LONGS_EQUAL(1, fixture.sent().size());
    // A duplicate admission has no effect.
    fixture.engine.admitted(session, fixture.now);
    LONGS_EQUAL(0, fixture.sent().size());
}

TEST(SessionEngine, AnOperationThatReachedNoDatabaseReturnsItsAdmission)
{
    fixture.opensConnections = false;
    const SessionId refused = fixture.open("latest");
    fixture.send(refused, StatementKind::Read, "1");
    (void)fixture.takeActions();
    fixture.advance(Core::Duration(400));
    const auto late = fixture.takeActions();
    LONGS_EQUAL(1, EngineFixture::actionsOf<ReturnAdmission>(late).size());
    CHECK(EngineFixture::actionsOf<AnswerSession>(late).front().failure == Failure::Busy);
    const SessionId left = fixture.open("latest");
    fixture.send(left, StatementKind::Read, "1");
    (void)fixture.takeActions();
    fixture.engine.sessionClosed(left, fixture.now);
    LONGS_EQUAL(1, EngineFixture::actionsOf<ReturnAdmission>(fixture.takeActions()).size());
}

TEST(SessionEngine, AnOperationThatWasSentCountsForItsTeam)
{
    const SessionId session = fixture.open("latest");
    fixture.send(session, StatementKind::Write, "1 x");
    LONGS_EQUAL(1, fixture.sent().size());
    fixture.engine.sessionClosed(session, fixture.now);
    CHECK(EngineFixture::actionsOf<ReturnAdmission>(fixture.takeActions()).empty());
}

TEST(SessionEngine, ShutdownWaitsForAnOperationAwaitingAdmission)
{
    fixture.admitsOperations = false;
    const SessionId session = fixture.open("latest");
    fixture.send(session, StatementKind::Read, "1");
    fixture.engine.shutDown(fixture.now + 3_s, fixture.now);
    LONGS_EQUAL(0, EngineFixture::actionsOf<EndSession>(fixture.takeActions()).size());
    fixture.engine.refused(session, {250_ms, 10, "n1"}, fixture.now);
    const auto actions = fixture.takeActions();
    LONGS_EQUAL(1, EngineFixture::actionsOf<AnswerSession>(actions).size());
    LONGS_EQUAL(1, EngineFixture::actionsOf<EndSession>(actions).size());
}

/// After all processes were killed at once, one of them may resume a change of primary before it
/// has read the configuration. The status queries of the databases must not wait for the
/// configuration.
TEST(SessionEngine, AStatusIsQueriedBeforeAConfigurationIsKnown)
{
    SessionEngine engine(Core::NodeName("self"), EngineFixture::dataCentre, fixture.now);
    engine.directoryChanged(EngineFixture::entries(), fixture.now);
    engine.queryStatus(EngineFixture::primary, fixture.now);
    const auto opened = EngineFixture::actionsOf<OpenConnection>(engine.takeActions());
    LONGS_EQUAL(1, opened.size());
    engine.connectionOpened(opened.front().connection, Core::LogMark(), fixture.now);
    const auto sent = EngineFixture::actionsOf<SendStatement>(engine.takeActions());
    LONGS_EQUAL(1, sent.size());
    CHECK(sent.front().statement.kind == StatementKind::Status);
}

/// If the proxy's even share of a database's connections is a single one, as with 75 proxies and 80
/// teams that share 82 connections, a transaction that pauses between statements would hold it and
/// block all other callers of the proxy.
TEST(SessionEngine, ATransactionDoesNotBlockOtherCallersWhereConnectionsAreScarce)
{
    auto table = EngineFixture::table(2);
    for (int i = 0; i < 80; ++i)
        table->teams[Core::TeamName("t" + std::to_string(i))] = {};
    fixture.engine.configure(table, fixture.now);
    fixture.engine.setMemberCount(30, fixture.now);
    const SessionId writer = fixture.open("latest");
    fixture.send(writer, StatementKind::Begin);
    fixture.send(writer, StatementKind::Write, "1 x");
    LONGS_EQUAL(1, fixture.sent().size());
    const SessionId other = fixture.open("latest");
    fixture.send(other, StatementKind::Read, "1");
    const auto sent = fixture.sent();
    LONGS_EQUAL(1, sent.size());
    fixture.replySuccess(sent.front().connection, {1, 1});
    (void)fixture.takeActions();
    LONGS_EQUAL(2, fixture.engine.connectionCount());
    fixture.advance(400_ms);
    (void)fixture.takeActions();
    LONGS_EQUAL(1, fixture.engine.connectionCount());
}

TEST(SessionEngine, StatementsThatNeedAPrimaryBeingReplacedAreRefusedAtOnce)
{
    fixture.showPrimaryMark({1, 10});
    fixture.marks[fixture.replica] = {1, 10};
    fixture.grantLease(2, fixture.primary, false);
    const auto first = fixture.open("own");
    fixture.send(first, StatementKind::Write, "1 x");
    // Planned changes of primary take less than 400 ms, so the statement waits at first.
    LONGS_EQUAL(0, fixture.answers().size());
    fixture.advance(500_ms);
    (void)fixture.takeActions();
    const auto write = fixture.open("own");
    fixture.send(write, StatementKind::Write, "1 x");
    const auto answers = fixture.answers();
    LONGS_EQUAL(1, answers.size());
    CHECK(answers.front().failure == Failure::Busy);
    // A read with a maximum age can still use a replica.
    const auto read = fixture.open("aged");
    fixture.send(read, StatementKind::Read, "1");
    LONGS_EQUAL(1, fixture.sent().size());
}

/// While a data centre is cut off, connections to the databases on the other side hang. Guards
/// against reads that wait for them although a database on this side could serve them.
TEST(SessionEngine, ReadsPassOverAReplicaToWhichNoConnectionOpens)
{
    fixture.showPrimaryMark({1, 10});
    fixture.advance(500_ms);
    for (const auto &name : {fixture.replica, fixture.otherReplica}) {
        fixture.marks[name] = {1, 10};
        fixture.unreachable.insert(name);
    }
    fixture.send(fixture.open("aged"), StatementKind::Read, "1");
    LONGS_EQUAL(0, fixture.sent().size());
    fixture.advance(unresponsiveTimeout);
    // The read that waits for the first replica now tries the other one.
    LONGS_EQUAL(0, fixture.sent().size());
    fixture.advance(unresponsiveTimeout);
    const auto waiting = fixture.sent();
    LONGS_EQUAL(1, waiting.size());
    CHECK(fixture.databaseByConnection.at(waiting.front().connection) == fixture.primary);
    fixture.replySuccess(waiting.front().connection, {1, 10});
    (void)fixture.takeActions();
    fixture.send(fixture.open("aged"), StatementKind::Read, "1");
    LONGS_EQUAL(1, fixture.sent().size());
}

/// Statements for an unreachable primary must not all wait for their timeout, nor be refused after
/// it is reachable again. Only a statement can show that, so one is let through every 200 ms.
/// While a data centre is cut off, the callers of groups without a primary would otherwise use up
/// what their teams may do at the groups that can be served.
TEST(SessionEngine, AnOperationThatNoDatabaseCanServeAsksForNoAdmission)
{
    fixture.grantLease(2, fixture.primary, false);
    fixture.send(fixture.open("latest"), StatementKind::Read, "1");
    fixture.advance(primaryOutageThreshold);
    (void)fixture.takeActions();
    for (const auto kind : {StatementKind::Write, StatementKind::Begin}) {
        fixture.send(fixture.open("own"), kind, "1 x");
        const auto actions = fixture.takeActions();
        LONGS_EQUAL(0, EngineFixture::actionsOf<RequestAdmission>(actions).size());
        const auto answers = EngineFixture::actionsOf<AnswerSession>(actions);
        LONGS_EQUAL(1, answers.size());
        CHECK(answers.front().failure == Failure::Busy);
        CHECK(answers.front().state == TransactionState::None);
    }
    fixture.grantLease(3, fixture.replica, true);
    fixture.send(fixture.open("own"), StatementKind::Write, "1 x");
    LONGS_EQUAL(1, EngineFixture::actionsOf<RequestAdmission>(fixture.takeActions()).size());
}

TEST(SessionEngine, AnUnreachablePrimaryIsProbedAndUsedAgain)
{
    fixture.opensConnections = false;
    const auto fail = [&] {
        for (const auto &opened : EngineFixture::actionsOf<OpenConnection>(fixture.takeActions()))
            fixture.engine.connectionEnded(opened.connection, {}, fixture.now);
    };
    const auto session = fixture.open("latest");
    for (int i = 0; i < 20; ++i) {
        fixture.send(session, StatementKind::Read, "1");
        fail();
        fixture.advance(100_ms);
        fail();
    }
    unsigned refusedAtOnce = 0;
    for (int i = 0; i < 10; ++i) {
        const auto other = fixture.open("latest");
        fixture.send(other, StatementKind::Read, "1");
        refusedAtOnce += EngineFixture::actionsOf<AnswerSession>(fixture.takeActions()).size();
        fixture.advance(10_ms);
    }
    CHECK(refusedAtOnce >= 8);
    fixture.opensConnections = true;
    fixture.advance(400_ms);
    (void)fixture.takeActions();
    const auto trial = fixture.open("latest");
    fixture.send(trial, StatementKind::Read, "1");
    const auto sent = fixture.sent();
    LONGS_EQUAL(1, sent.size());
    fixture.replySuccess(sent.front().connection, {1, 11});
    STRCMP_EQUAL("none", nameOf(fixture.answers().front().failure).c_str());
}

/// A partition that loses packets: opening a connection neither succeeds nor fails.
TEST(SessionEngine, StatementsForAPrimaryWithoutAPathAreRefusedAtOnce)
{
    fixture.unreachable.insert(EngineFixture::primary);
    const auto refusedAtOnce = [&](int count) {
        int refused = 0;
        for (int i = 0; i < count; ++i) {
            const auto session = fixture.open("latest");
            (void)fixture.takeActions();
            fixture.send(session, StatementKind::Write, "1 x");
            refused += static_cast<int>(
                std::ranges::count(fixture.answers(), session, &AnswerSession::session));
            fixture.advance(20_ms);
        }
        return refused;
    };
    (void)refusedAtOnce(35);
    LONGS_EQUAL(20, refusedAtOnce(20));
    fixture.unreachable.clear();
    // The connection that is being opened is given up after 1.5 s; another one then succeeds.
    (void)refusedAtOnce(75);
    const auto session = fixture.open("latest");
    fixture.send(session, StatementKind::Write, "1 x");
    LONGS_EQUAL(1, fixture.sent().size());
}

TEST(SessionEngine, AStatementInATransactionIsNotCountedAsWaiting)
{
    const auto session = fixture.open("own");
    const auto connection = fixture.openTransaction(session);
    fixture.send(session, StatementKind::Read, "1");
    fixture.advance(20_ms);
    fixture.replySuccess(connection, {1, 2}, TransactionState::Open);
    const auto outcomes = EngineFixture::actionsOf<CountOutcome>(fixture.takeActions());
    LONGS_EQUAL(1, outcomes.size());
    LONGS_EQUAL(20, outcomes.front().time.milliseconds());
    LONGS_EQUAL(0, outcomes.front().queued.milliseconds());
}

TEST(SessionEngine, SkippedLogLinesOfSuccessfulStatementsAreNotBuilt)
{
    const auto lines = [](const std::vector<Action> &actions) {
        return std::ranges::count_if(
            EngineFixture::actionsOf<LogLine>(actions),
            [](const auto &line) { return line.name == "statement_ended"; });
    };
    fixture.engine.setSampling(SessionEngine::Sampling::Closed);
    const SessionId session = fixture.open("latest");
    fixture.send(session, StatementKind::Read, "1");
    fixture.replySuccess(fixture.sent().back().connection, {1, 1});
    LONGS_EQUAL(0, lines(fixture.takeActions()));
    LONGS_EQUAL(1, fixture.engine.sampledLinesSkipped());
    // Failures are always logged.
    fixture.send(session, StatementKind::Write, "1 x");
    fixture.replyFailure(fixture.sent().back().connection, Failure::ExecutionFailed);
    LONGS_EQUAL(1, lines(fixture.takeActions()));
}
