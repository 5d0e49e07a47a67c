#include <Fleet/RelayResponder.h>

#include <Fleet/RelayTiming.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Fleet;
using namespace Chervilpin::Core::Literals;

TEST_GROUP(RelayResponder)
{
    RelayResponder responder;
    Core::Instant now{100'000};

    void setup() override
    {
        responder.setRole(RelayResponder::Role::Feed);
    }

    void list(ObjectKind kind, const std::vector<StoredObject> &objects, Revision revision)
    {
        responder.listed(kind, objects, revision, now, now);
    }

    void change(ObjectKind kind, const std::vector<StoredObject> &objects, Revision revision,
                Core::Instant confirmedAt)
    {
        responder.changed(kind, objects, revision, confirmedAt, now);
    }

    void watch(RelayResponder::RequestId requestId, ObjectKind kind, Revision since)
    {
        responder.ask(requestId, {kind, RelayQuestion::Form::Watch, since, relayHoldTimeout(kind)},
                      now);
    }

    void ask(RelayResponder::RequestId requestId, ObjectKind kind, Revision atLeast = 0)
    {
        responder.ask(requestId, {kind, RelayQuestion::Form::List, atLeast, {}}, now);
    }

    /// The only answer that is ready.
    RelayAnswer answer()
    {
        const auto replies = responder.takeReplies();
        LONGS_EQUAL(1, replies.size());
        return replies.front().answer;
    }

    void advanceTime(Core::Duration span)
    {
        now = now + span;
        responder.advance(now);
    }
};

TEST(RelayResponder, AListIsAnsweredAtOnceAndAWatchWithTheNextChange)
{
    list(ObjectKind::Directory, {{"a", "1", 5, false}}, 10);
    ask(1, ObjectKind::Directory);
    const auto all = answer();
    CHECK(all.outcome == RelayOutcome::Page);
    LONGS_EQUAL(10, all.revision);
    watch(2, ObjectKind::Directory, 10);
    CHECK(responder.takeReplies().empty());
    change(ObjectKind::Directory, {{"b", "2", 12, false}}, 12, now);
    const auto changes = answer();
    LONGS_EQUAL(1, changes.objects.size());
    LONGS_EQUAL(12, changes.revision);
}

TEST(RelayResponder, AChangeReachesAllThatWaitForItsKindAndNoOthers)
{
    list(ObjectKind::Directory, {}, 10);
    list(ObjectKind::Configuration, {}, 10);
    for (RelayResponder::RequestId requestId = 1; requestId <= 30; ++requestId)
        watch(requestId, ObjectKind::Directory, 10);
    watch(31, ObjectKind::Configuration, 10);
    change(ObjectKind::Directory, {{"b", "2", 12, false}}, 12, now);
    LONGS_EQUAL(30, responder.takeReplies().size());
}

/// The age travels as a span from when the question came, so that a lease lasts no longer than one
/// of the store.
TEST(RelayResponder, APageTellsAsOfWhenTheStoreConfirmedIt)
{
    list(ObjectKind::Records, {}, 10);
    advanceTime(1_s);
    watch(1, ObjectKind::Records, 10);
    advanceTime(relayHoldTimeout(ObjectKind::Records));
    // The wait is over; the store confirmed nothing since the list, 1 s before the question.
    LONGS_EQUAL(-1'000, answer().confirmed.milliseconds());
    watch(2, ObjectKind::Records, 10);
    advanceTime(500_ms);
    change(ObjectKind::Records, {}, 10, now - 100_ms);
    LONGS_EQUAL(400, answer().confirmed.milliseconds());
}

TEST(RelayResponder, AProxyThatFollowsAnotherOneOrStopsAnswersNobody)
{
    list(ObjectKind::Records, {}, 10);
    watch(1, ObjectKind::Records, 10);
    responder.setRole(RelayResponder::Role::Other);
    CHECK(answer().outcome == RelayOutcome::NotAFeed);
    ask(2, ObjectKind::Records);
    CHECK(answer().outcome == RelayOutcome::NotAFeed);
}

/// The first start of 295 proxies: all asked their feeds before those had listed, were refused, and
/// turned to the store, with 3,000 calls more than needed.
TEST(RelayResponder, AListWaitsForAFeedThatStartsAtTheSameMoment)
{
    RelayResponder starting;
    starting.ask(1, {ObjectKind::Directory, RelayQuestion::Form::List, 0, listRelayHoldTimeout},
                 now);
    now = now + 300_ms;
    starting.setRole(RelayResponder::Role::Feed);
    CHECK(starting.takeReplies().empty());
    starting.listed(ObjectKind::Directory, {}, 10, now, now);
    CHECK(starting.takeReplies().front().answer.outcome == RelayOutcome::Page);
}

TEST(RelayResponder, AListDoesNotWaitForLong)
{
    RelayResponder starting;
    starting.ask(1, {ObjectKind::Directory, RelayQuestion::Form::List, 0, listRelayHoldTimeout},
                 now);
    starting.ask(2, {ObjectKind::Records, RelayQuestion::Form::List, 0, listRelayHoldTimeout}, now);
    starting.setRole(RelayResponder::Role::Other);
    const auto refused = starting.takeReplies();
    LONGS_EQUAL(2, refused.size());
    CHECK(refused.front().answer.outcome == RelayOutcome::NotAFeed);
    RelayResponder slow;
    slow.setRole(RelayResponder::Role::Feed);
    slow.ask(3, {ObjectKind::Directory, RelayQuestion::Form::List, 0, listRelayHoldTimeout}, now);
    slow.advance(now + listRelayHoldTimeout);
    CHECK(slow.takeReplies().front().answer.outcome == RelayOutcome::StoreLost);
}

/// scale-2 of mcr-registry-grown: all feeds were cut off from the store for 12 s. Each question was
/// held back for 2 s and then refused, and the proxies that the store would have served asked the
/// two feeds in turn and never the store; a withdrawn key was in use for more than 5 s.
TEST(RelayResponder, AFeedWithoutTheStoreGivesNoPage)
{
    list(ObjectKind::Records, {}, 10);
    responder.setContact(ObjectKind::Records, RelayResponder::Contact::Lost, now);
    ask(1, ObjectKind::Records);
    CHECK(answer().outcome == RelayOutcome::StoreLost);
    watch(2, ObjectKind::Records, 10);
    CHECK(answer().outcome == RelayOutcome::StoreLost);
    responder.setContact(ObjectKind::Records, RelayResponder::Contact::Good, now);
    list(ObjectKind::Records, {}, 11);
    watch(3, ObjectKind::Records, 10);
    CHECK(responder.takeReplies().empty());
    responder.setContact(ObjectKind::Records, RelayResponder::Contact::Lost, now);
    CHECK(answer().outcome == RelayOutcome::StoreLost);
}

/// A cut is silent, so the feed itself notices it later than those who follow it may wait.
TEST(RelayResponder, AFeedWhoseConfirmationIsOldGivesNoPage)
{
    list(ObjectKind::Records, {}, 10);
    advanceTime(maximumFeedLag);
    watch(1, ObjectKind::Records, 9);
    CHECK(answer().outcome == RelayOutcome::HistoryGone);
    advanceTime(1_ms);
    watch(2, ObjectKind::Records, 10);
    CHECK(answer().outcome == RelayOutcome::StoreLost);
}

/// A feed whose VM was suspended wakes with questions in its sockets and an old view: a server that
/// left meanwhile, or a withdrawn key, must not be told as present.
TEST(RelayResponder, AFeedThatWasSuspendedGivesNoPageBeforeItHeardTheStoreAgain)
{
    list(ObjectKind::Configuration, {{"main", "old", 5, false}}, 10);
    watch(1, ObjectKind::Configuration, 10);
    now = now + 20_s;
    ask(2, ObjectKind::Configuration);
    CHECK(answer().outcome == RelayOutcome::StoreLost);
    responder.advance(now);
    CHECK(answer().outcome == RelayOutcome::StoreLost);
    list(ObjectKind::Configuration, {{"main", "new", 15, false}}, 20);
    ask(3, ObjectKind::Configuration);
    STRCMP_EQUAL("new", answer().objects.front().text.c_str());
}

/// A proxy that asked a feed which is ahead, and then one that lies behind.
TEST(RelayResponder, AFeedThatKnowsLessThanTheAskerGivesNoPage)
{
    list(ObjectKind::Directory, {{"gone", "1", 5, false}}, 10);
    ask(1, ObjectKind::Directory, 11);
    CHECK(answer().outcome == RelayOutcome::StoreLost);
    watch(2, ObjectKind::Directory, 12);
    change(ObjectKind::Directory, {}, 11, now);
    CHECK(responder.takeReplies().empty());
    change(ObjectKind::Directory, {{"gone", "", 12, true}}, 13, now);
    const auto page = answer();
    LONGS_EQUAL(13, page.revision);
    CHECK(page.objects.empty());
}

TEST(RelayResponder, WhoLacksTheHistoryHasToList)
{
    list(ObjectKind::Directory, {}, 10);
    watch(1, ObjectKind::Directory, 9);
    CHECK(answer().outcome == RelayOutcome::HistoryGone);
}

TEST(RelayResponder, TellsWhenItHasToBeCalled)
{
    list(ObjectKind::Records, {}, 10);
    CHECK(responder.nextDeadline() == Core::Instant::never());
    watch(1, ObjectKind::Records, 10);
    CHECK(responder.nextDeadline() == now + relayHoldTimeout(ObjectKind::Records));
}
