#include <Rates/RateLimiter.h>

#include <Tests/Rates/RateLimiterFixture.h>

#include <CppUTest/TestHarness.h>
#include <random>

using namespace Chervilpin;
using namespace Chervilpin::Rates;
using namespace Chervilpin::Rates::Testing;
using namespace Chervilpin::Core::Literals;

namespace {

/// Simulates \a perSecond callers per second at random proxies for \a span. The first \a without
/// proxies get no callers.
void simulateCallers(RateLimiterFixture &fleet, double perSecond, Core::Duration span,
                     std::mt19937 &random, std::size_t without = 0)
{
    std::bernoulli_distribution comes(perSecond / 1'000);
    std::uniform_int_distribution<std::size_t> at(without, fleet.members.size() - 1);
    for (std::int64_t i = 0; i < span.milliseconds(); ++i) {
        const std::string &name = fleet.members[at(random)].address;
        if (comes(random) && !fleet.dead.contains(name))
            fleet.requestOperation(name);
        fleet.advanceTime(1_ms);
    }
}

} // namespace

TEST_GROUP(RateLimiter)
{
    std::mt19937 random{7};
};

/// Guards against static shares of a small rate: a limit of 6 operations per second, split over 68
/// proxies, refused nearly all of a team's operations.
TEST(RateLimiter, SmallTeamIsServedAtEveryProxy)
{
    RateLimiterFixture fleet(68, {6, 6});
    simulateCallers(fleet, 3.7, 30_s, random);
    CHECK(fleet.granted.size() > 80);
    CHECK(fleet.refused.size() * 20 < fleet.granted.size());
}

TEST(RateLimiter, FleetStaysWithinTheLimit)
{
    for (const unsigned count : {7U, 68U}) {
        const Sessions::TeamLimits limits{30, 30};
        RateLimiterFixture fleet(count, limits);
        // The load of a team that suddenly sends many times its limit everywhere.
        simulateCallers(fleet, 300, 5_s, random);
        CHECK(static_cast<double>(fleet.granted.size()) <= toleratedMaximum(limits) - 20);
        CHECK(fleet.granted.size() >= 150);
    }
}

TEST(RateLimiter, RefusalIsImmediateAndHasRetryDelay)
{
    RateLimiterFixture fleet(68, {10, 2});
    for (int i = 0; i < 5; ++i)
        fleet.requestOperation("n3");
    fleet.advanceTime(5_ms);
    LONGS_EQUAL(5, fleet.granted.size() + fleet.refused.size());
    CHECK(!fleet.refused.empty());
    CHECK(fleet.refused.front().retryAfter > 0_ms);
    CHECK(fleet.refused.back().retryAfter > fleet.refused.front().retryAfter);
    CHECK(fleet.refused.front().decidedBy == fleet.owner());
}

/// Guards against tokens lost to operations that reach no database: when overloaded databases
/// refused two of three attempts, each attempt had used a token, and teams well below their limits
/// were refused.
TEST(RateLimiter, RefundedOperationsDoNotCountTowardsTheLimit)
{
    const Sessions::TeamLimits limits{40, 40};
    RateLimiterFixture fleet(68, limits);
    unsigned started = 0;
    std::bernoulli_distribution isRefusedLater(2.0 / 3);
    // 30 operations per second, each attempted up to three times.
    for (int second = 0; second < 10; ++second) {
        for (int i = 0; i < 90; ++i) {
            fleet.requestOperation("n" + std::to_string(1 + (i * 7 + second) % 68));
            fleet.advanceTime(11_ms);
            for (const auto &decision : std::exchange(fleet.granted, {})) {
                if (isRefusedLater(random))
                    fleet.refund("n" + std::to_string(1 + (i * 7 + second) % 68));
                else
                    ++started;
                (void)decision;
            }
        }
    }
    CHECK(fleet.refused.size() <= 45);
    CHECK(started >= 250);
}

TEST(RateLimiter, RefundsDoNotRaiseTheLimit)
{
    const Sessions::TeamLimits limits{30, 30};
    RateLimiterFixture fleet(20, limits);
    std::bernoulli_distribution isRefusedLater(0.5);
    std::size_t started = 0;
    for (int i = 0; i < 500; ++i) {
        const std::string name = "n" + std::to_string(1 + i % 20);
        fleet.requestOperation(name);
        fleet.advanceTime(10_ms);
        for (std::size_t k = std::exchange(fleet.granted, {}).size(); k > 0; --k) {
            if (isRefusedLater(random))
                fleet.refund(name);
            else
                ++started;
        }
    }
    CHECK(static_cast<double>(started) <= toleratedMaximum(limits));
}

/// An owner whose VM loses power does not answer until the fleet removes it from the members.
TEST(RateLimiter, HoldersStayWithinTheLimitWithoutTheOwner)
{
    for (const unsigned count : {7U, 68U}) {
        const Sessions::TeamLimits limits{30, 30};
        RateLimiterFixture fleet(count, limits);
        fleet.dead.insert(fleet.owner());
        simulateCallers(fleet, 300, 5_s, random);
        CHECK(static_cast<double>(fleet.granted.size()) <= toleratedMaximum(limits));
        CHECK(fleet.granted.size() > 10);
    }
}

/// Guards against refusals of a team with steady load while a network partition separates proxies
/// for seconds.
TEST(RateLimiter, PartitionLeavesMostOfASteadyLoadAdmitted)
{
    for (const double rate : {10.0, 100.0}) {
        RateLimiterFixture fleet(68, {rate, rate});
        simulateCallers(fleet, rate * 0.62, 10_s, random);
        fleet.dead.insert(fleet.owner());
        fleet.granted.clear();
        fleet.refused.clear();
        simulateCallers(fleet, rate * 0.62, 6_s, random);
        CHECK(fleet.granted.size() > fleet.refused.size());
    }
}

/// The same with a team that suddenly sends many times its limit everywhere, while a third of the
/// proxies of each data centre are partitioned from the others. An earlier design estimated what
/// the other side would grant, and both sides together exceeded the limit.
TEST(RateLimiter, SurgeOnBothSidesOfAPartitionIsLimited)
{
    for (const double rate : {6.0, 10.0, 30.0, 100.0}) {
        const Sessions::TeamLimits limits{rate, rate};
        RateLimiterFixture fleet(68, limits, 3);
        simulateCallers(fleet, rate * 0.62, 10_s, random);
        fleet.isLost = [&](const std::string &from, const std::string &to) {
            constexpr int others = 24;
            return (std::stoi(from.substr(1)) <= others) != (std::stoi(to.substr(1)) <= others);
        };
        simulateCallers(fleet, rate * 4.6, 13_s, random);
        CHECK(static_cast<double>(fleet.maximumGrantedInWindow()) <= toleratedMaximum(limits));
    }
}

TEST(RateLimiter, SmallFleetAdmitsMostWithoutTheOwner)
{
    RateLimiterFixture fleet(7, {60, 60});
    fleet.dead.insert(fleet.owner());
    simulateCallers(fleet, 37, 10_s, random);
    CHECK(fleet.granted.size() > 2 * fleet.refused.size());
}

TEST(RateLimiter, UnreachableOwnerDelaysDecisionsOnlyBriefly)
{
    RateLimiterFixture fleet(68, {10, 10});
    for (const auto &member : fleet.members)
        fleet.dead.insert(member.address);
    fleet.requestOperation("n3");
    fleet.advanceTime(90_ms);
    LONGS_EQUAL(1, fleet.granted.size() + fleet.refused.size());
}

TEST(RateLimiter, NewOwnerDoesNotGrantTheBurstAgain)
{
    const Sessions::TeamLimits limits{20, 60};
    RateLimiterFixture fleet(68, limits);
    simulateCallers(fleet, 300, 2_s, random);
    const std::string gone = fleet.owner();
    std::erase_if(fleet.members, [&](const auto &member) { return member.address == gone; });
    fleet.updateMembers();
    simulateCallers(fleet, 300, 3_s, random);
    CHECK(static_cast<double>(fleet.granted.size()) <= toleratedMaximum(limits) - 20);
}

TEST(RateLimiter, OwnerWithInsufficientVisibilityGrantsNothing)
{
    RateLimiterFixture fleet(68, {10, 10});
    RateLimiter &owner = *fleet.limiters.at(fleet.owner());
    const TokenRequest request{1, "n3", RateLimiterFixture::team, Role::Owner, 1, 0, 0};
    LONGS_EQUAL(1, owner.handleRequest(request, fleet.now).operations);
    owner.setFleetVisibility(FleetVisibility::Insufficient);
    const TokenGrant grant = owner.handleRequest(request, fleet.now);
    CHECK(!grant.isAccepted);
    LONGS_EQUAL(0, grant.operations);
}

TEST(RateLimiter, BusyTeamRequestsTokensInBatches)
{
    RateLimiterFixture fleet(2, {2'000, 2'000});
    const std::string other = fleet.owner() == "n1" ? "n2" : "n1";
    fleet.datagrams = 0;
    for (int i = 0; i < 1'500; ++i) {
        fleet.requestOperation(other);
        fleet.advanceTime(1_ms);
    }
    LONGS_EQUAL(1'500, fleet.granted.size());
    CHECK(fleet.datagrams < 300);
}

TEST(RateLimiter, GrantWithAnotherRequestIdIsIgnored)
{
    RateLimiterFixture fleet(68, {10, 10});
    RateLimiter limiter({Core::NodeName("x"), Core::DataCentreName("dc-1"), "x"}, 1);
    limiter.setLimits({{RateLimiterFixture::team, {10, 10}}}, fleet.now);
    limiter.setMembers(fleet.members, 69, fleet.now);
    limiter.requestAdmission(RateLimiterFixture::team, 1, fleet.now);
    const auto messages = limiter.takeMessages();
    LONGS_EQUAL(1, messages.size());
    const auto &request = std::get<TokenRequest>(messages.front().message);
    TokenGrant grant{request.id + 1, RateLimiterFixture::team, {}, true, 1, {}};
    limiter.handleGrant(grant, fleet.now);
    LONGS_EQUAL(0, limiter.takeDecisions().size());
    grant.id = request.id;
    limiter.handleGrant(grant, fleet.now);
    LONGS_EQUAL(1, limiter.takeDecisions().size());
}
