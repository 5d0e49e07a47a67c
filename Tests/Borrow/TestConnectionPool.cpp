#include <rapidcheck.h>

#include <Borrow/ConnectionPool.h>

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>

using namespace Chervilpin;
using namespace Chervilpin::Borrow;
using namespace Chervilpin::Core::Literals;

namespace {

const Core::Instant start(1'000);

struct Emitted
{
    std::vector<Generation> opens;
    std::vector<Generation> closes;
    std::vector<Generation> pings;
};

Emitted tick(ConnectionPool &pool, Core::Instant now)
{
    Emitted emitted;
    for (const Action &action : pool.tick(now)) {
        if (const auto *open = std::get_if<Open>(&action))
            emitted.opens.push_back(open->generation);
        else if (const auto *close = std::get_if<Close>(&action))
            emitted.closes.push_back(close->generation);
        else if (const auto *ping = std::get_if<Ping>(&action))
            emitted.pings.push_back(ping->generation);
    }
    return emitted;
}

/// Opens so many connections at a time that they are siblings.
void open(ConnectionPool &pool, std::uint32_t count, Core::Instant now)
{
    pool.setWaiting(count);
    for (const Generation generation : tick(pool, now).opens)
        pool.opened(generation, now);
    pool.setWaiting(0);
}

} // namespace

TEST_GROUP(ConnectionPool){};

TEST(ConnectionPool, KeepsASpareReadyBeyondWhatIsBusy)
{
    ConnectionPool pool;
    pool.setShare(5);
    open(pool, 0, start);
    LONGS_EQUAL(1, pool.count(ConnectionState::Idle));
    for (std::uint32_t busy = 1; busy < 5; ++busy) {
        CHECK(pool.lend(start).has_value());
        open(pool, 0, start);
        LONGS_EQUAL(1, pool.count(ConnectionState::Idle));
    }
    CHECK(pool.lend(start).has_value());
    LONGS_EQUAL(0, tick(pool, start).opens.size());
    CHECK(!pool.lend(start).has_value());
}

TEST(ConnectionPool, NeverOpensBeyondItsShareEvenWhileClosesAreUnderWay)
{
    const struct
    {
        const char *name;
        bool isGuardOn;
        std::uint32_t most;
    } cases[] = {{"guard on", true, 4}, {"guard off", false, 11}};
    for (const auto &one : cases) {
        ConnectionPoolOptions options;
        options.staysWithinShare = one.isGuardOn;
        ConnectionPool pool(options);
        pool.setShare(4);
        open(pool, 10, start);
        LONGS_EQUAL_TEXT(one.most, pool.size(), one.name);
    }
    ConnectionPool pool;
    pool.setShare(4);
    open(pool, 10, start);
    const Generation lent = *pool.lend(start);
    pool.abandoned(lent, start + 1_ms);
    pool.setWaiting(10);
    const Emitted emitted = tick(pool, start + 1_ms);
    LONGS_EQUAL(1, emitted.closes.size());
    LONGS_EQUAL(0, emitted.opens.size());
    pool.closed(lent, start + 2_ms);
    LONGS_EQUAL(1, tick(pool, start + 2_ms).opens.size());
}

TEST(ConnectionPool, AConnectionWithAnUnansweredStatementIsNeverLentAgain)
{
    ConnectionPool pool;
    pool.setShare(1);
    open(pool, 1, start);
    const Generation lent = *pool.lend(start);
    CHECK(!pool.lend(start).has_value());
    pool.pingAnswered(lent, start);
    CHECK(!pool.lend(start).has_value());
    pool.abandoned(lent, start + 5_ms);
    pool.answered(lent, false, start + 6_ms);
    CHECK(!pool.lend(start + 6_ms).has_value());
    pool.closed(lent, start + 7_ms);
    open(pool, 1, start + 7_ms);
    pool.answered(lent, false, start + 8_ms);
    CHECK(*pool.lend(start + 8_ms) != lent);
}

TEST(ConnectionPool, ATransactionPinsItsConnectionUntilItsEnd)
{
    ConnectionPool pool;
    pool.setShare(1);
    open(pool, 1, start);
    const Generation pinned = *pool.lend(start);
    pool.answered(pinned, true, start);
    CHECK(!pool.lend(start).has_value());
    CHECK(pool.resume(pinned, start));
    CHECK(!pool.resume(pinned, start));
    pool.answered(pinned, false, start);
    CHECK(pool.lend(start).has_value());
    CHECK(!pool.resume(99, start));
}

TEST(ConnectionPool, ASilentConnectionCastsSuspicionOnItsSiblingsOnly)
{
    ConnectionPool pool;
    pool.setShare(10);
    open(pool, 3, start);
    LONGS_EQUAL(4, pool.count(ConnectionState::Idle));
    const Generation silent = *pool.lend(start + 10_ms);
    open(pool, 6, start + 1500_ms);
    pool.abandoned(silent, start + 1600_ms);
    LONGS_EQUAL(3, pool.count(ConnectionState::Suspect));
    const Emitted emitted = tick(pool, start + 1600_ms);
    LONGS_EQUAL(3, emitted.pings.size());
    // What answers is lent again; what doesn't is closed.
    pool.pingAnswered(emitted.pings[0], start + 1610_ms);
    CHECK(pool.stateOf(emitted.pings[0]) == ConnectionState::Idle);
    const Emitted later = tick(pool, start + 2100_ms);
    CHECK(std::set<Generation>(later.closes.begin(), later.closes.end())
          == std::set<Generation>({emitted.pings[1], emitted.pings[2]}));
}

TEST(ConnectionPool, IdleConnectionsAreProbedAndSilentOnesReplacedWithinTheShare)
{
    ConnectionPool pool;
    pool.setShare(2);
    open(pool, 1, start);
    LONGS_EQUAL(0, tick(pool, start + 1999_ms).pings.size());
    const Emitted probes = tick(pool, start + 2_s);
    LONGS_EQUAL(2, probes.pings.size());
    LONGS_EQUAL(0, tick(pool, start + 2499_ms).closes.size());
    const Emitted closes = tick(pool, start + 2500_ms);
    LONGS_EQUAL(2, closes.closes.size());
    LONGS_EQUAL(0, closes.opens.size());
    for (const Generation generation : closes.closes)
        pool.closed(generation, start + 2501_ms);
    CHECK(!tick(pool, start + 2501_ms).opens.empty());
}

TEST(ConnectionPool, AFallingShareClosesIdleOnesAtOnceAndNamesTheRest)
{
    ConnectionPool pool;
    pool.setShare(6);
    open(pool, 6, start);
    const Generation first = *pool.lend(start);
    const Generation second = *pool.lend(start);
    pool.setShare(1);
    LONGS_EQUAL(4, tick(pool, start).closes.size());
    LONGS_EQUAL(1, pool.overdue().size());
    pool.answered(first, false, start + 1_ms);
    LONGS_EQUAL(1, tick(pool, start + 1_ms).closes.size());
    LONGS_EQUAL(0, pool.overdue().size());
    CHECK(pool.stateOf(second) == ConnectionState::Busy);
}

TEST(ConnectionPool, ALeavingPoolClosesEverythingAndOpensNothing)
{
    ConnectionPool pool;
    pool.setShare(4);
    open(pool, 4, start);
    const Generation busy = *pool.lend(start);
    pool.leave();
    LONGS_EQUAL(3, tick(pool, start).closes.size());
    CHECK(!pool.lend(start).has_value());
    LONGS_EQUAL(1, pool.wanted());
    pool.answered(busy, false, start + 1_ms);
    LONGS_EQUAL(1, tick(pool, start + 1_ms).closes.size());
    LONGS_EQUAL(0, tick(pool, start + 2_ms).opens.size());
}

TEST(ConnectionPool, AFailedOpeningIsTriedAgainAfterAPause)
{
    ConnectionPool pool;
    pool.setShare(1);
    const Emitted first = tick(pool, start);
    pool.closed(first.opens.front(), start + 1_ms);
    LONGS_EQUAL(0, tick(pool, start + 200_ms).opens.size());
    LONGS_EQUAL(1, tick(pool, start + 201_ms).opens.size());
    const Emitted timedOut = tick(pool, start + 1201_ms);
    LONGS_EQUAL(1, timedOut.closes.size());
}

TEST(ConnectionPool, NoSequenceOfEventsLendsTwiceOrExceedsTheShare)
{
    const auto property = [] {
        ConnectionPool pool;
        std::set<Generation> lent;
        std::set<Generation> pinned;
        std::set<Generation> living;
        Core::Instant now = start;
        std::uint32_t share = 5;
        pool.setShare(share);
        const int steps = *rc::gen::inRange(1, 200);
        const auto any = [](std::set<Generation> &from) {
            const auto index = *rc::gen::inRange<std::size_t>(0, from.size());
            return *std::next(from.begin(), static_cast<std::ptrdiff_t>(index));
        };
        for (int i = 0; i < steps; ++i) {
            now = now + Core::Duration(*rc::gen::inRange(0, 400));
            switch (*rc::gen::inRange(0, 8)) {
            case 0:
                if (const auto generation = pool.lend(now)) {
                    RC_ASSERT(!lent.contains(*generation) && !pinned.contains(*generation));
                    lent.insert(*generation);
                }
                break;
            case 1:
                if (!lent.empty()) {
                    const Generation one = any(lent);
                    const bool isInTransaction = *rc::gen::inRange(0, 2) == 1;
                    lent.erase(one);
                    pool.answered(one, isInTransaction, now);
                    if (isInTransaction)
                        pinned.insert(one);
                }
                break;
            case 2:
                if (!lent.empty()) {
                    const Generation one = any(lent);
                    pool.abandoned(one, now);
                    lent.erase(one);
                }
                break;
            case 3:
                if (!pinned.empty()) {
                    const Generation one = any(pinned);
                    pinned.erase(one);
                    if (pool.resume(one, now))
                        lent.insert(one);
                }
                break;
            case 4:
                if (!living.empty()) {
                    const Generation one = any(living);
                    pool.closed(one, now);
                    living.erase(one);
                    lent.erase(one);
                    pinned.erase(one);
                }
                break;
            case 5:
                if (!living.empty())
                    pool.opened(any(living), now);
                break;
            case 6:
                share = *rc::gen::inRange<std::uint32_t>(0, 8);
                pool.setShare(share);
                break;
            default:
                pool.setWaiting(*rc::gen::inRange<std::uint32_t>(0, 10));
                break;
            }
            for (const Action &action : pool.tick(now)) {
                if (const auto *open = std::get_if<Open>(&action)) {
                    RC_ASSERT(living.insert(open->generation).second);
                    RC_ASSERT(living.size() <= share);
                }
            }
            RC_ASSERT(pool.size() == living.size());
        }
    };
    rc::detail::TestMetadata metadata;
    metadata.id = "pool";
    rc::detail::TestParams parameters;
    parameters.seed = 20260102;
    parameters.maxSuccess = 300;
    const auto result =
        rc::detail::checkProperty(rc::detail::toProperty(property), metadata, parameters);
    if (!result.is<rc::detail::SuccessResult>())
        rc::detail::printResultMessage(result, std::cerr);
    CHECK(result.is<rc::detail::SuccessResult>());
}
