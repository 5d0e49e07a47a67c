#include <Sessions/WaitEstimate.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Sessions;
using namespace Chervilpin::Core::Literals;
using WaitEstimate::SlotLoad;

TEST_GROUP(WaitEstimate){};

TEST(WaitEstimate, FreeSlotMeansNoWait)
{
    CHECK(WaitEstimate::expectedWait({5, 4, 0, 20}) == 0_ms);
}

TEST(WaitEstimate, WaitGrowsWithTheStatementsAheadAndTheirTime)
{
    // Eleven statements before it leave five slots every 20 ms.
    CHECK(WaitEstimate::expectedWait({5, 6, 5, 20}) == 28_ms);
    CHECK(WaitEstimate::expectedWait({5, 6, 5, 40}) == 56_ms);
    CHECK(WaitEstimate::expectedWait({1, 6, 5, 20}) == 220_ms);
}

TEST(WaitEstimate, UnknownServiceTimeRefusesNobody)
{
    CHECK(!WaitEstimate::isUnmeetable(WaitEstimate::expectedWait({1, 6, 50, 0}), 10_ms));
}

TEST(WaitEstimate, OnlyWaitsWellBeyondTheAllowedAreUnmeetable)
{
    CHECK(!WaitEstimate::isUnmeetable(120_ms, 100_ms));
    CHECK(WaitEstimate::isUnmeetable(130_ms, 100_ms));
}

TEST(WaitEstimate, CallersRefusedTogetherReturnOneAfterTheOther)
{
    const SlotLoad load{5, 6, 100, 20};
    const auto first = WaitEstimate::retryDelay(load, 100_ms, 0);
    const auto second = WaitEstimate::retryDelay(load, 100_ms, 1);
    CHECK(first == 308_ms);
    CHECK(second > first);
}
