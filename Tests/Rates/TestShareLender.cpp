#include <Rates/ShareLender.h>
#include <Rates/Timing.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Rates;
using namespace Chervilpin::Core::Literals;

TEST_GROUP(ShareLender)
{
    const Core::DataCentreName near{"dc-1"};
    const Core::DataCentreName far{"dc-2"};
    const std::vector<Member> holders{{Core::NodeName("a"), near, "a"},
                                      {Core::NodeName("b"), far, "b"}};
    Core::Instant now{100'000};
    ShareLender lender{{}, now};
    std::uint64_t reports = 0;

    void setup() override
    {
        lender.setHolders(holders);
    }

    ShareReport report(const char *holder, double held, double demandPerSecond)
    {
        ShareReport report;
        report.id = ++reports;
        report.holder = Core::NodeName(holder);
        report.incarnation = 1;
        report.held = held;
        report.demandPerSecond = demandPerSecond;
        return report;
    }

    double lend(const ShareReport &report)
    {
        return lender.lend(report, report.holder.view() == "a" ? near : far, now).share;
    }
};

TEST(ShareLender, SharesFollowTheDemand)
{
    (void)lend(report("a", 0, 10));
    (void)lend(report("b", 0, 20));
    const double smaller = lend(report("a", 0, 10));
    const double larger = lend(report("b", 0, 20));
    DOUBLES_EQUAL(0.25, smaller, 0.001);
    DOUBLES_EQUAL(0.5, larger, 0.001);
    DOUBLES_EQUAL(0.25, lender.ownShare(now), 0.001);
}

TEST(ShareLender, RandomVariationMovesNoShare)
{
    const double first = lend(report("a", 0, 10));
    (void)lend(report("b", 0, 10));
    const double share = lend(report("a", first, 10));
    DOUBLES_EQUAL(share, lend(report("a", share, 11)), 0);
}

TEST(ShareLender, LoweredShareIsFreeOnlyOnceTheHolderConfirmsIt)
{
    (void)lend(report("b", 0, 0));
    const double before = lend(report("a", 0, 10));
    (void)lend(report("b", 0, 90));
    const double after = lend(report("a", before, 10));
    CHECK(after < before);
    const double own = lender.ownShare(now);
    (void)lend(report("a", after, 10));
    DOUBLES_EQUAL(own + before - after, lender.ownShare(now), 0.001);
}

TEST(ShareLender, LostLeaseCountsUntilTheNextReport)
{
    (void)lend(report("b", 0, 10));
    const double lost = lend(report("a", 0, 10));
    CHECK(lost > 0);
    CHECK(lender.ownShare(now) <= 1 - lost);
}

TEST(ShareLender, SilentHolderKeepsItsShareUntilItsLeaseExpires)
{
    (void)lend(report("b", 0, 0));
    const double share = lend(report("a", 0, 10));
    now = now + shareLeaseDuration - 1_ms;
    CHECK(lender.ownShare(now) <= 1 - share);
    now = now + 1_ms;
    DOUBLES_EQUAL(1, lender.ownShare(now), 0.001);
}

TEST(ShareLender, RestartedHolderHasNoShare)
{
    (void)lend(report("b", 0, 0));
    (void)lend(report("a", 0, 10));
    ShareReport restarted = report("a", 0, 0);
    restarted.incarnation = 2;
    restarted.id = 1;
    restarted.isReturning = true;
    (void)lend(restarted);
    // What is left is the share of b.
    CHECK(lender.ownShare(now) >= 0.5);
}

TEST(ShareLender, OutdatedReportIsIgnored)
{
    (void)lend(report("b", 0, 0));
    const ShareReport delayed = report("a", 0, 10);
    const double share = lend(report("a", 0, 10));
    const double own = lender.ownShare(now);
    DOUBLES_EQUAL(0, lend(delayed), 0);
    DOUBLES_EQUAL(own, lender.ownShare(now), 0);
    CHECK(own <= 1 - share);
}

/// A new owner doesn't know what its predecessor lent to a side that it can't reach.
TEST(ShareLender, DataCentreThatDoesNotAnswerMayHoldHalf)
{
    (void)lend(report("a", 0.3, 10));
    CHECK(lender.ownShare(now) <= 0.2001);
    LONGS_EQUAL(1, lender.unheardHolders(now).size());
    now = now + shareLeaseDuration;
    LONGS_EQUAL(0, lender.unheardHolders(now).size());
    DOUBLES_EQUAL(1, lender.ownShare(now), 0.001);
}

TEST(ShareLender, LostDataCentreMayHoldHalfUntilItsLeasesExpire)
{
    const Core::Instant lostAt = now;
    now = now + 5_s;
    ShareLender successor{{{Core::DataCentreName("dc-3"), lostAt}}, now};
    DOUBLES_EQUAL(0.5, successor.ownShare(now), 0.001);
    now = lostAt + shareLeaseDuration;
    DOUBLES_EQUAL(1, successor.ownShare(now), 0.001);
}

TEST(ShareLender, UndesignatedHolderGetsNoShare)
{
    (void)lend(report("a", 0.3, 10));
    lender.setHolders(std::vector<Member>{holders.back()});
    DOUBLES_EQUAL(0, lend(report("a", 0.3, 10)), 0);
}
