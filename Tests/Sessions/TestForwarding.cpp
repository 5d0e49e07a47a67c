#include "FleetOfProxies.h"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace Chervilpin;
using namespace Chervilpin::Sessions;
using namespace Chervilpin::Core::Literals;
using Testing::FleetOfProxies;

namespace {

/// The primary db-0 is in the data centre of proxy-0, which is its pooler, and proxy-1's callers
/// have to be forwarded.
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
    FleetOfProxies fleet{FleetOfProxies::Shape()};

    SessionId openTransaction()
    {
        const SessionId session = fleet.open(entry, 0);
        fleet.say(entry, session, StatementKind::Begin);
        (void)fleet.takeAnswer(session);
        fleet.say(entry, session, StatementKind::Write, "1 x");
        fleet.pass(60_ms);
        STRCMP_EQUAL("done", nameOf(fleet.takeAnswer(session)).c_str());
        LONGS_EQUAL(1, fleet.openTransactions());
        return session;
    }
};

TEST(Forwarding, AStatementRunsOnTheConnectionOfThePooler)
{
    const SessionId session = fleet.open(entry, 0);
    fleet.say(entry, session, StatementKind::Write, "1 x");
    fleet.pass(60_ms);
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
        fleet.say(proxy, session, StatementKind::Write, "1 x");
        fleet.pass(60_ms);
        STRCMP_EQUAL("done", nameOf(fleet.takeAnswer(session)).c_str());
    }
    LONGS_EQUAL(1, fleet.counts().openings);
}

TEST(Forwarding, ATransactionKeepsItsConnectionAndEndsThere)
{
    const SessionId session = openTransaction();
    fleet.say(entry, session, StatementKind::Write, "2 y");
    fleet.pass(30_ms);
    STRCMP_EQUAL("done", nameOf(fleet.takeAnswer(session)).c_str());
    fleet.say(entry, session, StatementKind::Commit);
    fleet.pass(30_ms);
    const auto answer = fleet.takeAnswer(session);
    STRCMP_EQUAL("done", nameOf(answer).c_str());
    CHECK(answer->state == TransactionState::None);
    LONGS_EQUAL(0, fleet.openTransactions());
    LONGS_EQUAL(1, fleet.counts().openings);
}

TEST(Forwarding, ACallerThatLeavesInATransactionLeavesACleanConnection)
{
    const SessionId session = openTransaction();
    fleet.close(entry, session);
    fleet.pass(30_ms);
    LONGS_EQUAL(0, fleet.openTransactions());
}

TEST(Forwarding, ARolledBackTransactionLeavesACleanConnection)
{
    const SessionId session = openTransaction();
    fleet.say(entry, session, StatementKind::Rollback);
    STRCMP_EQUAL("done", nameOf(fleet.takeAnswer(session)).c_str());
    fleet.pass(30_ms);
    LONGS_EQUAL(0, fleet.openTransactions());
}

TEST(Forwarding, HowTheLossOfThePoolerEndsAStatement)
{
    const SessionId write = fleet.open(entry, 0);
    const SessionId read = fleet.open(entry, 1);
    const SessionId transaction = openTransaction();
    fleet.say(entry, write, StatementKind::Write, "1 x");
    fleet.say(entry, read, StatementKind::Read, "1");
    fleet.say(entry, transaction, StatementKind::Read, "1");
    fleet.pass(4_ms);
    fleet.kill(pooler);
    STRCMP_EQUAL("in_doubt", nameOf(fleet.takeAnswer(write)).c_str());
    STRCMP_EQUAL("aborted", nameOf(fleet.takeAnswer(transaction)).c_str());
    fleet.pass(400_ms);
    // The next in rank takes over.
    STRCMP_EQUAL("done", nameOf(fleet.takeAnswer(read)).c_str());
}

TEST(Forwarding, ACommitThatThePoolerMayHaveSentIsInDoubt)
{
    const SessionId session = openTransaction();
    fleet.say(entry, session, StatementKind::Commit);
    fleet.pass(4_ms);
    fleet.kill(pooler);
    STRCMP_EQUAL("in_doubt", nameOf(fleet.takeAnswer(session)).c_str());
}

TEST(Forwarding, AFrozenPoolerIsFoundOutByItsSilence)
{
    openTransaction();
    fleet.freeze(pooler);
    const SessionId session = fleet.open(entry, 0);
    fleet.say(entry, session, StatementKind::Read, "1");
    fleet.pass(700_ms);
    STRCMP_EQUAL("done", nameOf(fleet.takeAnswer(session)).c_str());
}

TEST(Forwarding, AStoppingPoolerPassesItsCallersOn)
{
    fleet.stop(pooler);
    const SessionId session = fleet.open(entry, 0);
    fleet.say(entry, session, StatementKind::Write, "1 x");
    fleet.pass(80_ms);
    STRCMP_EQUAL("done", nameOf(fleet.takeAnswer(session)).c_str());
}

TEST(Forwarding, ATransactionThroughAStoppingPoolerMayEnd)
{
    const SessionId session = openTransaction();
    fleet.stop(pooler);
    fleet.say(entry, session, StatementKind::Commit);
    fleet.pass(30_ms);
    STRCMP_EQUAL("done", nameOf(fleet.takeAnswer(session)).c_str());
}

TEST(Forwarding, AProxyThatMayNotUseThePrimarySendsNothingForOthers)
{
    fleet.grant(pooler, 2, false);
    const SessionId session = fleet.open(entry, 0);
    fleet.say(entry, session, StatementKind::Write, "1 x");
    fleet.pass(80_ms);
    // The other proxy has the right of its own, and opens a connection for it.
    STRCMP_EQUAL("done", nameOf(fleet.takeAnswer(session)).c_str());
    CHECK(!fleet.proxiesConnectedTo(0).contains(pooler));
}

TEST(Forwarding, AnOldPrimaryIsReleasedOnceNoChannelUsesIt)
{
    openTransaction();
    fleet.grant(entry, 2, false);
    LONGS_EQUAL(1, fleet.releasedBy(entry));
    // What stays in flight is cut, here and at the pooler.
    fleet.pass(400_ms);
    LONGS_EQUAL(2, fleet.releasedBy(entry));
    LONGS_EQUAL(0, fleet.openTransactions());
}

TEST(Forwarding, AStatementThatRunsTooLongIsTriedWithoutThePooler)
{
    FleetOfProxies::Shape shape;
    shape.serviceTime = 2'000_ms;
    FleetOfProxies slow(shape);
    const SessionId session = slow.open(entry, 0);
    slow.say(entry, session, StatementKind::Write, "1 x");
    slow.pass(900_ms);
    STRCMP_EQUAL("in_doubt", nameOf(slow.takeAnswer(session)).c_str());
    slow.say(entry, session, StatementKind::Write, "1 x");
    slow.pass(50_ms);
    CHECK(slow.proxiesConnectedTo(0).contains(entry));
}

/// The pooler cut the transaction at its stop, and the caller's next statement crossed that word.
TEST(Forwarding, AStatementNeverGoesOnOutsideATransactionThatItsPoolerGaveUp)
{
    for (const auto kind : {StatementKind::Write, StatementKind::Commit}) {
        FleetOfProxies crossing{FleetOfProxies::Shape()};
        const SessionId session = crossing.open(entry, 0);
        crossing.say(entry, session, StatementKind::Begin);
        (void)crossing.takeAnswer(session);
        crossing.say(entry, session, StatementKind::Write, "1 x");
        crossing.pass(60_ms);
        (void)crossing.takeAnswer(session);
        crossing.say(entry, session, kind, "2 y");
        crossing.refuseLastForwarded(entry, ForwardedProgress::Stopping);
        STRCMP_EQUAL("aborted", nameOf(crossing.takeAnswer(session)).c_str());
        LONGS_EQUAL(0, crossing.statementsOutsideTransactions(kind));
    }
}

TEST(Forwarding, ALinkIsLoggedOnceAsLostAndOnceAsRegained)
{
    const SessionId session = fleet.open(entry, 0);
    fleet.say(entry, session, StatementKind::Write, "1 x");
    fleet.pass(60_ms);
    fleet.freeze(pooler);
    fleet.say(entry, session, StatementKind::Write, "2 y");
    fleet.pass(5_s);
    LONGS_EQUAL(1, fleet.linesLogged("link_lost"));
    LONGS_EQUAL(0, fleet.linesLogged("link_regained"));
    fleet.thaw(pooler);
    fleet.pass(5_s);
    LONGS_EQUAL(1, fleet.linesLogged("link_lost"));
    LONGS_EQUAL(1, fleet.linesLogged("link_regained"));
}
