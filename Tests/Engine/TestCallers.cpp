#include <Tests/Engine/Harness.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Engine;
using namespace Chervilpin::Testing;
using namespace Chervilpin::Core::Literals;

namespace {

void checkAnswer(const CallerAnswer &answer, Core::Outcome outcome, RefusalReason reason,
                 const char *name)
{
    STRCMP_EQUAL_TEXT(toString(reason), toString(answer.reason), name);
    STRCMP_EQUAL_TEXT(std::string(Core::toString(outcome)).c_str(),
                      std::string(Core::toString(answer.outcome)).c_str(), name);
}

} // namespace

TEST_GROUP(Callers){};

TEST(Callers, AWriteIsDoneOnceAndReadBack)
{
    Harness harness;
    CHECK(harness.engine().isReady());
    const auto written = harness.call(Harness::request(RequestKind::Write, "put x 1"));
    checkAnswer(written, Core::Outcome::Done, RefusalReason::None, "write");
    LONGS_EQUAL(1, harness.timesKept("put x 1"));
    auto read = Harness::request(RequestKind::Read, "get x");
    read.sessionToken = written.sessionToken;
    const auto answer = harness.call(read);
    checkAnswer(answer, Core::Outcome::Done, RefusalReason::None, "read");
    LONGS_EQUAL(1, answer.rows.size());
}

TEST(Callers, RefusalsOfRequestsThatMayNotRun)
{
    struct Case
    {
        const char *name;
        const char *key;
        const char *route;
        RefusalReason reason;
    };
    const Case cases[] = {
        {"unknown route", Harness::key, "nowhere", RefusalReason::UnknownRoute},
        {"no key", "", "r", RefusalReason::UnknownKey},
        {"unknown key", "cvp_k9_northsecretnorthsecret", "r", RefusalReason::UnknownKey},
        {"wrong secret", "cvp_k1_southsecretsouthsecret", "r", RefusalReason::UnknownKey},
        {"no form of a key", "k1", "r", RefusalReason::UnknownKey},
        {"team of the other half", Harness::otherKey, "r", RefusalReason::WrongHalf},
    };
    Harness harness;
    for (const auto &one : cases) {
        auto request = Harness::request(RequestKind::Write, "put x 1");
        request.key = one.key;
        request.route = one.route;
        checkAnswer(harness.call(request), Core::Outcome::NotRun, one.reason, one.name);
    }
    LONGS_EQUAL(0, harness.timesRun("put x 1"));
}

TEST(Callers, AWriteIsDoneOnlyOnceAReplicaHoldsIt)
{
    Harness harness;
    harness.stallReplicas();
    const auto id = harness.ask(Harness::request(RequestKind::Write, "put x 1"));
    harness.run(1_s);
    LONGS_EQUAL(1, harness.timesKept("put x 1"));
    POINTERS_EQUAL(nullptr, harness.answer(id));
    harness.resumeReplicas();
    CHECK(harness.runUntil([&] { return harness.answer(id) != nullptr; }, 500_ms));
    checkAnswer(*harness.answer(id), Core::Outcome::Done, RefusalReason::None, "resumed");
}

TEST(Callers, LostWritesAreUnknownAndNeverNotRun)
{
    struct Case
    {
        const char *name;
        StatementFault fault;
        bool isStalled;
        std::size_t kept;
    };
    const Case cases[] = {
        {"replicas stalled", StatementFault::None, true, 1},
        {"silent after running", StatementFault::RunThenSilent, false, 1},
        {"silent before running", StatementFault::SilentUnrun, false, 0},
        {"broken after running", StatementFault::RunThenBreak, false, 1},
        {"answer held back", StatementFault::HoldAnswer, false, 1},
    };
    for (const auto &one : cases) {
        Harness harness;
        if (one.isStalled)
            harness.stallReplicas();
        harness.database("a").fault = one.fault;
        const auto answer = harness.call(Harness::request(RequestKind::Write, "put x 1"));
        checkAnswer(answer, Core::Outcome::Unknown, RefusalReason::AnswerLost, one.name);
        LONGS_EQUAL_TEXT(one.kept, harness.timesKept("put x 1"), one.name);
    }
}

TEST(Callers, AWriteRefusedByAReplicaIsTriedAgainAndDoneOnce)
{
    Harness harness;
    harness.database("a").fault = StatementFault::RefuseOnce;
    checkAnswer(harness.call(Harness::request(RequestKind::Write, "put x 1")), Core::Outcome::Done,
                RefusalReason::None, "not primary");
    LONGS_EQUAL(1, harness.timesKept("put x 1"));
}

TEST(Callers, ALateAnswerReachesNoOtherRequest)
{
    Harness harness;
    harness.database("a").fault = StatementFault::HoldAnswer;
    harness.database("a").faultyText = "put x";
    checkAnswer(harness.call(Harness::request(RequestKind::Write, "put x 1")),
                Core::Outcome::Unknown, RefusalReason::AnswerLost, "held");
    checkAnswer(harness.call(Harness::request(RequestKind::Write, "put y 1")), Core::Outcome::Done,
                RefusalReason::None, "other");
    const auto answers = harness.answersGiven;
    harness.database("a").releaseHeld();
    harness.run(1_s);
    LONGS_EQUAL(answers, harness.answersGiven);
    CHECK_FALSE(harness.database("a").wasLentWhileHeld());
}

TEST(Callers, ASessionReadsItsWriteWhileAReplicaLags)
{
    // The second node is in the data centre of the database that lags.
    Harness harness({}, 2);
    harness.database("b").isReplicationStalled = true;
    const auto written = harness.call(Harness::request(RequestKind::Write, "put x 1"));
    checkAnswer(written, Core::Outcome::Done, RefusalReason::None, "write");
    for (const auto &token : {written.sessionToken, std::string(), std::string("garbled")}) {
        for (int i = 0; i < 10; ++i) {
            auto read = Harness::request(RequestKind::Read, "get x");
            read.sessionToken = token;
            const auto answer = harness.call(read, 1);
            checkAnswer(answer, Core::Outcome::Done, RefusalReason::None, token.c_str());
            LONGS_EQUAL_TEXT(1, answer.rows.size(), token.c_str());
        }
    }
}

TEST(Callers, AnIsolatedNodeRefusesKeys)
{
    Harness harness;
    harness.platform().isUp = false;
    harness.run(61_s);
    checkAnswer(harness.call(Harness::request(RequestKind::Write, "put x 1")),
                Core::Outcome::NotRun, RefusalReason::UnknownKey, "isolated");
    LONGS_EQUAL(0, harness.timesRun("put x 1"));
}

TEST(Callers, AWithdrawnKeyEndsItsTransaction)
{
    Harness harness;
    const auto begun = harness.call(Harness::request(RequestKind::Begin, ""));
    checkAnswer(begun, Core::Outcome::Done, RefusalReason::None, "begin");
    auto write = Harness::request(RequestKind::Write, "put x 1");
    write.transaction = begun.transaction;
    checkAnswer(harness.call(write), Core::Outcome::Done, RefusalReason::None, "write");
    CHECK(harness.withdrawKey());
    harness.run(500_ms);
    CHECK_FALSE(harness.database("a").hasOpenTransaction());
    LONGS_EQUAL(0, harness.timesKept("put x 1"));
    checkAnswer(harness.call(write), Core::Outcome::NotRun, RefusalReason::UnknownKey, "after");
}

TEST(Callers, AStoppingNodeFinishesWhatRunsAndThenStops)
{
    Harness harness;
    harness.stallReplicas();
    auto request = Harness::request(RequestKind::Write, "put x 1");
    request.deadline = 5_s;
    const auto id = harness.ask(request);
    harness.run(100_ms);
    harness.engine().shutDown(harness.now);
    CHECK_FALSE(harness.engine().isReady());
    harness.run(2_s);
    CHECK_FALSE(harness.isStopped);
    checkAnswer(harness.call(Harness::request(RequestKind::Write, "put y 1")),
                Core::Outcome::NotRun, RefusalReason::ShuttingDown, "draining");
    harness.resumeReplicas();
    CHECK(harness.runUntil([&] { return harness.isStopped; }, 5_s));
    CHECK(harness.answer(id) != nullptr);
    checkAnswer(*harness.answer(id), Core::Outcome::Done, RefusalReason::None, "running");
}

TEST(Callers, NoKeyReachesADatabase)
{
    Harness harness;
    checkAnswer(harness.call(Harness::request(RequestKind::Write, "put x 1")), Core::Outcome::Done,
                RefusalReason::None, "write");
    CHECK_FALSE(harness.statementsSent.empty());
    for (const auto &text : harness.statementsSent)
        CHECK(text.find("northsecret") == std::string::npos);
}

TEST(Callers, StatedAgesWithStalledReplicas)
{
    struct Case
    {
        const char *name;
        Freshness freshness;
        Core::Duration maximumAge;
    };
    const Case cases[] = {
        {"session without a token", Freshness::Session, {}},
        {"strong", Freshness::Strong, {}},
        {"an age of 100 ms", Freshness::StatedAge, 100_ms},
        {"an age of 1 s", Freshness::StatedAge, 1_s},
    };
    // The second node is in the data centre of the database that lags.
    Harness harness({}, 2);
    harness.database("b").isReplicationStalled = true;
    checkAnswer(harness.call(Harness::request(RequestKind::Write, "put x 1")), Core::Outcome::Done,
                RefusalReason::None, "write");
    harness.run(2_s);
    for (const auto &one : cases) {
        for (int i = 0; i < 10; ++i) {
            auto read = Harness::request(RequestKind::Read, "get x");
            read.freshness = one.freshness;
            read.maximumAge = one.maximumAge;
            const auto answer = harness.call(read, 1);
            checkAnswer(answer, Core::Outcome::Done, RefusalReason::None, one.name);
            LONGS_EQUAL_TEXT(1, answer.rows.size(), one.name);
        }
    }
}

TEST(Callers, ATransactionTakesEffectWithItsCommitAlone)
{
    Harness harness;
    const auto begun = harness.call(Harness::request(RequestKind::Begin, ""));
    checkAnswer(begun, Core::Outcome::Done, RefusalReason::None, "begin");
    auto write = Harness::request(RequestKind::Write, "put x 1");
    write.transaction = begun.transaction;
    checkAnswer(harness.call(write), Core::Outcome::Done, RefusalReason::None, "write");
    checkAnswer(harness.call(Harness::request(RequestKind::Write, "put y 1")), Core::Outcome::Done,
                RefusalReason::None, "beside it");
    LONGS_EQUAL(0, harness.timesKept("put x 1"));
    auto commit = Harness::request(RequestKind::Commit, "");
    commit.transaction = begun.transaction;
    checkAnswer(harness.call(commit), Core::Outcome::Done, RefusalReason::None, "commit");
    LONGS_EQUAL(1, harness.timesKept("put x 1"));
    checkAnswer(harness.call(write), Core::Outcome::NotRun, RefusalReason::TransactionEnded,
                "after its commit");
}

TEST(Callers, AConnectionThatBreaksEndsItsTransaction)
{
    struct Case
    {
        const char *name;
        RequestKind kind;
        const char *statement;
        std::size_t kept;
    };
    const Case cases[] = {
        {"write", RequestKind::Write, "put y 1", 0},
        {"commit", RequestKind::Commit, "", 1},
    };
    for (const auto &one : cases) {
        Harness harness;
        const auto begun = harness.call(Harness::request(RequestKind::Begin, ""));
        auto write = Harness::request(RequestKind::Write, "put x 1");
        write.transaction = begun.transaction;
        checkAnswer(harness.call(write), Core::Outcome::Done, RefusalReason::None, one.name);
        harness.database("a").fault = StatementFault::RunThenBreak;
        auto last = Harness::request(one.kind, one.statement);
        last.transaction = begun.transaction;
        const auto answer = harness.call(last);
        // It ran, though its effect may be gone, so `not run` would be untrue.
        checkAnswer(answer, Core::Outcome::Unknown, RefusalReason::AnswerLost, one.name);
        harness.database("a").fault = StatementFault::None;
        checkAnswer(harness.call(write), Core::Outcome::NotRun, RefusalReason::TransactionEnded,
                    one.name);
        LONGS_EQUAL_TEXT(one.kept, harness.timesKept("put x 1"), one.name);
    }
}

TEST(Callers, AConnectionThatBreaksBetweenStatementsEndsItsTransaction)
{
    Harness harness;
    auto write = Harness::request(RequestKind::Write, "put x 1");
    write.transaction = harness.call(Harness::request(RequestKind::Begin, "")).transaction;
    checkAnswer(harness.call(write), Core::Outcome::Done, RefusalReason::None, "write");
    harness.database("a").breakConnections();
    harness.run(100_ms);
    for (const auto kind : {RequestKind::Write, RequestKind::Commit, RequestKind::Rollback}) {
        auto next = Harness::request(kind, kind == RequestKind::Write ? "put y 1" : "");
        next.transaction = write.transaction;
        checkAnswer(harness.call(next), Core::Outcome::NotRun, RefusalReason::TransactionEnded,
                    "next");
    }
    LONGS_EQUAL(0, harness.timesKept("put x 1"));
    LONGS_EQUAL(0, harness.timesRun("put y 1"));
}

TEST(Callers, ANodeOfTheOtherHalfTellsWhereToGo)
{
    Harness harness("south");
    const auto answer = harness.call(Harness::request(RequestKind::Write, "put x 1"));
    checkAnswer(answer, Core::Outcome::NotRun, RefusalReason::WrongHalf, "south");
    STRCMP_EQUAL("http://north", answer.location.c_str());
    LONGS_EQUAL(0, harness.timesRun("put x 1"));
}

TEST(Callers, ASecondProxyKeepsTheSessionsPromise)
{
    Harness harness({}, 2);
    harness.database("b").isReplicationStalled = true;
    const auto written = harness.call(Harness::request(RequestKind::Write, "put x 1"), 0);
    checkAnswer(written, Core::Outcome::Done, RefusalReason::None, "write");
    for (int i = 0; i < 10; ++i) {
        auto read = Harness::request(RequestKind::Read, "get x");
        read.sessionToken = written.sessionToken;
        const auto answer = harness.call(read, 1);
        checkAnswer(answer, Core::Outcome::Done, RefusalReason::None, "read");
        LONGS_EQUAL(1, answer.rows.size());
    }
}

TEST(Callers, AKeyWithdrawnWhileAWriteIsQueuedIsNotRun)
{
    Harness harness;
    harness.database("a").fault = StatementFault::HoldAnswer;
    std::vector<RequestId> ids;
    for (int i = 0; i < 40; ++i) {
        auto request = Harness::request(RequestKind::Write, "put x" + std::to_string(i) + " 1");
        request.deadline = 30_s;
        ids.push_back(harness.ask(request));
    }
    harness.run(100_ms);
    LONGS_EQUAL(0, harness.timesKept("put x39 1"));
    CHECK(harness.withdrawKey());
    harness.run(100_ms);
    CHECK(harness.answer(ids.back()) != nullptr);
    checkAnswer(*harness.answer(ids.back()), Core::Outcome::NotRun, RefusalReason::UnknownKey,
                "queued");
    harness.database("a").fault = StatementFault::None;
    harness.database("a").releaseHeld();
    harness.run(5_s);
    LONGS_EQUAL(0, harness.timesRun("put x39 1"));
}
