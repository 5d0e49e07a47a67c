#include <Rates/TokenBucket.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Rates;
using namespace Chervilpin::Core::Literals;

namespace {

const Core::Instant start(100'000);

unsigned takeAll(TokenBucket &rate, Core::Instant now)
{
    unsigned taken = 0;
    while (rate.take(now))
        ++taken;
    return taken;
}

} // namespace

TEST_GROUP(TokenBucket)
{
    TokenBucket rate;
};

TEST(TokenBucket, SpendsNoMoreThanItsShareOfRateAndBurst)
{
    rate.setShare(0.5, start);
    rate.setLimits({100, 40}, start);
    // The bucket starts half full, since a restarted process may have spent the burst just before.
    LONGS_EQUAL(10, takeAll(rate, start));
    LONGS_EQUAL(20, takeAll(rate, start + 10_s));
    LONGS_EQUAL(10, takeAll(rate, start + 10_s + 200_ms));
}

TEST(TokenBucket, ReturnedTokensNeverExceedTheBurst)
{
    rate.setShare(1, start);
    rate.setLimits({10, 8}, start);
    LONGS_EQUAL(4, takeAll(rate, start));
    rate.returnTokens(3);
    LONGS_EQUAL(3, takeAll(rate, start));
    rate.returnTokens(100);
    LONGS_EQUAL(8, takeAll(rate, start));
}

TEST(TokenBucket, LoweredLimitDiscardsTokensImmediately)
{
    rate.setShare(1, start);
    rate.setLimits({100, 40}, start);
    rate.setLimits({10, 4}, start);
    LONGS_EQUAL(4, takeAll(rate, start));
}

TEST(TokenBucket, TokensScaleWithTheShare)
{
    TokenBucket other;
    for (auto *each : {&rate, &other}) {
        each->setShare(0.5, start);
        each->setLimits({100, 40}, start);
    }
    const Core::Instant full = start + 10_s;
    rate.setShare(0.9, full);
    other.setShare(0.1, full);
    LONGS_EQUAL(40, takeAll(rate, full) + takeAll(other, full));
}

TEST(TokenBucket, MovingSharesBackAndForthCreatesNoTokens)
{
    TokenBucket other;
    for (auto *each : {&rate, &other}) {
        each->moveShare(0.5, start);
        each->setLimits({100, 40}, start);
    }
    const Core::Instant full = start + 10_s;
    LONGS_EQUAL(20, takeAll(other, full));
    for (int i = 0; i < 5; ++i) {
        rate.moveShare(0.9, full);
        other.moveShare(0.1, full);
        rate.moveShare(0.5, full);
        other.moveShare(0.5, full);
    }
    CHECK(takeAll(rate, full) + takeAll(other, full) <= 20);
}

TEST(TokenBucket, ReturnsTheTimeUntilTheNextToken)
{
    rate.setShare(1, start);
    rate.setLimits({10, 1}, start);
    LONGS_EQUAL(1, takeAll(rate, start + 1_s));
    LONGS_EQUAL(100, rate.waitForNext().milliseconds());
}

TEST(TokenBucket, UnlimitedRateRefusesNothing)
{
    for (int i = 0; i < 1'000; ++i)
        CHECK(rate.take(start));
}
