#include "Databases.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace Chervilpin;
using namespace Chervilpin::Core::Literals;
using namespace Chervilpin::StandIn;
using Upstream::Reason;
using Upstream::StatementKind;
using Upstream::Verdict;

TEST_GROUP(DatabaseSession)
{
    DatabaseState database = databaseOf("a");
    DatabaseSession session;

    Upstream::Answer execute(StatementKind kind, std::string_view text,
                             std::string_view transaction, Core::Instant now = {})
    {
        auto statement = statementOf(kind, 1, text, transaction);
        statement.transactionIdle = 100_ms;
        return session.execute(database, statement, now);
    }
    std::string value(std::string_view key)
    {
        const auto rows = read(database, database.status().knownTerm, key).rows;
        return rows.empty() ? std::string() : rows.front();
    }
};

TEST(DatabaseSession, RefusesWhatDoesNotBelongToTheOpenTransaction)
{
    struct Row
    {
        std::string name;
        bool isBegun;
        StatementKind kind;
        std::string transaction;
        Verdict verdict;
        Reason reason;
    };
    const std::vector<Row> rows{
        {"commit without begin", false, StatementKind::Commit, "t", Verdict::NotRun,
         Reason::NoTransaction},
        {"rollback without begin", false, StatementKind::Rollback, "", Verdict::NotRun,
         Reason::NoTransaction},
        {"write of a lost transaction", false, StatementKind::Write, "t", Verdict::NotRun,
         Reason::NoTransaction},
        {"write of another transaction", true, StatementKind::Write, "u", Verdict::NotRun,
         Reason::NoTransaction},
        {"commit of another transaction", true, StatementKind::Commit, "u", Verdict::NotRun,
         Reason::NoTransaction},
        {"second begin", true, StatementKind::Begin, "u", Verdict::NotRun, Reason::BadStatement},
        {"write of the transaction", true, StatementKind::Write, "t", Verdict::Done, Reason::None},
        {"write without a name", true, StatementKind::Write, "", Verdict::Done, Reason::None},
        {"commit", true, StatementKind::Commit, "t", Verdict::Done, Reason::None},
    };
    for (const auto &row : rows) {
        session = {};
        if (row.isBegun)
            CHECK(execute(StatementKind::Begin, "", "t").verdict == Verdict::Done);
        const auto answer = execute(row.kind, "put k v", row.transaction);
        CHECK_TEXT(answer.verdict == row.verdict, row.name.c_str());
        CHECK_TEXT(answer.reason == row.reason, row.name.c_str());
    }
}

TEST(DatabaseSession, CommitAppendsAllWritesAsOneEntry)
{
    CHECK(execute(StatementKind::Begin, "", "t").verdict == Verdict::Done);
    CHECK(execute(StatementKind::Write, "put k 1", "t").verdict == Verdict::Done);
    CHECK(execute(StatementKind::Write, "add k 2", "t").verdict == Verdict::Done);
    STRCMP_EQUAL("", value("k").c_str());
    STRCMP_EQUAL(R"({"key":"k","value":"3","position":0})",
                 execute(StatementKind::Read, "get k", "t").rows.front().c_str());
    CHECK((execute(StatementKind::Commit, "", "t").status.held == Core::LogMark{1, 1}));
    STRCMP_EQUAL(R"({"key":"k","value":"3","position":1})", value("k").c_str());
    CHECK(!session.isInTransaction());
}

TEST(DatabaseSession, FailedCommitLeavesNothing)
{
    CHECK(execute(StatementKind::Begin, "", "t").verdict == Verdict::Done);
    CHECK(execute(StatementKind::Write, "put other v", "t").verdict == Verdict::Done);
    CHECK(execute(StatementKind::Write, "put k text", "t").verdict == Verdict::Done);
    CHECK(execute(StatementKind::Write, "add k 1", "t").verdict == Verdict::Done);
    CHECK(execute(StatementKind::Commit, "", "t").verdict == Verdict::Failed);
    STRCMP_EQUAL("", value("other").c_str());
    LONGS_EQUAL(0, database.status().held.position);
}

TEST(DatabaseSession, IdleTransactionIsRolledBack)
{
    CHECK(execute(StatementKind::Begin, "", "t", Core::Instant(0)).verdict == Verdict::Done);
    CHECK(execute(StatementKind::Write, "put k v", "t", Core::Instant(99)).verdict
          == Verdict::Done);
    CHECK(!session.rollBackIfIdle(Core::Instant(198)));
    CHECK(execute(StatementKind::Commit, "", "t", Core::Instant(199)).reason
          == Reason::NoTransaction);
    STRCMP_EQUAL("", value("k").c_str());
}

TEST(DatabaseSession, TransactionEndsWithItsTerm)
{
    // With the rule off the commit of a transaction of term 1 would take effect in term 2.
    for (const auto endsTransactions : {true, false}) {
        database = databaseOf("a", {.endsTransactions = endsTransactions});
        session = {};
        CHECK(execute(StatementKind::Begin, "", "t").verdict == Verdict::Done);
        CHECK(execute(StatementKind::Write, "put k v", "t").verdict == Verdict::Done);
        CHECK(database.fence({2}).verdict == Verdict::Done);
        CHECK(execute(StatementKind::Commit, "", "t").reason == Reason::Superseded);
        CHECK(database.promote({2}).verdict == Verdict::Done);
        const auto commit = statementOf(StatementKind::Commit, 2, "", "t");
        const auto expected = endsTransactions ? Reason::NoTransaction : Reason::None;
        const auto answer = session.execute(database, commit, {});
        // The refused commit has ended it already in the first case.
        CHECK(answer.reason == expected);
    }
}
