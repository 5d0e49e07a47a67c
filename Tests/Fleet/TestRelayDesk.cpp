#include <Fleet/RelayDesk.h>

#include <Fleet/RelayTiming.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Fleet;
using namespace Chervilpin::Core::Literals;

TEST_GROUP(RelayDesk)
{
    RelayDesk desk;
    Core::Instant now{100'000};

    void setup() override
    {
        desk.setRole(RelayDesk::Role::Feed);
    }

    void list(ObjectKind kind, const std::vector<StoredText> &objects, Revision revision)
    {
        desk.listed(kind, objects, revision, now, now);
    }

    void change(ObjectKind kind, const std::vector<StoredText> &objects, Revision revision,
                Core::Instant confirmedAt)
    {
        desk.changed(kind, objects, revision, confirmedAt, now);
    }

    void watch(RelayDesk::Ticket ticket, ObjectKind kind, Revision since)
    {
        desk.ask(ticket, {kind, RelayQuestion::Form::Watch, since, relayWait(kind)}, now);
    }

    void ask(RelayDesk::Ticket ticket, ObjectKind kind, Revision atLeast = 0)
    {
        desk.ask(ticket, {kind, RelayQuestion::Form::List, atLeast, {}}, now);
    }

    /// The only answer that is ready.
    RelayAnswer answer()
    {
        const auto replies = desk.takeReplies();
        LONGS_EQUAL(1, replies.size());
        return replies.front().answer;
    }

    void pass(Core::Duration span)
    {
        now = now + span;
        desk.advance(now);
    }
};

TEST(RelayDesk, AListIsAnsweredAtOnceAndAWatchWithTheNextChange)
{
    list(ObjectKind::Directory, {{"a", "1", 5, false}}, 10);
    ask(1, ObjectKind::Directory);
    const auto all = answer();
    CHECK(all.outcome == RelayOutcome::Page);
    LONGS_EQUAL(10, all.revision);
    watch(2, ObjectKind::Directory, 10);
    CHECK(desk.takeReplies().empty());
    change(ObjectKind::Directory, {{"b", "2", 12, false}}, 12, now);
    const auto changes = answer();
    LONGS_EQUAL(1, changes.objects.size());
    LONGS_EQUAL(12, changes.revision);
}

TEST(RelayDesk, AChangeReachesAllThatWaitForItsKindAndNoOthers)
{
    list(ObjectKind::Directory, {}, 10);
    list(ObjectKind::Configuration, {}, 10);
    for (RelayDesk::Ticket ticket = 1; ticket <= 30; ++ticket)
        watch(ticket, ObjectKind::Directory, 10);
    watch(31, ObjectKind::Configuration, 10);
    change(ObjectKind::Directory, {{"b", "2", 12, false}}, 12, now);
    LONGS_EQUAL(30, desk.takeReplies().size());
}

/// The age travels as a span from when the question came, so that a right lasts no longer than one
/// of the store.
TEST(RelayDesk, APageTellsAsOfWhenTheStoreConfirmedIt)
{
    list(ObjectKind::Records, {}, 10);
    pass(1_s);
    watch(1, ObjectKind::Records, 10);
    pass(relayWait(ObjectKind::Records));
    // The wait is over; the store confirmed nothing since the list, 1 s before the question.
    LONGS_EQUAL(-1'000, answer().confirmed.milliseconds());
    watch(2, ObjectKind::Records, 10);
    pass(500_ms);
    change(ObjectKind::Records, {}, 10, now - 100_ms);
    LONGS_EQUAL(400, answer().confirmed.milliseconds());
}

TEST(RelayDesk, AProxyThatFollowsAnotherOneOrStopsAnswersNobody)
{
    list(ObjectKind::Records, {}, 10);
    watch(1, ObjectKind::Records, 10);
    desk.setRole(RelayDesk::Role::Other);
    CHECK(answer().outcome == RelayOutcome::NotAFeed);
    ask(2, ObjectKind::Records);
    CHECK(answer().outcome == RelayOutcome::NotAFeed);
}

/// The first start of 295 proxies: all asked their feeds before those had listed, were refused, and
/// turned to the store, with 3,000 calls more than needed.
TEST(RelayDesk, AListWaitsForAFeedThatStartsAtTheSameMoment)
{
    RelayDesk starting;
    starting.ask(1, {ObjectKind::Directory, RelayQuestion::Form::List, 0, listRelayWait}, now);
    now = now + 300_ms;
    starting.setRole(RelayDesk::Role::Feed);
    CHECK(starting.takeReplies().empty());
    starting.listed(ObjectKind::Directory, {}, 10, now, now);
    CHECK(starting.takeReplies().front().answer.outcome == RelayOutcome::Page);
}

TEST(RelayDesk, AListDoesNotWaitForLong)
{
    RelayDesk starting;
    starting.ask(1, {ObjectKind::Directory, RelayQuestion::Form::List, 0, listRelayWait}, now);
    starting.ask(2, {ObjectKind::Records, RelayQuestion::Form::List, 0, listRelayWait}, now);
    starting.setRole(RelayDesk::Role::Other);
    const auto refused = starting.takeReplies();
    LONGS_EQUAL(2, refused.size());
    CHECK(refused.front().answer.outcome == RelayOutcome::NotAFeed);
    RelayDesk slow;
    slow.setRole(RelayDesk::Role::Feed);
    slow.ask(3, {ObjectKind::Directory, RelayQuestion::Form::List, 0, listRelayWait}, now);
    slow.advance(now + listRelayWait);
    CHECK(slow.takeReplies().front().answer.outcome == RelayOutcome::StoreLost);
}

/// scale-2 of mcr-registry-grown: all feeds were cut off from the store for 12 s. Each question was
/// held back for 2 s and then refused, and the proxies that the store would have served asked the
/// two feeds in turn and never the store; a withdrawn key was in use for more than 5 s.
TEST(RelayDesk, AFeedWithoutTheStoreGivesNoPage)
{
    list(ObjectKind::Records, {}, 10);
    desk.setContact(ObjectKind::Records, RelayDesk::Contact::Lost, now);
    ask(1, ObjectKind::Records);
    CHECK(answer().outcome == RelayOutcome::StoreLost);
    watch(2, ObjectKind::Records, 10);
    CHECK(answer().outcome == RelayOutcome::StoreLost);
    desk.setContact(ObjectKind::Records, RelayDesk::Contact::Good, now);
    list(ObjectKind::Records, {}, 11);
    watch(3, ObjectKind::Records, 10);
    CHECK(desk.takeReplies().empty());
    desk.setContact(ObjectKind::Records, RelayDesk::Contact::Lost, now);
    CHECK(answer().outcome == RelayOutcome::StoreLost);
}

/// A cut is silent, so the feed itself notices it later than those who follow it may wait.
TEST(RelayDesk, AFeedWhoseConfirmationIsOldGivesNoPage)
{
    list(ObjectKind::Records, {}, 10);
    pass(longestFeedLag);
    watch(1, ObjectKind::Records, 9);
    CHECK(answer().outcome == RelayOutcome::HistoryGone);
    pass(1_ms);
    watch(2, ObjectKind::Records, 10);
    CHECK(answer().outcome == RelayOutcome::StoreLost);
}

/// A feed whose VM was suspended wakes with questions in its sockets and an old view: a server that
/// left meanwhile, or a withdrawn key, must not be told as present.
TEST(RelayDesk, AFeedThatWasSuspendedGivesNoPageBeforeItHeardTheStoreAgain)
{
    list(ObjectKind::Configuration, {{"main", "old", 5, false}}, 10);
    watch(1, ObjectKind::Configuration, 10);
    now = now + 20_s;
    ask(2, ObjectKind::Configuration);
    CHECK(answer().outcome == RelayOutcome::StoreLost);
    desk.advance(now);
    CHECK(answer().outcome == RelayOutcome::StoreLost);
    list(ObjectKind::Configuration, {{"main", "new", 15, false}}, 20);
    ask(3, ObjectKind::Configuration);
    STRCMP_EQUAL("new", answer().objects.front().text.c_str());
}

/// A proxy that asked a feed which is ahead, and then one that lies behind.
TEST(RelayDesk, AFeedThatKnowsLessThanTheAskerGivesNoPage)
{
    list(ObjectKind::Directory, {{"gone", "1", 5, false}}, 10);
    ask(1, ObjectKind::Directory, 11);
    CHECK(answer().outcome == RelayOutcome::StoreLost);
    watch(2, ObjectKind::Directory, 12);
    change(ObjectKind::Directory, {}, 11, now);
    CHECK(desk.takeReplies().empty());
    change(ObjectKind::Directory, {{"gone", "", 12, true}}, 13, now);
    const auto page = answer();
    LONGS_EQUAL(13, page.revision);
    CHECK(page.objects.empty());
}

TEST(RelayDesk, WhoLacksTheHistoryHasToList)
{
    list(ObjectKind::Directory, {}, 10);
    watch(1, ObjectKind::Directory, 9);
    CHECK(answer().outcome == RelayOutcome::HistoryGone);
}

TEST(RelayDesk, TellsWhenItHasToBeCalled)
{
    list(ObjectKind::Records, {}, 10);
    CHECK(desk.nextDeadline() == Core::Instant::never());
    watch(1, ObjectKind::Records, 10);
    CHECK(desk.nextDeadline() == now + relayWait(ObjectKind::Records));
}
