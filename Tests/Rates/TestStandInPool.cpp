#include <Rates/StandInPool.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Rates;
using namespace Chervilpin::Core::Literals;

TEST_GROUP(StandInPool)
{
    StandInPool pool;
    Core::Instant now{100'000};

    /// One operation is asked for so often each second, for so long; returns how many start.
    unsigned ask(unsigned perSecond, double usualPerSecond, Core::Duration span)
    {
        unsigned taken = 0;
        const Core::Duration gap(1'000 / perSecond);
        for (const Core::Instant end = now + span; now < end; now = now + gap)
            taken += pool.take(1, usualPerSecond, now);
        return taken;
    }
};

TEST(StandInPool, GoesOnAtTheUsualRate)
{
    CHECK(ask(20, 20, 5_s) >= 85);
}

TEST(StandInPool, ASurgeGetsNoMoreThanWhatIsThereInAnyCase)
{
    pool.setBase({2, 2}, now);
    (void)ask(100, 20, 2_s);
    CHECK(ask(100, 20, 5_s) <= 11);
}

TEST(StandInPool, ASurgeIsNoticedBeforeASecondHasPassed)
{
    CHECK(ask(100, 20, 5_s) <= 20);
}

TEST(StandInPool, SomeMoreThanUsualIsNoSurge)
{
    CHECK(ask(33, 20, 5_s) >= 80);
}

TEST(StandInPool, WhatWasUsualInAnEarlierCutIsForgotten)
{
    (void)ask(20, 20, 5_s);
    now = now + 60_s;
    LONGS_EQUAL(0, ask(1, 0, 5_s));
}

TEST(StandInPool, WithoutAUsualRateThereIsTheBase)
{
    pool.setBase({10, 2}, now);
    const unsigned taken = ask(5, 0, 2_s);
    CHECK(taken >= 9);
}
