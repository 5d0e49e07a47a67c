#include <Fleet/StoreFeed.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Fleet;
using namespace Chervilpin::Core::Literals;

TEST_GROUP(StoreFeed)
{
    StoreFeed feed{2_s};

    bool isListing()
    {
        return std::holds_alternative<StoreFeed::List>(feed.next());
    }
};

TEST(StoreFeed, ListsPageByPageAndWatchesFromTheFirst)
{
    CHECK(isListing());
    CHECK(feed.listed("m", true, 10) == StoreFeed::Position::Partial);
    STRCMP_EQUAL("m", std::get<StoreFeed::List>(feed.next()).after.c_str());
    CHECK(feed.listed("z", false, 14) == StoreFeed::Position::Complete);
    LONGS_EQUAL(10, std::get<StoreFeed::Watch>(feed.next()).since);
    feed.changed(20, true);
    LONGS_EQUAL(20, std::get<StoreFeed::Watch>(feed.next()).since);
}

TEST(StoreFeed, ListsAgainWhenTheHistoryIsGone)
{
    (void)feed.listed("z", false, 14);
    feed.restart();
    CHECK(isListing());
}

TEST(StoreFeed, WaitsLongerAfterEachFailureUpToABound)
{
    LONGS_EQUAL(0, feed.delay().milliseconds());
    feed.failed();
    const auto first = feed.delay();
    feed.failed();
    CHECK(feed.delay() > first);
    for (int i = 0; i < 10; ++i)
        feed.failed();
    LONGS_EQUAL(600, feed.delay().milliseconds());
    (void)feed.listed("z", false, 14);
    LONGS_EQUAL(0, feed.delay().milliseconds());
}

TEST(StoreFeed, AFailedWatchIsMadeAgainFromTheSameRevision)
{
    (void)feed.listed("z", false, 14);
    feed.failed();
    LONGS_EQUAL(14, std::get<StoreFeed::Watch>(feed.next()).since);
}

TEST(StoreFeed, TheFirstWatchAfterAFailureIsAnsweredAtOnce)
{
    (void)feed.listed("z", false, 14);
    CHECK(std::get<StoreFeed::Watch>(feed.next()).wait == 2_s);
    feed.failed();
    CHECK(std::get<StoreFeed::Watch>(feed.next()).wait < 100_ms);
    CHECK(feed.timeout() < 2_s);
    // It is as of its question, as it was held back for less than a whole wait.
    const Core::Instant askedAt{10'000};
    feed.changed(14, false);
    CHECK(feed.confirmedAt(askedAt, false, askedAt + 30_ms) == askedAt);
    CHECK(std::get<StoreFeed::Watch>(feed.next()).wait == 2_s);
}

/// A proxy that changes its source asks the next one from where it stands, and takes nothing older.
TEST(StoreFeed, AFeedIsAskedFromTheRevisionThatIsKnown)
{
    CHECK(feed.question(ObjectKind::Directory).form == RelayQuestion::Form::List);
    (void)feed.listed("z", false, 14);
    const auto question = feed.question(ObjectKind::Directory);
    CHECK(question.form == RelayQuestion::Form::Watch && question.kind == ObjectKind::Directory);
    LONGS_EQUAL(14, question.since);
    CHECK(feed.isBehind(13));
    CHECK(!feed.isBehind(14));
    feed.restart();
    CHECK(feed.question(ObjectKind::Directory).form == RelayQuestion::Form::List);
    LONGS_EQUAL(14, feed.question(ObjectKind::Directory).since);
}

TEST(StoreFeed, AQuietAnswerIsAsOfTheEndOfTheWait)
{
    const Core::Instant asked(10'000);
    CHECK(feed.confirmedAt(asked, false, asked + 2_s) == asked + 1'900_ms);
    // With changes, or before the wait was over, nothing is known of later moments.
    CHECK(feed.confirmedAt(asked, true, asked + 2_s) == asked);
    CHECK(feed.confirmedAt(asked, false, asked + 1_s) == asked);
}

/// The start of kcn-jakarta-grown: 68 proxies register within a second.
TEST(StoreFeed, ChangesInQuickSuccessionAreTakenTogether)
{
    feed.listed("n", false, 5);
    const Core::Instant asked(10'000);
    CHECK(feed.pause(asked, asked + 10_ms) == 190_ms);
    CHECK(feed.pause(asked, asked + 300_ms) == 0_ms);
    for (int i = 0; i < 5; ++i)
        feed.changed(6, true);
    CHECK(feed.pause(asked, asked) == 1_s);
    feed.changed(6, false);
    CHECK(feed.pause(asked, asked) == 200_ms);
}

/// The cuts of kcn-jakarta-grown scale-1: three feeds of 51 proxies asked a store out of reach.
TEST(StoreFeed, AFeedThatIsToldOfTheStoresReturnHardlyAsks)
{
    feed.setProbing(StoreFeed::Probing::No);
    feed.failed();
    CHECK(feed.delay() == 3_s);
    feed.setProbing(StoreFeed::Probing::Yes);
    feed.failed();
    CHECK(feed.delay() <= 600_ms);
}
