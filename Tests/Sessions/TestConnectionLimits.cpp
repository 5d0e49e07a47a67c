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
