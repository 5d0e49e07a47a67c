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
    FreshnessTracker tracker;
};

TEST(FreshnessTracker, OldestSampleWithinTheAgeIsSufficient)
{
    tracker.add(start, {1, 10});
    tracker.add(start + 500_ms, {1, 20});
    tracker.add(start + 1'000_ms, {1, 30});
    CHECK(tracker.requiredFor(800_ms, start + 1'200_ms) == Fakes::logMark(1, 20));
    CHECK(tracker.requiredFor(1'500_ms, start + 1'200_ms) == Fakes::logMark(1, 10));
    CHECK(!tracker.requiredFor(100_ms, start + 1'200_ms).has_value());
}

TEST(FreshnessTracker, SamplesOfOlderTermsAreDiscarded)
{
    tracker.add(start, {1, 50});
    tracker.add(start + 100_ms, {2, 40});
    CHECK(tracker.requiredFor(5'000_ms, start + 200_ms) == Fakes::logMark(2, 40));
    tracker.add(start + 150_ms, {1, 60});
    CHECK(tracker.requiredFor(20_ms, start + 200_ms) == std::nullopt);
}

TEST(FreshnessTracker, OwnCommitOfOlderTermRequiresTheFirstSampleOfTheNewTerm)
{
    tracker.add(start, {1, 50});
    CHECK(tracker.requiredForOwnCommit({1, 55}) == Fakes::logMark(1, 55));
    tracker.add(start + 100_ms, {2, 52});
    CHECK(tracker.requiredForOwnCommit({1, 55}) == Fakes::logMark(2, 52));
}

TEST(FreshnessTracker, AgeCountsFromTheFirstSampleMissingInTheLog)
{
    tracker.add(start, {1, 10});
    tracker.add(start + 100_ms, {1, 20});
    LONGS_EQUAL(0, tracker.ageOf({1, 20}, start + 300_ms).milliseconds());
    LONGS_EQUAL(200, tracker.ageOf({1, 15}, start + 300_ms).milliseconds());
}
