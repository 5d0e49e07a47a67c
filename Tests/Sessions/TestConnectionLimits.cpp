#include <Sessions/ConnectionLimits.h>

#include <CppUTest/TestHarness.h>

using Chervilpin::Sessions::ConnectionLimits;

TEST_GROUP(ConnectionLimits){};

TEST(ConnectionLimits, IdleConnectionsAreKeptForFewTeams)
{
    // 33 connections, 7 proxies, 8 teams.
    const auto limits = ConnectionLimits::forProxy(33, 7, 8);
    LONGS_EQUAL(4, limits.maximumOpen);
    CHECK(limits.keepsIdle);
}

TEST(ConnectionLimits, IdleConnectionsAreClosedForManyTeams)
{
    // 82 connections, 75 proxies, 80 teams.
    const auto limits = ConnectionLimits::forProxy(82, 75, 80);
    LONGS_EQUAL(3, limits.maximumOpen);
    CHECK(!limits.keepsIdle);
}

TEST(ConnectionLimits, OneConnectionIsAlwaysAllowed)
{
    LONGS_EQUAL(1, ConnectionLimits::forProxy(0, 1, 80).maximumOpen);
    LONGS_EQUAL(1, ConnectionLimits::forProxy(1, 0, 1).maximumOpen);
}

TEST(ConnectionLimits, PoolerLeavesConnectionsToOthers)
{
    const auto pooler = ConnectionLimits::forPooler(16);
    LONGS_EQUAL(12, pooler.maximumOpen);
    CHECK(pooler.keepsIdle);
    const auto other = ConnectionLimits::forNonPooler(16);
    LONGS_EQUAL(2, other.maximumOpen);
    CHECK(!other.keepsIdle);
    LONGS_EQUAL(1, ConnectionLimits::forPooler(1).maximumOpen);
    LONGS_EQUAL(1, ConnectionLimits::forNonPooler(1).maximumOpen);
}

TEST(ConnectionLimits, PoolerIsNeededIfTheEvenShareIsLessThanOnePerTeam)
{
    // A small and a large fleet with scarce connections, a fleet with enough, and a single proxy.
    CHECK(ConnectionLimits::isPoolerNeeded(16, 9, 8));
    CHECK(ConnectionLimits::isPoolerNeeded(193, 295, 190));
    CHECK(!ConnectionLimits::isPoolerNeeded(300, 9, 8));
    CHECK(!ConnectionLimits::isPoolerNeeded(16, 1, 80));
}
