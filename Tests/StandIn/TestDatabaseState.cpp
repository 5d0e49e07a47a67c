#include "Databases.h"

#include <StandIn/DatabaseState.h>

#include <CppUTest/TestHarness.h>

#include <functional>
#include <string>
#include <vector>

using namespace Chervilpin;
using namespace Chervilpin::StandIn;
using Upstream::Answer;
using Upstream::Reason;
using Upstream::Role;
using Upstream::Verdict;

TEST_GROUP(DatabaseState){};

namespace {

Upstream::Follow followOf(Core::Term term, std::string_view primary)
{
    return {term, Core::DatabaseName(primary), "127.0.0.1:1"};
}

/// Orders and statements that come to a database in a known state.
struct RefusalCase
{
    std::string name;
    std::string database; ///< "a" is the primary of term 1, "b" its replica.
    std::function<void(DatabaseState &)> before;
    std::function<Answer(DatabaseState &)> request;
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::None;
};

void fenceAt(DatabaseState &database, Core::Term term)
{
    CHECK(database.fence({term}).verdict == Verdict::Done);
}

const std::vector<RefusalCase> refusalCases{
    {"write of the known term at the primary", "a", [](auto &) {},
     [](auto &d) { return write(d, 1, "put k v"); }, Verdict::Done, Reason::None},
    {"write of a higher term at the primary of a lower", "a", [](auto &) {},
     [](auto &d) { return write(d, 2, "put k v"); }, Verdict::NotRun, Reason::NotPrimary},
    {"write at a fenced primary", "a", [](auto &d) { fenceAt(d, 2); },
     [](auto &d) { return write(d, 1, "put k v"); }, Verdict::NotRun, Reason::Superseded},
    {"write of the fence's term at a fenced primary", "a", [](auto &d) { fenceAt(d, 2); },
     [](auto &d) { return write(d, 2, "put k v"); }, Verdict::NotRun, Reason::NotPrimary},
    {"write at a replica", "b", [](auto &) {}, [](auto &d) { return write(d, 1, "put k v"); },
     Verdict::NotRun, Reason::NotPrimary},
    {"read of a lower term", "b", [](auto &d) { fenceAt(d, 2); },
     [](auto &d) { return read(d, 1, "k"); }, Verdict::NotRun, Reason::Superseded},
    {"read of the fence's term at a fenced replica", "b", [](auto &d) { fenceAt(d, 2); },
     [](auto &d) { return read(d, 2, "k"); }, Verdict::Done, Reason::None},
    {"read of a mark of a later term", "b", [](auto &) {},
     [](auto &d) {
         return read(d, 2, "k", {2, 0});
     },
     Verdict::NotRun, Reason::Behind},
    {"read of a later position", "b", [](auto &) {},
     [](auto &d) {
         return read(d, 1, "k", {1, 1});
     },
     Verdict::NotRun, Reason::Behind},
    {"text that is no statement", "a", [](auto &) {}, [](auto &d) { return write(d, 1, "drop k"); },
     Verdict::NotRun, Reason::BadStatement},
    {"get as a write", "a", [](auto &) {}, [](auto &d) { return write(d, 1, "get k"); },
     Verdict::NotRun, Reason::BadStatement},
    {"write without a key", "a", [](auto &) {}, [](auto &d) { return write(d, 1, "put"); },
     Verdict::NotRun, Reason::BadStatement},
    {"add to a text", "a", [](auto &d) { CHECK(write(d, 1, "put k v").verdict == Verdict::Done); },
     [](auto &d) { return write(d, 1, "add k 1"); }, Verdict::Failed, Reason::BadStatement},
    {"add beyond 64 bits", "a",
     [](auto &d) { CHECK(write(d, 1, "add k 9223372036854775807").verdict == Verdict::Done); },
     [](auto &d) { return write(d, 1, "add k 1"); }, Verdict::Failed, Reason::BadStatement},
    {"fence of a lower term", "b", [](auto &d) { fenceAt(d, 3); },
     [](auto &d) { return d.fence({2}); }, Verdict::NotRun, Reason::Superseded},
    {"the same fence again", "b", [](auto &d) { fenceAt(d, 3); },
     [](auto &d) { return d.fence({3}); }, Verdict::Done, Reason::None},
    {"promotion without a fence", "b", [](auto &) {}, [](auto &d) { return d.promote({2}); },
     Verdict::NotRun, Reason::NotPrimary},
    {"promotion of a lower term", "b", [](auto &d) { fenceAt(d, 3); },
     [](auto &d) { return d.promote({2}); }, Verdict::NotRun, Reason::Superseded},
    {"promotion after a fence", "b", [](auto &d) { fenceAt(d, 2); },
     [](auto &d) { return d.promote({2}); }, Verdict::Done, Reason::None},
    {"the same promotion again", "b",
     [](auto &d) {
         fenceAt(d, 2);
         CHECK(d.promote({2}).verdict == Verdict::Done);
     },
     [](auto &d) { return d.promote({2}); }, Verdict::Done, Reason::None},
    {"promotion of the replica of a term in that term", "b", [](auto &) {},
     [](auto &d) { return d.promote({1}); }, Verdict::NotRun, Reason::NotPrimary},
    {"promotion of one that is told to follow in that term", "b",
     [](auto &d) { CHECK(d.follow(followOf(2, "c")).verdict == Verdict::Done); },
     [](auto &d) { return d.promote({2}); }, Verdict::NotRun, Reason::NotPrimary},
    {"follow of a lower term", "b", [](auto &d) { fenceAt(d, 3); },
     [](auto &d) { return d.follow(followOf(2, "c")); }, Verdict::NotRun, Reason::Superseded},
    {"follow of a second primary in one term", "b", [](auto &) {},
     [](auto &d) { return d.follow(followOf(1, "c")); }, Verdict::NotRun, Reason::BadStatement},
    {"follow of another by the primary of that term", "a", [](auto &) {},
     [](auto &d) { return d.follow(followOf(1, "c")); }, Verdict::NotRun, Reason::BadStatement},
    {"follow of itself", "b", [](auto &) {}, [](auto &d) { return d.follow(followOf(2, "b")); },
     Verdict::NotRun, Reason::BadStatement},
    {"follow of itself by the primary", "a", [](auto &) {},
     [](auto &d) { return d.follow(followOf(1, "a")); }, Verdict::Done, Reason::None},
};

} // namespace

TEST(DatabaseState, AnswersEachRequestByItsTermAndRole)
{
    for (const auto &row : refusalCases) {
        auto database = databaseOf(row.database);
        row.before(database);
        const auto held = database.status().held;
        const auto answer = row.request(database);
        CHECK_TEXT(answer.verdict == row.verdict, row.name.c_str());
        CHECK_TEXT(answer.reason == row.reason, row.name.c_str());
        if (row.verdict != Verdict::Done)
            CHECK_TEXT(database.status().held == held, row.name.c_str());
    }
}

TEST(DatabaseState, WithoutTheTermCheckALowerTermRuns)
{
    auto database = databaseOf("a", {.refusesLowerTerms = false});
    fenceAt(database, 2);
    CHECK(database.promote({2}).verdict == Verdict::Done);
    CHECK(write(database, 1, "put k v").verdict == Verdict::Done);
}

TEST(DatabaseState, FenceFreezesTheHeldMark)
{
    auto a = databaseOf("a");
    auto b = databaseOf("b");
    CHECK(write(a, 1, "put k v").verdict == Verdict::Done);
    const auto late = a.serve(*b.nextPull());
    fenceAt(b, 2);
    CHECK(!b.nextPull().has_value());
    CHECK(!b.receive(late));
    CHECK((b.status().held == Core::LogMark{1, 0}));
}

TEST(DatabaseState, FencedPrimaryServesNoReplication)
{
    auto a = databaseOf("a");
    auto b = databaseOf("b");
    const auto pull = *b.nextPull();
    fenceAt(a, 2);
    const auto batch = a.serve(pull);
    CHECK(batch.isRefused);
    LONGS_EQUAL(2, batch.knownTerm);
}

TEST(DatabaseState, PromotionOpensItsTermWithAnEntry)
{
    auto b = databaseOf("b");
    fenceAt(b, 2);
    CHECK((b.status().held == Core::LogMark{1, 0}));
    CHECK((b.promote({2}).status.held == Core::LogMark{2, 1}));
    CHECK(b.status().role == Role::Primary);
    CHECK((write(b, 2, "put k v").status.held == Core::LogMark{2, 2}));
}

TEST(DatabaseState, FollowerDropsWhatTheNewPrimaryLacks)
{
    auto a = databaseOf("a");
    auto b = databaseOf("b");
    CHECK(write(a, 1, "put k common").verdict == Verdict::Done);
    replicate(b, a);
    for (int count = 0; count < 20; ++count)
        CHECK(write(a, 1, "append k alone").verdict == Verdict::Done);
    fenceAt(b, 2);
    CHECK(b.promote({2}).verdict == Verdict::Done);
    CHECK(write(b, 2, "put other v").verdict == Verdict::Done);

    CHECK(a.follow(followOf(2, "b")).verdict == Verdict::Done);
    CHECK((a.status().held == Core::LogMark{1, 21}));
    replicate(a, b);
    CHECK((a.status().held == Core::LogMark{2, 3}));
    CHECK(std::equal(a.log().begin(), a.log().end(), b.log().begin(), b.log().end()));
    STRCMP_EQUAL(R"({"key":"k","value":"common","position":1})",
                 read(a, 2, "k").rows.front().c_str());
}

TEST(DatabaseState, NewTermIsReportedOnlyOnceItsFirstEntryIsHeld)
{
    struct Expected
    {
        bool reconcilesAtOnce;
        Core::LogMark held;
    };
    // With the rule off the follower claims term 2 while it lacks what term 2's primary held.
    for (const auto &row : {Expected{true, {2, 4}}, Expected{false, {2, 1}}}) {
        const DatabaseRules rules{.reconcilesAtOnce = row.reconcilesAtOnce};
        auto settings = settingsOf("a", rules);
        settings.maximumBatchEntries = 1;
        DatabaseState a(settings);
        auto b = databaseOf("b", rules);
        for (int count = 0; count < 3; ++count)
            CHECK(write(a, 1, "append k v").verdict == Verdict::Done);
        fenceAt(a, 2);
        CHECK(a.promote({2}).verdict == Verdict::Done);
        CHECK(b.follow(followOf(2, "a")).verdict == Verdict::Done);
        CHECK(b.receive(a.serve(*b.nextPull())));
        CHECK(b.status().held == row.held);
    }
}

TEST(DatabaseState, LateAndDoubledBatchesAddNothingTwice)
{
    auto a = databaseOf("a");
    auto b = databaseOf("b");
    CHECK(write(a, 1, "append k 1").verdict == Verdict::Done);
    const auto early = a.serve(*b.nextPull());
    CHECK(write(a, 1, "append k 2").verdict == Verdict::Done);
    const auto later = a.serve(*b.nextPull());
    CHECK(b.receive(later));
    CHECK(!b.receive(early));
    CHECK(!b.receive(later));
    STRCMP_EQUAL(R"({"key":"k","value":"12","position":2})", read(b, 1, "k").rows.front().c_str());
}

TEST(DatabaseState, BatchWithAGapIsIgnored)
{
    auto a = databaseOf("a");
    auto b = databaseOf("b");
    auto c = databaseOf("c");
    CHECK(write(a, 1, "append k 1").verdict == Verdict::Done);
    replicate(b, a);
    CHECK(write(a, 1, "append k 2").verdict == Verdict::Done);
    CHECK(!c.receive(a.serve(*b.nextPull())));
    LONGS_EQUAL(0, c.status().held.position);
}

TEST(DatabaseState, HeldNeedsTermAndPosition)
{
    struct Row
    {
        Core::LogMark mark;
        bool isHeld;
    };
    auto b = databaseOf("b");
    fenceAt(b, 3);
    CHECK(b.promote({3}).verdict == Verdict::Done);
    for (const auto &row : {Row{{0, 0}, true}, Row{{1, 1}, true}, Row{{3, 1}, true},
                            Row{{1, 2}, false}, Row{{3, 2}, false}, Row{{4, 0}, false}})
        CHECK_EQUAL(row.isHeld, b.holds(row.mark));
}

TEST(DatabaseState, WipeForgetsTermsAndCatchesUpAgain)
{
    auto a = databaseOf("a");
    auto b = databaseOf("b");
    CHECK(write(a, 1, "put k v").verdict == Verdict::Done);
    replicate(b, a);
    b.wipe();
    CHECK(b.status().held == Core::LogMark());
    LONGS_EQUAL(0, b.status().knownTerm);
    CHECK(!b.nextPull().has_value());
    CHECK(b.follow(followOf(1, "a")).verdict == Verdict::Done);
    replicate(b, a);
    CHECK((b.status().held == Core::LogMark{1, 1}));
}

TEST(DatabaseState, JournalBringsEverythingBack)
{
    auto settings = settingsOf("b");
    settings.journal = DatabaseState::Journal::On;
    DatabaseState b(settings);
    auto a = databaseOf("a");
    CHECK(write(a, 1, "put k v").verdict == Verdict::Done);
    replicate(b, a);
    fenceAt(b, 2);
    CHECK(b.promote({2}).verdict == Verdict::Done);
    CHECK(write(b, 2, "append k w").verdict == Verdict::Done);
    fenceAt(b, 3);
    CHECK(b.follow(followOf(3, "c")).verdict == Verdict::Done);

    DatabaseState restarted(settings);
    restarted.restore(b.takeJournal());
    CHECK(restarted.status().held == b.status().held);
    LONGS_EQUAL(3, restarted.status().knownTerm);
    CHECK(restarted.status().primary == Core::DatabaseName("c"));
    STRCMP_EQUAL("127.0.0.1:1", restarted.primaryAddress().c_str());
    STRCMP_EQUAL(R"({"key":"k","value":"vw","position":3})",
                 read(restarted, 3, "k").rows.front().c_str());
    CHECK(b.takeJournal().empty());
}
