#include <Sessions/ConnectionLimits.h>

#include <CppUTest/TestHarness.h>

using Chervilpin::Sessions::ConnectionLimits;

TEST_GROUP(ConnectionLimits){};

TEST(ConnectionLimits, AFewTeamsKeepTheirConnections)
{
    // mcr-registry: 33 connections, 7 proxies, 8 teams.
    const auto limits = ConnectionLimits::divide(33, 7, 8);
    LONGS_EQUAL(4, limits.open);
    CHECK(limits.areIdleKept);
}

TEST(ConnectionLimits, ManyTeamsShareWhatIsNotInUse)
{
    // mcr-registry-grown: 82 connections, 75 proxies, 80 teams.
    const auto limits = ConnectionLimits::divide(82, 75, 80);
    LONGS_EQUAL(3, limits.open);
    CHECK(!limits.areIdleKept);
}

TEST(ConnectionLimits, OneIsAlwaysAllowed)
{
    LONGS_EQUAL(1, ConnectionLimits::divide(0, 1, 80).open);
    LONGS_EQUAL(1, ConnectionLimits::divide(1, 0, 1).open);
}

TEST(ConnectionLimits, APoolerLeavesSomeToOthers)
{
    const auto pooler = ConnectionLimits::forPooler(16);
    LONGS_EQUAL(12, pooler.open);
    CHECK(pooler.areIdleKept);
    const auto other = ConnectionLimits::besidePooler(16);
    LONGS_EQUAL(2, other.open);
    CHECK(!other.areIdleKept);
    LONGS_EQUAL(1, ConnectionLimits::forPooler(1).open);
    LONGS_EQUAL(1, ConnectionLimits::besidePooler(1).open);
}

TEST(ConnectionLimits, APoolerIsNeededWhereAnEvenPartHasLessThanOneForEachTeam)
{
    // huonheel-pool, mcr-registry-large, and a fleet with plenty.
    CHECK(ConnectionLimits::isPoolerNeeded(16, 9, 8));
    CHECK(ConnectionLimits::isPoolerNeeded(193, 295, 190));
    CHECK(!ConnectionLimits::isPoolerNeeded(300, 9, 8));
    CHECK(!ConnectionLimits::isPoolerNeeded(16, 1, 80));
}
