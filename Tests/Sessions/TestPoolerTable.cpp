#include <Sessions/PoolerTable.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Core::Literals;
using Chervilpin::Sessions::DatabaseEntry;
using Chervilpin::Sessions::PoolerTable;
using Chervilpin::Sessions::PoolMember;

TEST_GROUP(PoolerTable)
{
    Core::Instant now{1'000};
    PoolerTable table{Core::NodeName("self")};
    DatabaseEntry database;

    void setup() override
    {
        database.id = Core::DatabaseName("db");
        database.dataCentre = Core::DataCentreName("near");
    }

    static PoolMember member(const char *node, const char *dataCentre, unsigned capacity = 250)
    {
        return {Core::NodeName(node), Core::DataCentreName(dataCentre), std::string(node) + ":1",
                capacity};
    }

    std::string chosen()
    {
        const PoolMember *pooler = table.choose(database, now);
        return pooler ? pooler->node.value() : "none";
    }
};

TEST(PoolerTable, ThePoolerIsInTheDatabasesDataCentre)
{
    table.setMembers({member("self", "far"), member("a", "far"), member("b", "near")});
    STRCMP_EQUAL("b", chosen().c_str());
    CHECK(!table.isSelf(database, now));
}

TEST(PoolerTable, AWeakVmIsPassedOver)
{
    for (const char *name : {"db-1", "db-2", "db-3", "db-4"}) {
        database.id = Core::DatabaseName(name);
        table.setMembers({member("weak", "near", 120), member("strong", "near", 500)});
        STRCMP_EQUAL("strong", chosen().c_str());
    }
}

TEST(PoolerTable, AProxyForwardsNothingToItself)
{
    table.setMembers({member("self", "near"), member("a", "far")});
    STRCMP_EQUAL("none", chosen().c_str());
    CHECK(table.isSelf(database, now));
}

TEST(PoolerTable, APoolerThatFailedIsChosenAgainOnceItAnswersAProbe)
{
    table.setMembers({member("a", "near"), member("b", "far")});
    const Core::NodeName a("a");
    table.opening(a, now);
    table.opened(a, now);
    table.lost(a, now);
    STRCMP_EQUAL("b", chosen().c_str());
    LONGS_EQUAL(1, table.review(now).toOpen.size());
    table.opening(a, now);
    table.opened(a, now);
    // A frozen process accepts links, too.
    STRCMP_EQUAL("b", chosen().c_str());
    CHECK(table.review(now).toPing == std::vector{a});
    table.heard(a, now);
    STRCMP_EQUAL("a", chosen().c_str());
}

TEST(PoolerTable, ProbesOfAPoolerThatStaysAwayGetRare)
{
    table.setMembers({member("a", "near"), member("b", "far")});
    const Core::NodeName a("a");
    unsigned probes = 0;
    table.lost(a, now);
    for (int i = 0; i < 600; ++i, now = now + 100_ms) {
        for (const auto &opened : table.review(now).toOpen) {
            ++probes;
            table.opening(opened.node, now);
            table.lost(opened.node, now);
        }
        STRCMP_EQUAL("b", chosen().c_str());
    }
    CHECK(probes >= 30 && probes <= 50);
}

TEST(PoolerTable, OneThatLeftIsNotProbed)
{
    table.setMembers({member("a", "near"), member("b", "far")});
    table.lost(Core::NodeName("a"), now);
    table.setMembers({member("b", "far")});
    CHECK(table.review(now + 10_s).toOpen.empty());
    CHECK(table.nextReview() == Core::Instant::never());
}

TEST(PoolerTable, TheNextInRankFindsOutWhetherTheFirstCanBeReached)
{
    table.setMembers({member("a", "near"), member("self", "far")});
    const Core::NodeName a("a");
    CHECK(table.unknownFirst(database)->node == a);
    table.opening(a, now);
    POINTERS_EQUAL(nullptr, table.unknownFirst(database));
    table.lost(a, now);
    POINTERS_EQUAL(nullptr, table.unknownFirst(database));
    CHECK(table.isSelf(database, now));
}

TEST(PoolerTable, OneThatIsStoppingIsAvoidedForAWhile)
{
    table.setMembers({member("a", "near"), member("self", "far")});
    table.refused(Core::NodeName("a"), now);
    CHECK(table.isSelf(database, now));
    now = now + 10_s;
    STRCMP_EQUAL("a", chosen().c_str());
}

TEST(PoolerTable, AQuietPoolerIsPingedAndThenTakenAsGone)
{
    const Core::NodeName a("a");
    table.setMembers({member("a", "near")});
    table.opened(a, now);
    now = now + 1_s;
    CHECK(table.review(now).toPing.empty());
    table.asked(a, now);
    CHECK(table.review(now + 50_ms).toPing.empty());
    now = now + 150_ms;
    CHECK(table.review(now).toPing == std::vector{a});
    CHECK(table.review(now + 100_ms).silent.empty());
    CHECK(table.review(now + 250_ms).silent == std::vector{a});
}

TEST(PoolerTable, AnAnswerToAPingClearsThePooler)
{
    const Core::NodeName a("a");
    table.setMembers({member("a", "near")});
    table.opened(a, now);
    table.asked(a, now);
    now = now + 150_ms;
    CHECK(table.review(now).toPing == std::vector{a});
    table.heard(a, now + 5_ms);
    CHECK(table.review(now + 50_ms).silent.empty());
    table.settled(a);
    CHECK(table.review(now + 10_s).toPing.empty());
}

TEST(PoolerTable, ALinkThatDoesNotOpenIsGivenUp)
{
    const Core::NodeName a("a");
    table.setMembers({member("a", "near")});
    table.opening(a, now);
    CHECK(table.review(now + 100_ms).silent.empty());
    CHECK(table.review(now + 400_ms).silent == std::vector{a});
}
