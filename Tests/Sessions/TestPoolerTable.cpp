#include <Sessions/PoolerTable.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Core::Literals;
using Chervilpin::Sessions::DatabaseEntry;
using Chervilpin::Sessions::PoolerCandidate;
using Chervilpin::Sessions::PoolerTable;

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

    static PoolerCandidate member(const char *node, const char *dataCentre, unsigned capacity = 250)
    {
        return {Core::NodeName(node), Core::DataCentreName(dataCentre), std::string(node) + ":1",
                capacity};
    }

    std::string chosen()
    {
        const PoolerCandidate *pooler = table.choose(database, now);
        return pooler ? pooler->node.value() : "none";
    }
};

TEST(PoolerTable, PoolerIsInTheDataCentreOfTheDatabase)
{
    table.setMembers({member("self", "far"), member("a", "far"), member("b", "near")});
    STRCMP_EQUAL("b", chosen().c_str());
    CHECK(!table.isSelf(database, now));
}

TEST(PoolerTable, StrongVmIsPreferred)
{
    for (const char *name : {"db-1", "db-2", "db-3", "db-4"}) {
        database.id = Core::DatabaseName(name);
        table.setMembers({member("weak", "near", 120), member("strong", "near", 500)});
        STRCMP_EQUAL("strong", chosen().c_str());
    }
}

TEST(PoolerTable, ProxyForwardsNothingToItself)
{
    table.setMembers({member("self", "near"), member("a", "far")});
    STRCMP_EQUAL("none", chosen().c_str());
    CHECK(table.isSelf(database, now));
}

TEST(PoolerTable, FailedPoolerIsChosenAgainAfterAnsweringAProbe)
{
    table.setMembers({member("a", "near"), member("b", "far")});
    const Core::NodeName a("a");
    table.onLinkOpening(a, now);
    table.onLinkOpened(a, now);
    table.onLinkLost(a, now);
    STRCMP_EQUAL("b", chosen().c_str());
    LONGS_EQUAL(1, table.checkLinks(now).toOpen.size());
    table.onLinkOpening(a, now);
    table.onLinkOpened(a, now);
    // The kernel accepts connections even for a frozen process, so an open link proves nothing.
    STRCMP_EQUAL("b", chosen().c_str());
    CHECK(table.checkLinks(now).toPing == std::vector{a});
    table.onReceived(a, now);
    STRCMP_EQUAL("a", chosen().c_str());
}

TEST(PoolerTable, PoolerThatRefusedADatabaseIsPassedOverForThatDatabaseOnly)
{
    table.setMembers({member("a", "near"), member("b", "far")});
    STRCMP_EQUAL("a", chosen().c_str());
    table.onDatabaseRefused(Core::NodeName("a"), database.id, now);
    STRCMP_EQUAL("b", chosen().c_str());
    DatabaseEntry other = database;
    other.id = Core::DatabaseName("other");
    STRCMP_EQUAL("a", table.choose(other, now)->node.value().c_str());
    now = now + 1_s;
    STRCMP_EQUAL("a", chosen().c_str());
}

TEST(PoolerTable, ProbesBackOff)
{
    table.setMembers({member("a", "near"), member("b", "far")});
    const Core::NodeName a("a");
    unsigned probes = 0;
    table.onLinkLost(a, now);
    for (int i = 0; i < 600; ++i, now = now + 100_ms) {
        for (const auto &opened : table.checkLinks(now).toOpen) {
            ++probes;
            table.onLinkOpening(opened.node, now);
            table.onLinkLost(opened.node, now);
        }
        STRCMP_EQUAL("b", chosen().c_str());
    }
    CHECK(probes >= 30 && probes <= 50);
}

TEST(PoolerTable, RemovedMemberIsNotProbed)
{
    table.setMembers({member("a", "near"), member("b", "far")});
    table.onLinkLost(Core::NodeName("a"), now);
    table.setMembers({member("b", "far")});
    CHECK(table.checkLinks(now + 10_s).toOpen.empty());
    CHECK(table.nextLinkCheck() == Core::Instant::never());
}

TEST(PoolerTable, UntriedFirstCandidateIsReportedUntilItsLinkIsTried)
{
    table.setMembers({member("a", "near"), member("self", "far")});
    const Core::NodeName a("a");
    CHECK(table.untriedFirstCandidate(database)->node == a);
    table.onLinkOpening(a, now);
    POINTERS_EQUAL(nullptr, table.untriedFirstCandidate(database));
    table.onLinkLost(a, now);
    POINTERS_EQUAL(nullptr, table.untriedFirstCandidate(database));
    CHECK(table.isSelf(database, now));
}

TEST(PoolerTable, StoppingPoolerIsAvoidedTemporarily)
{
    table.setMembers({member("a", "near"), member("self", "far")});
    table.onRefused(Core::NodeName("a"), now);
    CHECK(table.isSelf(database, now));
    now = now + 10_s;
    STRCMP_EQUAL("a", chosen().c_str());
}

TEST(PoolerTable, SilentPoolerIsPingedThenReportedSilent)
{
    const Core::NodeName a("a");
    table.setMembers({member("a", "near")});
    table.onLinkOpened(a, now);
    now = now + 1_s;
    CHECK(table.checkLinks(now).toPing.empty());
    table.onStatementSent(a, now);
    CHECK(table.checkLinks(now + 50_ms).toPing.empty());
    now = now + 150_ms;
    CHECK(table.checkLinks(now).toPing == std::vector{a});
    CHECK(table.checkLinks(now + 100_ms).silent.empty());
    CHECK(table.checkLinks(now + 250_ms).silent == std::vector{a});
}

TEST(PoolerTable, AnsweredPingResetsTheTimeout)
{
    const Core::NodeName a("a");
    table.setMembers({member("a", "near")});
    table.onLinkOpened(a, now);
    table.onStatementSent(a, now);
    now = now + 150_ms;
    CHECK(table.checkLinks(now).toPing == std::vector{a});
    table.onReceived(a, now + 5_ms);
    CHECK(table.checkLinks(now + 50_ms).silent.empty());
    table.onStatementFinished(a);
    CHECK(table.checkLinks(now + 10_s).toPing.empty());
}

TEST(PoolerTable, LinkOpeningTimesOut)
{
    const Core::NodeName a("a");
    table.setMembers({member("a", "near")});
    table.onLinkOpening(a, now);
    CHECK(table.checkLinks(now + 100_ms).silent.empty());
    CHECK(table.checkLinks(now + 400_ms).silent == std::vector{a});
}
