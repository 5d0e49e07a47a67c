#include "SimulatedFleet.h"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace Chervilpin;
using namespace Chervilpin::Sessions;
using namespace Chervilpin::Core::Literals;
using Testing::SimulatedFleet;

namespace {

/// The primary db-0 is in the data centre of proxy-0, which is its pooler. Statements of callers at
/// proxy-1 have to be forwarded.
constexpr unsigned pooler = 0;
constexpr unsigned entry = 1;

std::string nameOf(const std::optional<AnswerSession> &answer)
{
    if (!answer)
        return "no answer";
    return answer->failure ? std::string(toString(*answer->failure)) : "done";
}

} // namespace

TEST_GROUP(Forwarding)
{
    SimulatedFleet fleet{SimulatedFleet::Options()};

    SessionId openTransaction()
    {
        const SessionId session = fleet.open(entry, 0);
        fleet.send(entry, session, StatementKind::Begin);
        (void)fleet.takeAnswer(session);
        fleet.send(entry, session, StatementKind::Write, "1 x");
        fleet.advance(60_ms);
        STRCMP_EQUAL("done", nameOf(fleet.takeAnswer(session)).c_str());
        LONGS_EQUAL(1, fleet.openTransactions());
        return session;
    }
};

TEST(Forwarding, AStatementRunsOnTheConnectionOfThePooler)
{
    const SessionId session = fleet.open(entry, 0);
    fleet.send(entry, session, StatementKind::Write, "1 x");
    fleet.advance(60_ms);
    const auto answer = fleet.takeAnswer(session);
    STRCMP_EQUAL("done", nameOf(answer).c_str());
    STRCMP_EQUAL("rows", answer->body.c_str());
    CHECK(answer->mark.has_value());
    CHECK(fleet.proxiesConnectedTo(0) == std::set<unsigned>{pooler});
}

TEST(Forwarding, AllProxiesShareThePoolersConnectionOfATeam)
{
    for (unsigned proxy = 0; proxy < 3; ++proxy) {
        const SessionId session = fleet.open(proxy, 0);
        fleet.send(proxy, session, StatementKind::Write, "1 x");
        fleet.advance(60_ms);
        STRCMP_EQUAL("done", nameOf(fleet.takeAnswer(session)).c_str());
    }
    LONGS_EQUAL(1, fleet.counts().openings);
}

TEST(Forwarding, ATransactionKeepsItsConnectionAndEndsThere)
{
    const SessionId session = openTransaction();
    fleet.send(entry, session, StatementKind::Write, "2 y");
    fleet.advance(30_ms);
    STRCMP_EQUAL("done", nameOf(fleet.takeAnswer(session)).c_str());
    fleet.send(entry, session, StatementKind::Commit);
    fleet.advance(30_ms);
    const auto answer = fleet.takeAnswer(session);
    STRCMP_EQUAL("done", nameOf(answer).c_str());
    CHECK(answer->state == TransactionState::None);
    LONGS_EQUAL(0, fleet.openTransactions());
    LONGS_EQUAL(1, fleet.counts().openings);
}

TEST(Forwarding, ATransactionIsRolledBackWhenItsSessionCloses)
{
    const SessionId session = openTransaction();
    fleet.close(entry, session);
    fleet.advance(30_ms);
    LONGS_EQUAL(0, fleet.openTransactions());
}

TEST(Forwarding, ARolledBackTransactionLeavesACleanConnection)
{
    const SessionId session = openTransaction();
    fleet.send(entry, session, StatementKind::Rollback);
    STRCMP_EQUAL("done", nameOf(fleet.takeAnswer(session)).c_str());
    fleet.advance(30_ms);
    LONGS_EQUAL(0, fleet.openTransactions());
}

TEST(Forwarding, LossOfThePoolerFailsAStatementAccordingToItsKind)
{
    const SessionId write = fleet.open(entry, 0);
    const SessionId read = fleet.open(entry, 1);
    const SessionId transaction = openTransaction();
    fleet.send(entry, write, StatementKind::Write, "1 x");
    fleet.send(entry, read, StatementKind::Read, "1");
    fleet.send(entry, transaction, StatementKind::Read, "1");
    fleet.advance(4_ms);
    fleet.kill(pooler);
    STRCMP_EQUAL("in_doubt", nameOf(fleet.takeAnswer(write)).c_str());
    STRCMP_EQUAL("aborted", nameOf(fleet.takeAnswer(transaction)).c_str());
    fleet.advance(400_ms);
    // The read is retried through the next proxy in rank, which becomes the pooler.
    STRCMP_EQUAL("done", nameOf(fleet.takeAnswer(read)).c_str());
}

TEST(Forwarding, ACommitThatThePoolerMayHaveSentIsInDoubt)
{
    const SessionId session = openTransaction();
    fleet.send(entry, session, StatementKind::Commit);
    fleet.advance(4_ms);
    fleet.kill(pooler);
    STRCMP_EQUAL("in_doubt", nameOf(fleet.takeAnswer(session)).c_str());
}

/// The connections of a frozen process stay open, so only the missing answers show that it failed.
TEST(Forwarding, AFrozenPoolerIsDetectedByItsSilence)
{
    openTransaction();
    fleet.freeze(pooler);
    const SessionId session = fleet.open(entry, 0);
    fleet.send(entry, session, StatementKind::Read, "1");
    fleet.advance(700_ms);
    STRCMP_EQUAL("done", nameOf(fleet.takeAnswer(session)).c_str());
}

TEST(Forwarding, AStatementRunsElsewhereWhileThePoolerIsStopping)
{
    fleet.stop(pooler);
    const SessionId session = fleet.open(entry, 0);
    fleet.send(entry, session, StatementKind::Write, "1 x");
    fleet.advance(80_ms);
    STRCMP_EQUAL("done", nameOf(fleet.takeAnswer(session)).c_str());
}

TEST(Forwarding, ATransactionThroughAStoppingPoolerCanBeCommitted)
{
    const SessionId session = openTransaction();
    fleet.stop(pooler);
    fleet.send(entry, session, StatementKind::Commit);
    fleet.advance(30_ms);
    STRCMP_EQUAL("done", nameOf(fleet.takeAnswer(session)).c_str());
}

TEST(Forwarding, APoolerWithoutALeaseRunsNoForwardedStatements)
{
    fleet.grantLease(pooler, 2, false);
    const SessionId session = fleet.open(entry, 0);
    fleet.send(entry, session, StatementKind::Write, "1 x");
    fleet.advance(80_ms);
    // The forwarding proxy still holds a lease and opens a connection of its own.
    STRCMP_EQUAL("done", nameOf(fleet.takeAnswer(session)).c_str());
    CHECK(!fleet.proxiesConnectedTo(0).contains(pooler));
}

TEST(Forwarding, APreviousPrimaryIsReleasedOnceNoChannelUsesIt)
{
    openTransaction();
    fleet.grantLease(entry, 2, false);
    LONGS_EQUAL(1, fleet.releasedBy(entry));
    // Channels that are still active after 250 ms are closed, and the pooler then rolls back their
    // transactions.
    fleet.advance(400_ms);
    LONGS_EQUAL(2, fleet.releasedBy(entry));
    LONGS_EQUAL(0, fleet.openTransactions());
}

TEST(Forwarding, StatementsBypassThePoolerAfterATimeout)
{
    SimulatedFleet::Options options;
    options.serviceTime = 2'000_ms;
    SimulatedFleet slow(options);
    const SessionId session = slow.open(entry, 0);
    slow.send(entry, session, StatementKind::Write, "1 x");
    slow.advance(900_ms);
    STRCMP_EQUAL("in_doubt", nameOf(slow.takeAnswer(session)).c_str());
    slow.send(entry, session, StatementKind::Write, "1 x");
    slow.advance(50_ms);
    CHECK(slow.proxiesConnectedTo(0).contains(entry));
}

/// A pooler that shuts down aborts a transaction while the transaction's next statement is in
/// transit to it, and refuses that statement. If the statement were retried on another connection,
/// it would run outside the transaction.
TEST(Forwarding, AStatementNeverRunsOutsideATransactionThatItsPoolerAborted)
{
    for (const auto kind : {StatementKind::Write, StatementKind::Commit}) {
        SimulatedFleet crossing{SimulatedFleet::Options()};
        const SessionId session = crossing.open(entry, 0);
        crossing.send(entry, session, StatementKind::Begin);
        (void)crossing.takeAnswer(session);
        crossing.send(entry, session, StatementKind::Write, "1 x");
        crossing.advance(60_ms);
        (void)crossing.takeAnswer(session);
        crossing.send(entry, session, kind, "2 y");
        crossing.refuseLastForwarded(entry, ForwardedProgress::Stopping);
        STRCMP_EQUAL("aborted", nameOf(crossing.takeAnswer(session)).c_str());
        LONGS_EQUAL(0, crossing.statementsOutsideTransactions(kind));
    }
}

TEST(Forwarding, ALinkIsLoggedOnceAsLostAndOnceAsRegained)
{
    const SessionId session = fleet.open(entry, 0);
    fleet.send(entry, session, StatementKind::Write, "1 x");
    fleet.advance(60_ms);
    fleet.freeze(pooler);
    fleet.send(entry, session, StatementKind::Write, "2 y");
    fleet.advance(5_s);
    LONGS_EQUAL(1, fleet.linesLogged("link_lost"));
    LONGS_EQUAL(0, fleet.linesLogged("link_regained"));
    fleet.thaw(pooler);
    fleet.advance(5_s);
    LONGS_EQUAL(1, fleet.linesLogged("link_lost"));
    LONGS_EQUAL(1, fleet.linesLogged("link_regained"));
}

/// A partition that separates the pooler and the caller's proxy from the primary, but not a third
/// proxy: callers are served through that one, and the pooler is used again afterwards.
TEST(Forwarding, StatementsTakeThePathOfAProxyThatReachesTheDatabase)
{
    SimulatedFleet::Options options;
    options.proxies = 6;
    SimulatedFleet wide(options);
    const SessionId first = wide.open(entry, 0);
    wide.send(entry, first, StatementKind::Write, "1 x");
    wide.advance(60_ms);
    const auto connected = wide.proxiesConnectedTo(0);
    LONGS_EQUAL(1, connected.size());
    const unsigned cutPooler = *connected.begin();
    wide.cutFromDatabase(cutPooler, 0);
    wide.cutFromDatabase(entry, 0);
    const auto servedOf = [&](unsigned count) {
        unsigned served = 0;
        for (unsigned i = 0; i < count; ++i) {
            const SessionId session = wide.open(entry, i % 2);
            wide.send(entry, session, StatementKind::Write, "1 x");
            wide.advance(100_ms);
            served += nameOf(wide.takeAnswer(session)) == "done" ? 1 : 0;
            wide.close(entry, session);
        }
        return served;
    };
    // Statements on connections that have just fallen silent are lost.
    (void)servedOf(10);
    CHECK(servedOf(40) >= 36);
    wide.healCuts();
    (void)servedOf(20);
    CHECK(wide.proxiesConnectedTo(0).contains(cutPooler));
    LONGS_EQUAL(20, servedOf(20));
}
