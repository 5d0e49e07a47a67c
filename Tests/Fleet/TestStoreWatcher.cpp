#include <Fleet/StoreWatcher.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Fleet;
using namespace Chervilpin::Core::Literals;

TEST_GROUP(StoreWatcher)
{
    StoreWatcher watcher{2_s};

    bool isListing()
    {
        return std::holds_alternative<StoreWatcher::List>(watcher.next());
    }
};

TEST(StoreWatcher, ListsPageByPageAndWatchesFromTheRevisionOfTheFirst)
{
    CHECK(isListing());
    CHECK(watcher.listed("m", true, 10) == StoreWatcher::Position::Partial);
    STRCMP_EQUAL("m", std::get<StoreWatcher::List>(watcher.next()).after.c_str());
    CHECK(watcher.listed("z", false, 14) == StoreWatcher::Position::Complete);
    LONGS_EQUAL(10, std::get<StoreWatcher::Watch>(watcher.next()).since);
    watcher.changed(20, true);
    LONGS_EQUAL(20, std::get<StoreWatcher::Watch>(watcher.next()).since);
}

TEST(StoreWatcher, ListsAgainWhenTheHistoryIsGone)
{
    (void)watcher.listed("z", false, 14);
    watcher.restart();
    CHECK(isListing());
}

TEST(StoreWatcher, TheRetryDelayGrowsUpToAMaximum)
{
    LONGS_EQUAL(0, watcher.retryDelay().milliseconds());
    watcher.failed();
    const auto first = watcher.retryDelay();
    watcher.failed();
    CHECK(watcher.retryDelay() > first);
    for (int i = 0; i < 10; ++i)
        watcher.failed();
    LONGS_EQUAL(600, watcher.retryDelay().milliseconds());
    (void)watcher.listed("z", false, 14);
    LONGS_EQUAL(0, watcher.retryDelay().milliseconds());
}

TEST(StoreWatcher, AFailedWatchIsRetriedFromTheSameRevision)
{
    (void)watcher.listed("z", false, 14);
    watcher.failed();
    LONGS_EQUAL(14, std::get<StoreWatcher::Watch>(watcher.next()).since);
}

TEST(StoreWatcher, TheFirstWatchAfterAFailureHasAShortWait)
{
    (void)watcher.listed("z", false, 14);
    CHECK(std::get<StoreWatcher::Watch>(watcher.next()).wait == 2_s);
    watcher.failed();
    CHECK(std::get<StoreWatcher::Watch>(watcher.next()).wait < 100_ms);
    CHECK(watcher.timeout() < 2_s);
    // The answer is confirmed as of the request, as it was held back for less than a whole wait.
    const Core::Instant askedAt{10'000};
    watcher.changed(14, false);
    CHECK(watcher.confirmedAt(askedAt, false, askedAt + 30_ms) == askedAt);
    CHECK(std::get<StoreWatcher::Watch>(watcher.next()).wait == 2_s);
}

/// A proxy that changes its source continues from its known revision and accepts nothing older.
TEST(StoreWatcher, AFeedIsAskedFromTheKnownRevision)
{
    CHECK(watcher.makeRelayQuestion(ObjectKind::Directory).form == RelayQuestion::Form::List);
    (void)watcher.listed("z", false, 14);
    const auto question = watcher.makeRelayQuestion(ObjectKind::Directory);
    CHECK(question.form == RelayQuestion::Form::Watch && question.kind == ObjectKind::Directory);
    LONGS_EQUAL(14, question.since);
    CHECK(watcher.isBehind(13));
    CHECK(!watcher.isBehind(14));
    watcher.restart();
    CHECK(watcher.makeRelayQuestion(ObjectKind::Directory).form == RelayQuestion::Form::List);
    LONGS_EQUAL(14, watcher.makeRelayQuestion(ObjectKind::Directory).since);
}

TEST(StoreWatcher, AnAnswerWithoutChangesIsConfirmedAsOfTheEndOfTheWait)
{
    const Core::Instant asked(10'000);
    CHECK(watcher.confirmedAt(asked, false, asked + 2_s) == asked + 1'900_ms);
    // With changes, or before the end of the wait, nothing is known about later times.
    CHECK(watcher.confirmedAt(asked, true, asked + 2_s) == asked);
    CHECK(watcher.confirmedAt(asked, false, asked + 1_s) == asked);
}

/// Bounds the calls when 68 proxies register within a second.
TEST(StoreWatcher, ChangesInQuickSuccessionAreBatched)
{
    watcher.listed("n", false, 5);
    const Core::Instant asked(10'000);
    CHECK(watcher.batchDelay(asked, asked + 10_ms) == 190_ms);
    CHECK(watcher.batchDelay(asked, asked + 300_ms) == 0_ms);
    for (int i = 0; i < 5; ++i)
        watcher.changed(6, true);
    CHECK(watcher.batchDelay(asked, asked) == 1_s);
    watcher.changed(6, false);
    CHECK(watcher.batchDelay(asked, asked) == 200_ms);
}

/// Bounds the calls to an unreachable store, which the three watchers of each of 51 proxies made.
TEST(StoreWatcher, AWatcherThatIsNotifiedOfTheStoresReturnRetriesSeldom)
{
    watcher.setProbing(StoreWatcher::Probing::No);
    watcher.failed();
    CHECK(watcher.retryDelay() == 3_s);
    watcher.setProbing(StoreWatcher::Probing::Yes);
    watcher.failed();
    CHECK(watcher.retryDelay() <= 600_ms);
}
