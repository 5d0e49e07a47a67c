#include <StandIn/AuditChecker.h>

#include <CppUTest/TestHarness.h>

#include <array>
#include <functional>
#include <string>
#include <vector>

using namespace Chervilpin;
using namespace Chervilpin::StandIn;

TEST_GROUP(AuditChecker){};

namespace {

/// What a run left behind; each case of the table breaks it in one way.
struct Run
{
    std::vector<AuditedDatabase> databases;
    std::vector<HistoryEntry> history;
};

AuditedStatement statementOf(std::uint64_t connection, std::string text, std::string transaction)
{
    AuditedStatement statement;
    statement.connection = connection;
    statement.text = std::move(text);
    statement.transaction = transaction;
    statement.openTransaction = std::move(transaction);
    statement.isDone = true;
    statement.isWrite = true;
    return statement;
}

AuditedStatement beginOf(std::uint64_t connection, std::string transaction)
{
    auto statement = statementOf(connection, "", std::move(transaction));
    statement.openTransaction.clear();
    statement.isWrite = false;
    statement.isBegin = true;
    return statement;
}

HistoryEntry writeOf(std::string id, Core::Outcome outcome, std::string transaction = {})
{
    HistoryEntry entry;
    entry.session = "s";
    entry.key = "k";
    entry.id = std::move(id);
    entry.outcome = outcome;
    entry.transaction = std::move(transaction);
    return entry;
}

HistoryEntry readOf(Core::LogPosition position)
{
    HistoryEntry entry;
    entry.kind = HistoryEntry::Kind::Read;
    entry.session = "s";
    entry.key = "k";
    entry.outcome = Core::Outcome::Done;
    entry.position = position;
    return entry;
}

/// One write, one transaction of two writes, a refused write and a lost answer, all as promised.
/// Database b was cut off with a write that the group never had.
Run cleanRun()
{
    AuditedDatabase a;
    a.name = "a";
    a.held = {2, 4};
    a.log = {{{1, 1}, {"append k w1"}},
             {{2, 2}, {}},
             {{2, 3}, {"append k t1", "append k t2"}},
             {{2, 4}, {"append k w3"}}};
    a.statements = {statementOf(1, "append k w1", ""), beginOf(1, "t"),
                    statementOf(1, "append k t1", "t"), statementOf(1, "append k t2", "t"),
                    statementOf(2, "append k w3", "")};
    AuditedDatabase b;
    b.name = "b";
    b.held = {1, 2};
    b.log = {{{1, 1}, {"append k w1"}}, {{1, 2}, {"append k w4"}}};
    b.statements = {statementOf(1, "append k w4", "")};
    return {{a, b},
            {writeOf("w1", Core::Outcome::Done), readOf(1), writeOf("t1", Core::Outcome::Done, "T"),
             writeOf("t2", Core::Outcome::Done, "T"), readOf(3),
             writeOf("w2", Core::Outcome::NotRun), writeOf("w3", Core::Outcome::Unknown),
             writeOf("w4", Core::Outcome::Unknown), readOf(3)}};
}

struct Broken
{
    std::string name;
    std::function<void(Run &)> breakIt;
    std::uint64_t AuditReport::*counter;
};

const std::vector<Broken> brokenRuns{
    {"a done write is in no log", [](Run &run) { run.databases[0].log[0].writes.clear(); },
     &AuditReport::lost},
    {"a done write is only where the group lost it",
     [](Run &run) { run.history.push_back(writeOf("w4", Core::Outcome::Done)); },
     &AuditReport::lost},
    {"a write of a done transaction is missing",
     [](Run &run) { run.databases[0].log[2].writes.pop_back(); }, &AuditReport::lost},
    {"a write is in the log twice",
     [](Run &run) {
         run.databases[0].log.push_back({{2, 5}, {"append k w3"}});
     },
     &AuditReport::doubled},
    {"a write ran on two databases",
     [](Run &run) { run.databases[1].statements.push_back(statementOf(2, "append k w1", "")); },
     &AuditReport::doubled},
    {"a write that was told not run is in the log",
     [](Run &run) {
         run.databases[0].log.push_back({{2, 5}, {"append k w2"}});
     },
     &AuditReport::untrueNotRun},
    {"a write that was told not run ran where the group lost it",
     [](Run &run) { run.databases[1].statements.push_back(statementOf(2, "append k w2", "")); },
     &AuditReport::untrueNotRun},
    {"a read misses a write of its session", [](Run &run) { run.history.push_back(readOf(2)); },
     &AuditReport::staleReads},
    {"a read finds no row after a write", [](Run &run) { run.history.push_back(readOf(0)); },
     &AuditReport::staleReads},
    {"a statement ran in another's transaction",
     [](Run &run) { run.databases[0].statements[2].openTransaction = "u"; },
     &AuditReport::mixedTransactions},
    {"a transaction was begun on two connections",
     [](Run &run) { run.databases[0].statements.push_back(beginOf(3, "t")); },
     &AuditReport::mixedTransactions},
    {"one log entry has writes of two transactions",
     [](Run &run) { run.history[3].transaction = "U"; }, &AuditReport::mixedTransactions},
    {"a transaction's writes are in two log entries",
     [](Run &run) {
         run.databases[0].log[2].writes.pop_back();
         run.databases[0].log.push_back({{2, 5}, {"append k t2"}});
     },
     &AuditReport::mixedTransactions},
    {"a database saw a caller's key", [](Run &run) { run.databases[1].keySightings = 1; },
     &AuditReport::keysSeen},
};

AuditReport check(const Run &run)
{
    return AuditChecker(run.databases, run.history).check();
}

} // namespace

TEST(AuditChecker, PassesARunThatKeptItsPromises)
{
    STRCMP_EQUAL("lost=0 doubled=0 untrue_not_run=0 stale_reads=0 mixed_transactions=0 keys_seen=0",
                 check(cleanRun()).toText().c_str());
}

TEST(AuditChecker, CatchesEachBrokenPromise)
{
    for (const auto &row : brokenRuns) {
        auto run = cleanRun();
        row.breakIt(run);
        const auto report = check(run);
        CHECK_TEXT(!report.isClean(), row.name.c_str());
        LONGS_EQUAL_TEXT(1, report.*row.counter, row.name.c_str());
    }
}

TEST(AuditChecker, RepeatableWritesMayRunTwice)
{
    auto run = cleanRun();
    run.databases[0].log.push_back({{2, 5}, {"append k w3"}});
    run.history[6].isRepeatable = true;
    CHECK(check(run).isClean());
}

TEST(AuditChecker, ReadsTheAuditOfADatabase)
{
    const auto database = AuditedDatabase::create(
        R"({"entries":[{"connection":3,"transaction":"t","open_transaction":"","text":"x",
                "verdict":"done","kind":"begin"}],"key_seen":[{"where":"frame"}]})",
        R"({"database":"a","term":2,"position":1,
                "entries":[{"term":2,"position":1,"writes":["put k v"]}]})");
    CHECK(database.has_value());
    LONGS_EQUAL(1, database->statements.size());
    CHECK(database->statements[0].isBegin);
    LONGS_EQUAL(3, database->statements[0].connection);
    LONGS_EQUAL(1, database->keySightings);
    CHECK((database->held == Core::LogMark{2, 1}));
    STRCMP_EQUAL("put k v", database->log[0].writes[0].c_str());
}

TEST(AuditChecker, RefusesWhatItCannotRead)
{
    CHECK(!AuditedDatabase::create("{}", "{}").has_value());
    for (const std::string line :
         {"", "[]", "{}", R"({"kind":"write","key":"k"})", R"({"kind":"write","key":1})",
          R"({"kind":"write","key":"k","outcome":"maybe"})",
          R"({"kind":"write","key":"k","outcome":"done","position":"x"})"})
        CHECK_TEXT(!HistoryEntry::create(line).has_value(), line.c_str());
    const auto entry = HistoryEntry::create(
        R"({"kind":"read","session":"s","key":"k","outcome":"done","position":4})");
    CHECK(entry.has_value());
    CHECK(entry->kind == HistoryEntry::Kind::Read);
    LONGS_EQUAL(4, entry->position);
}
