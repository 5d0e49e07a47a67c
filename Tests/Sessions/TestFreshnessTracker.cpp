#include <Sessions/FreshnessTracker.h>

#include <Tests/Fakes/LogMarks.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Sessions;
using namespace Chervilpin::Core::Literals;

namespace {
const Core::Instant start(100'000);
} // namespace

TEST_GROUP(FreshnessTracker)
{
    FreshnessTracker ledger;
};

TEST(FreshnessTracker, TheOldestSampleWithinTheAgeIsEnough)
{
    ledger.add(start, {1, 10});
    ledger.add(start + 500_ms, {1, 20});
    ledger.add(start + 1'000_ms, {1, 30});
    CHECK(ledger.requiredFor(800_ms, start + 1'200_ms) == Fakes::logMark(1, 20));
    CHECK(ledger.requiredFor(1'500_ms, start + 1'200_ms) == Fakes::logMark(1, 10));
    CHECK(!ledger.requiredFor(100_ms, start + 1'200_ms).has_value());
}

TEST(FreshnessTracker, SamplesOfAnOlderTermAreVoid)
{
    ledger.add(start, {1, 50});
    ledger.add(start + 100_ms, {2, 40});
    CHECK(ledger.requiredFor(5'000_ms, start + 200_ms) == Fakes::logMark(2, 40));
    ledger.add(start + 150_ms, {1, 60});
    CHECK(ledger.requiredFor(20_ms, start + 200_ms) == std::nullopt);
}

TEST(FreshnessTracker, AnOwnCommitOfAnOlderTermBecomesTheFirstSampleOfTheNewOne)
{
    ledger.add(start, {1, 50});
    CHECK(ledger.requiredForOwnCommit({1, 55}) == Fakes::logMark(1, 55));
    ledger.add(start + 100_ms, {2, 52});
    CHECK(ledger.requiredForOwnCommit({1, 55}) == Fakes::logMark(2, 52));
}

TEST(FreshnessTracker, AgeIsCountedFromTheFirstSampleThatTheLogLacks)
{
    ledger.add(start, {1, 10});
    ledger.add(start + 100_ms, {1, 20});
    LONGS_EQUAL(0, ledger.ageOf({1, 20}, start + 300_ms).milliseconds());
    LONGS_EQUAL(200, ledger.ageOf({1, 15}, start + 300_ms).milliseconds());
}
