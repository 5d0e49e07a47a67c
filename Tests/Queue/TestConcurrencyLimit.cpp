#include <Core/Random.h>
#include <Queue/ConcurrencyLimit.h>

#include <CppUTest/TestHarness.h>

#include <deque>
#include <vector>

using namespace Chervilpin;
using namespace Chervilpin::Queue;

namespace {

/// A database with a fixed number of slots and a first-in-first-out queue, simulated in steps of
/// 1 ms.
struct FakeDatabase
{
    struct Running
    {
        std::size_t proxy = 0;
        std::int64_t arrived = 0;
        std::int64_t endsAt = 0;
        std::uint64_t queuedMicroseconds = 0;
    };

    std::size_t slots = 2;
    std::deque<Running> waiting;
    std::vector<Running> running;
    std::int64_t busySlotMilliseconds = 0;

    std::vector<Running> step(std::int64_t now)
    {
        std::vector<Running> done;
        std::erase_if(running, [&](const Running &statement) {
            if (statement.endsAt > now)
                return false;
            done.push_back(statement);
            return true;
        });
        while (running.size() < slots && !waiting.empty()) {
            Running next = waiting.front();
            waiting.pop_front();
            next.queuedMicroseconds = static_cast<std::uint64_t>(now - next.arrived) * 1000;
            next.endsAt = now + 5;
            running.push_back(next);
        }
        busySlotMilliseconds += static_cast<std::int64_t>(running.size());
        return done;
    }
};

} // namespace

TEST_GROUP(ConcurrencyLimit){};

TEST(ConcurrencyLimit, ProxiesSharingADatabaseKeepItsQueueShortAndItsSlotsBusy)
{
    const std::size_t proxyCounts[] = {1, 2, 7};
    for (const std::size_t count : proxyCounts) {
        std::vector<ConcurrencyLimit> limits(count);
        FakeDatabase database;
        constexpr std::int64_t durationMilliseconds = 20'000;
        std::int64_t queueLengthSum = 0;
        for (std::int64_t now = 0; now < durationMilliseconds; ++now) {
            for (const auto &done : database.step(now)) {
                const auto queued = static_cast<std::uint32_t>(database.waiting.size());
                limits[done.proxy].answered(done.queuedMicroseconds, queued, Core::Instant(now));
            }
            for (std::size_t proxy = 0; proxy < count; ++proxy) {
                while (limits[proxy].canStart()) {
                    limits[proxy].started();
                    database.waiting.push_back({proxy, now, 0, 0});
                }
            }
            queueLengthSum += static_cast<std::int64_t>(database.waiting.size());
        }
        // The limit never falls below one statement in flight per proxy, so about one per proxy may
        // wait.
        const auto maximumMeanQueueLength = static_cast<std::int64_t>(count + 2);
        CHECK(queueLengthSum / durationMilliseconds <= maximumMeanQueueLength);
        CHECK(database.busySlotMilliseconds * 10 >= durationMilliseconds * 2 * 9);
    }
}

TEST(ConcurrencyLimit, StaysWithinItsBounds)
{
    ConcurrencyLimitOptions options;
    options.most = 4;
    ConcurrencyLimit limit(options);
    for (int i = 0; i < 1000; ++i) {
        while (limit.canStart())
            limit.started();
        limit.answered(0, 0, Core::Instant(i));
    }
    LONGS_EQUAL(4, limit.limit());
    for (int i = 0; i < 1000; ++i)
        limit.overloaded(Core::Instant(10'000 + i * 100));
    LONGS_EQUAL(1, limit.limit());
}

TEST(ConcurrencyLimit, AllowsExtraRequestsOfIdleTeams)
{
    ConcurrencyLimitOptions options;
    options.initial = 2;
    options.extra = 1;
    ConcurrencyLimit limit(options);
    limit.started();
    limit.started();
    CHECK(!limit.canStart());
    CHECK(limit.canStartExtra());
    limit.started();
    CHECK(!limit.canStartExtra());
}

TEST(ConcurrencyLimit, DoesNotGrowWhileNotFullyUsed)
{
    ConcurrencyLimit limit;
    const std::uint32_t before = limit.limit();
    for (int i = 0; i < 1000; ++i) {
        limit.started();
        limit.answered(0, 0, Core::Instant(i));
    }
    LONGS_EQUAL(before, limit.limit());
}
