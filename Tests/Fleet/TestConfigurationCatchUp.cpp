#include <Fleet/ConfigurationCatchUp.h>
#include <Fleet/RelayTiming.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Fleet;
using namespace Chervilpin::Core::Literals;

TEST_GROUP(ConfigurationCatchUp)
{
    using Source = ConfigurationCatchUp::Source;
    ConfigurationCatchUp catchUp;
    Core::Instant now{1'000'000};

    /// How often the store is asked within a span, if the version never arrives.
    unsigned callsWithin(Core::Duration span, Source source)
    {
        unsigned calls = 0;
        for (const Core::Instant end = now + span; now < end; now = now + 500_ms)
            calls += catchUp.isDue(6, 7, source, now) ? 1 : 0;
        return calls;
    }
};

TEST(ConfigurationCatchUp, AProxyWithoutAFeedAsksAtOnceAndThenSeldom)
{
    CHECK(catchUp.isDue(6, 7, Source::Store, now));
    now = now + 500_ms;
    CHECK(!catchUp.isDue(6, 7, Source::Store, now));
    now = now + configurationTimeout;
    CHECK(catchUp.isDue(6, 7, Source::Store, now));
}

/// After the store had dropped its history, 91 proxies asked it twice a second until their feeds
/// delivered: 675 calls in four seconds.
TEST(ConfigurationCatchUp, AFollowerOfAFeedLeavesItTimeToDeliver)
{
    LONGS_EQUAL(0, callsWithin(configurationTimeout, Source::Feed));
    LONGS_EQUAL(1, callsWithin(configurationTimeout, Source::Feed));
}

TEST(ConfigurationCatchUp, ADeliveredVersionEndsTheWait)
{
    LONGS_EQUAL(0, callsWithin(configurationTimeout, Source::Feed));
    CHECK(!catchUp.isDue(7, 7, Source::Feed, now));
    CHECK(!catchUp.isDue(7, 8, Source::Feed, now));
}
