#include <Queue/FairQueue.h>

#include <CppUTest/TestHarness.h>

#include <map>

using namespace Chervilpin;
using namespace Chervilpin::Queue;
using namespace Chervilpin::Core::Literals;

namespace {

const Core::Instant start(1'000);
const Core::TeamName large("large");
const Core::TeamName small("small");

Ticket ticket(RequestId id, const Core::TeamName &team, Core::Duration latest = 10_s)
{
    return {id, team, "key-" + team.value(), start + latest};
}

void fill(FairQueue &queue, const Core::TeamName &team, RequestId first, int count)
{
    for (int i = 0; i < count; ++i)
        (void)queue.enqueue(ticket(first + static_cast<RequestId>(i), team), 1, start);
}

} // namespace

TEST_GROUP(FairQueue){};

TEST(FairQueue, SharesSlotsByWeight)
{
    const struct
    {
        const char *name;
        Order order;
        std::uint32_t weight;
        std::size_t smallStartedOfTen;
    } cases[] = {
        {"equal weights", Order::WeightedFair, 1, 5},
        {"weight 4", Order::WeightedFair, 4, 8},
        {"first in, first out", Order::FirstInFirstOut, 1, 0},
    };
    for (const auto &testCase : cases) {
        FairQueueOptions options;
        options.order = testCase.order;
        FairQueue queue(options);
        queue.setWeight(small, testCase.weight);
        fill(queue, large, 1, 100);
        fill(queue, small, 1000, 100);
        std::size_t smallStarted = 0;
        for (int i = 0; i < 10; ++i)
            smallStarted += queue.takeNext(start)->team == small ? 1 : 0;
        LONGS_EQUAL_TEXT(testCase.smallStartedOfTen, smallStarted, testCase.name);
    }
}

TEST(FairQueue, IsWorkConservingAndFirstInFirstOutWithinATeam)
{
    FairQueue queue;
    fill(queue, large, 1, 20);
    for (RequestId id = 1; id <= 20; ++id)
        LONGS_EQUAL(id, queue.takeNext(start)->id);
    CHECK(!queue.takeNext(start).has_value());
    CHECK(queue.isEmpty());
}

TEST(FairQueue, RefusesRequestsThatCannotStartInTime)
{
    const struct
    {
        const char *name;
        bool refusesUnmeetable;
        Core::TeamName team;
        Core::Duration latest;
        EnqueueVerdict verdict;
    } cases[] = {
        // 40 requests wait; at 5 ms each on two slots they take 100 ms.
        {"own backlog too long", true, large, 99_ms, EnqueueVerdict::Unmeetable},
        {"own backlog short enough", true, large, 100_ms, EnqueueVerdict::Queued},
        {"backlog of another team delays by one request at most", true, small, 5_ms,
         EnqueueVerdict::Queued},
        {"refusal disabled", false, large, 99_ms, EnqueueVerdict::Queued},
    };
    for (const auto &testCase : cases) {
        FairQueueOptions options;
        options.refusesUnmeetable = testCase.refusesUnmeetable;
        FairQueue queue(options);
        fill(queue, large, 1, 40);
        const EnqueueResult result =
            queue.enqueue(ticket(99, testCase.team, testCase.latest), 2, start);
        CHECK_TEXT(result.verdict == testCase.verdict, testCase.name);
        const bool isRefused = testCase.verdict != EnqueueVerdict::Queued;
        LONGS_EQUAL_TEXT(isRefused ? 100 : 0, result.retryAfter.milliseconds(), testCase.name);
    }
}

TEST(FairQueue, EstimatedWaitFollowsTheServiceTime)
{
    FairQueue queue;
    fill(queue, large, 1, 10);
    LONGS_EQUAL(50, queue.estimatedWait(large, 1).milliseconds());
    for (int i = 0; i < 200; ++i)
        queue.recordServiceTime(20_ms);
    CHECK(queue.estimatedWait(large, 1) > 190_ms);
    CHECK(queue.estimatedWait(large, 1) <= 200_ms);
}

TEST(FairQueue, BoundsTheRequestsWaitingPerTeam)
{
    FairQueueOptions options;
    options.mostPerTeam = 3;
    FairQueue queue(options);
    fill(queue, large, 1, 5);
    LONGS_EQUAL(3, queue.size());
    CHECK(queue.enqueue(ticket(9, large), 1, start).verdict == EnqueueVerdict::QueueFull);
    CHECK(queue.enqueue(ticket(9, small), 1, start).verdict == EnqueueVerdict::Queued);
}

TEST(FairQueue, ReturnsEachRequestExactlyOnce)
{
    // Whether taken, cancelled or expired, a request must be returned once, so that its caller gets
    // one answer.
    FairQueue queue;
    fill(queue, large, 1, 4);
    fill(queue, small, 11, 4);
    (void)queue.enqueue(ticket(21, small, 20_ms), 8, start);
    (void)queue.enqueue(ticket(22, large, 20_ms), 8, start);
    std::map<RequestId, int> timesReturned;
    const auto recordReturned = [&timesReturned](const std::vector<Ticket> &tickets) {
        for (const Ticket &returned : tickets)
            ++timesReturned[returned.id];
    };
    ++timesReturned[queue.cancel(2)->id];
    CHECK(!queue.cancel(2).has_value());
    ++timesReturned[queue.takeNext(start)->id];
    const Core::Instant afterExpiry = start + 21_ms;
    LONGS_EQUAL(0, queue.takeExpired(start + 20_ms).size());
    recordReturned(queue.takeExpired(afterExpiry));
    LONGS_EQUAL(4, timesReturned.size());
    recordReturned(queue.cancelKey("key-large"));
    LONGS_EQUAL(0, queue.sizeOf(large));
    recordReturned(queue.cancelTeam(small));
    recordReturned(queue.cancelAll());
    LONGS_EQUAL(10, timesReturned.size());
    for (const auto &[id, times] : timesReturned)
        LONGS_EQUAL(1, times);
    CHECK(queue.isEmpty());
}

TEST(FairQueue, ReturnsAnExpiredRequestOnlyFromTakeExpired)
{
    FairQueue queue;
    (void)queue.enqueue(ticket(1, small, 20_ms), 1, start);
    (void)queue.enqueue(ticket(2, small, 50_ms), 1, start);
    LONGS_EQUAL(2, queue.takeNext(start + 30_ms)->id);
    const auto expired = queue.takeExpired(start + 30_ms);
    LONGS_EQUAL(1, expired.size());
    LONGS_EQUAL(1, expired.front().id);
}

TEST(FairQueue, TakeNextOfIdleTeamSkipsTeamsWithRunningRequests)
{
    FairQueue queue;
    fill(queue, large, 1, 5);
    LONGS_EQUAL(1, queue.takeNext(start)->id);
    CHECK(!queue.takeNextOfIdleTeam(start).has_value());
    fill(queue, small, 11, 2);
    LONGS_EQUAL(11, queue.takeNextOfIdleTeam(start)->id);
    CHECK(!queue.takeNextOfIdleTeam(start).has_value());
    queue.finished(large);
    LONGS_EQUAL(2, queue.takeNextOfIdleTeam(start)->id);
}

TEST(FairQueue, AnIdleTeamAccumulatesNoCredit)
{
    FairQueue queue;
    fill(queue, large, 1, 100);
    for (int i = 0; i < 50; ++i)
        (void)queue.takeNext(start);
    fill(queue, small, 1000, 50);
    std::size_t smallStarted = 0;
    for (int i = 0; i < 10; ++i)
        smallStarted += queue.takeNext(start)->team == small ? 1 : 0;
    LONGS_EQUAL(5, smallStarted);
}
