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

    /// The only response that is ready.
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

TEST(RelayResponder, AChangeAnswersAllWatchesOfItsKindAndNoOthers)
{
    list(ObjectKind::Directory, {}, 10);
    list(ObjectKind::Configuration, {}, 10);
    for (RelayResponder::RequestId requestId = 1; requestId <= 30; ++requestId)
        watch(requestId, ObjectKind::Directory, 10);
    watch(31, ObjectKind::Configuration, 10);
    change(ObjectKind::Directory, {{"b", "2", 12, false}}, 12, now);
    LONGS_EQUAL(30, responder.takeReplies().size());
}

/// The age is sent as a duration relative to the arrival of the request, so that a lease based on
/// it lasts no longer than one confirmed by the store.
TEST(RelayResponder, APageCarriesTheTimeOfItsConfirmation)
{
    list(ObjectKind::Records, {}, 10);
    advanceTime(1_s);
    watch(1, ObjectKind::Records, 10);
    advanceTime(relayHoldTimeout(ObjectKind::Records));
    // The hold time is over; the store confirmed nothing since the list, 1 s before the request.
    LONGS_EQUAL(-1'000, answer().confirmed.milliseconds());
    watch(2, ObjectKind::Records, 10);
    advanceTime(500_ms);
    change(ObjectKind::Records, {}, 10, now - 100_ms);
    LONGS_EQUAL(400, answer().confirmed.milliseconds());
}

TEST(RelayResponder, AProxyThatIsNoFeedOrIsStoppingRefusesRequests)
{
    list(ObjectKind::Records, {}, 10);
    watch(1, ObjectKind::Records, 10);
    responder.setRole(RelayResponder::Role::Other);
    CHECK(answer().outcome == RelayOutcome::NotAFeed);
    ask(2, ObjectKind::Records);
    CHECK(answer().outcome == RelayOutcome::NotAFeed);
}

/// Guards against refusing proxies that start together with their feeds: on the first start of 295
/// proxies all were refused and asked the store, with 3,000 calls more than needed.
TEST(RelayResponder, AListIsHeldWhileTheFeedIsStarting)
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

TEST(RelayResponder, AListIsHeldForABoundedTime)
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

/// Guards against holding back requests without the store: all feeds lost the store for 12 s and
/// held each request for 2 s before they refused it, so the proxies asked the two feeds in turn and
/// never the store, and a withdrawn key was used for more than 5 s.
TEST(RelayResponder, AFeedThatLostTheStoreRefusesRequests)
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

/// A partition is silent, so a feed notices it later than its followers may wait.
TEST(RelayResponder, AFeedWithAnOldConfirmationReturnsNoPage)
{
    list(ObjectKind::Records, {}, 10);
    advanceTime(maximumFeedLag);
    watch(1, ObjectKind::Records, 9);
    CHECK(answer().outcome == RelayOutcome::HistoryGone);
    advanceTime(1_ms);
    watch(2, ObjectKind::Records, 10);
    CHECK(answer().outcome == RelayOutcome::StoreLost);
}

/// A feed whose VM was suspended resumes with requests in its sockets and an outdated state: a
/// server that left meanwhile, or a withdrawn key, must not be sent as present.
TEST(RelayResponder, ASuspendedFeedReturnsNoPageUntilItHasAskedTheStoreAgain)
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

/// The proxy asked a feed that is ahead before, and now asks one that is behind.
TEST(RelayResponder, AFeedBehindTheRequestingProxyReturnsNoPage)
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

TEST(RelayResponder, AWatchFromBeforeTheHistoryHasToListAgain)
{
    list(ObjectKind::Directory, {}, 10);
    watch(1, ObjectKind::Directory, 9);
    CHECK(answer().outcome == RelayOutcome::HistoryGone);
}

TEST(RelayResponder, TheNextDeadlineIsTheEndOfTheHoldTime)
{
    list(ObjectKind::Records, {}, 10);
    CHECK(responder.nextDeadline() == Core::Instant::never());
    watch(1, ObjectKind::Records, 10);
    CHECK(responder.nextDeadline() == now + relayHoldTimeout(ObjectKind::Records));
}
