#include <Rates/FallbackBucket.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Rates;
using namespace Chervilpin::Core::Literals;

TEST_GROUP(FallbackBucket)
{
    FallbackBucket bucket;
    Core::Instant now{100'000};

    /// Requests single tokens \a perSecond times per second for \a span; returns how many were
    /// taken.
    unsigned request(unsigned perSecond, double baselinePerSecond, Core::Duration span)
    {
        unsigned taken = 0;
        const Core::Duration gap(1'000 / perSecond);
        for (const Core::Instant end = now + span; now < end; now = now + gap)
            taken += bucket.take(1, baselinePerSecond, now);
        return taken;
    }
};

TEST(FallbackBucket, RefillsAtTheBaselineRate)
{
    CHECK(request(20, 20, 5_s) >= 85);
}

TEST(FallbackBucket, SurgeGetsOnlyTheGuaranteedLimits)
{
    bucket.setGuaranteed({2, 2}, now);
    (void)request(100, 20, 2_s);
    CHECK(request(100, 20, 5_s) <= 11);
}

TEST(FallbackBucket, SurgeIsDetectedWithinOneSecond)
{
    CHECK(request(100, 20, 5_s) <= 20);
}

TEST(FallbackBucket, ModerateIncreaseIsNoSurge)
{
    CHECK(request(33, 20, 5_s) >= 80);
}

TEST(FallbackBucket, BaselineOfAnEarlierPartitionExpires)
{
    (void)request(20, 20, 5_s);
    now = now + 60_s;
    LONGS_EQUAL(0, request(1, 0, 5_s));
}

TEST(FallbackBucket, GuaranteedLimitsApplyWithoutABaseline)
{
    bucket.setGuaranteed({10, 2}, now);
    const unsigned taken = request(5, 0, 2_s);
    CHECK(taken >= 9);
}
