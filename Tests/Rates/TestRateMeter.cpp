#include <Rates/RateMeter.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Rates;
using namespace Chervilpin::Core::Literals;

TEST_GROUP(RateMeter)
{
    RateMeter meter{10_s};
    Core::Instant now{100'000};

    void addEvents(unsigned perSecond, Core::Duration span)
    {
        const Core::Duration gap(1'000 / perSecond);
        for (const Core::Instant end = now + span; now < end; now = now + gap)
            meter.add(1, now);
    }
};

/// Guards against an underestimated rate when a network partition begins 2.8 s after the first
/// traffic, which is shorter than the span of the meter.
TEST(RateMeter, MeasuresTheRateSoonAfterTheFirstEvent)
{
    addEvents(20, 3_s);
    DOUBLES_EQUAL(20, meter.perSecond(now), 2);
}

TEST(RateMeter, OldEventsDecay)
{
    addEvents(20, 30_s);
    DOUBLES_EQUAL(20, meter.perSecond(now), 2);
    CHECK(meter.perSecond(now + 30_s) < 2);
}

TEST(RateMeter, RateWithoutEventsIsZero)
{
    DOUBLES_EQUAL(0, meter.perSecond(now), 0);
}
