#include <Rates/RateLimiter.h>

#include <Tests/Rates/RateLimiterFixture.h>

#include <CppUTest/TestHarness.h>
#include <random>

using namespace Chervilpin;
using namespace Chervilpin::Rates;
using namespace Chervilpin::Rates::Testing;
using namespace Chervilpin::Core::Literals;

namespace {

/// Plays callers at random proxies, so many each second, for so long.
/// The first so many proxies have none.
void simulateCallers(RateLimiterFixture &fleet, double perSecond, Core::Duration span,
                     std::mt19937 &random, std::size_t without = 0)
{
    std::bernoulli_distribution comes(perSecond / 1'000);
    std::uniform_int_distribution<std::size_t> at(without, fleet.members.size() - 1);
    for (std::int64_t i = 0; i < span.milliseconds(); ++i) {
        const std::string &name = fleet.members[at(random)].address;
        if (comes(random) && !fleet.dead.contains(name))
            fleet.request(name);
        fleet.advanceTime(1_ms);
    }
}

/// What the users accept over a window of 5 s.
double accepted(Sessions::TeamLimits limits)
{
    constexpr double window = 5;
    return (limits.ratePerSecond * window + limits.burst) * 1.1 + 20;
}

} // namespace

TEST_GROUP(RateLimiter)
{
    std::mt19937 random{7};
};

/// The quiet day of kcn-jakarta-grown: a team of 6 operations a second, spread over 68 proxies. A
/// fixed part of its rate for each proxy refused nearly all of them.
TEST(RateLimiter, ASmallTeamIsServedWhereverItsCallersCome)
{
    RateLimiterFixture fleet(68, {6, 6});
    simulateCallers(fleet, 3.7, 30_s, random);
    CHECK(fleet.granted.size() > 80);
    CHECK(fleet.refused.size() * 20 < fleet.granted.size());
}

TEST(RateLimiter, AFleetNeverStartsMoreThanTheLimit)
{
    for (const unsigned count : {7U, 68U}) {
        const Sessions::TeamLimits limits{30, 30};
        RateLimiterFixture fleet(count, limits);
        // The load of a team that suddenly sends many times its limit everywhere.
        simulateCallers(fleet, 300, 5_s, random);
        CHECK(static_cast<double>(fleet.granted.size()) <= accepted(limits) - 20);
        CHECK(fleet.granted.size() >= 150);
    }
}

TEST(RateLimiter, ARefusalComesAtOnceAndSaysWhenToComeBack)
{
    RateLimiterFixture fleet(68, {10, 2});
    for (int i = 0; i < 5; ++i)
        fleet.request("n3");
    fleet.advanceTime(5_ms);
    LONGS_EQUAL(5, fleet.granted.size() + fleet.refused.size());
    CHECK(!fleet.refused.empty());
    CHECK(fleet.refused.front().retryAfter > 0_ms);
    CHECK(fleet.refused.back().retryAfter > fleet.refused.front().retryAfter);
    CHECK(fleet.refused.front().decidedBy == fleet.owner());
}

/// inc-201a of kcn-jakarta-grown, 12 to 18 s: full databases refused two of three tries, each had
/// used up one operation of its team, and teams well below their limits were refused as over them.
TEST(RateLimiter, OperationsThatReachedNoDatabaseDoNotCountForTheTeam)
{
    const Sessions::TeamLimits limits{40, 40};
    RateLimiterFixture fleet(68, limits);
    unsigned started = 0;
    std::bernoulli_distribution isRefusedLater(2.0 / 3);
    // 30 operations a second, each tried up to three times.
    for (int second = 0; second < 10; ++second) {
        for (int i = 0; i < 90; ++i) {
            fleet.request("n" + std::to_string(1 + (i * 7 + second) % 68));
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

TEST(RateLimiter, GivingBackLetsNoTeamStartMoreThanItsLimit)
{
    const Sessions::TeamLimits limits{30, 30};
    RateLimiterFixture fleet(20, limits);
    std::bernoulli_distribution isRefusedLater(0.5);
    std::size_t started = 0;
    for (int i = 0; i < 500; ++i) {
        const std::string name = "n" + std::to_string(1 + i % 20);
        fleet.request(name);
        fleet.advanceTime(10_ms);
        for (std::size_t k = std::exchange(fleet.granted, {}).size(); k > 0; --k) {
            if (isRefusedLater(random))
                fleet.refund(name);
            else
                ++started;
        }
    }
    CHECK(static_cast<double>(started) <= accepted(limits));
}

/// A VM that loses power: nothing answers there until the fleet has retired it.
TEST(RateLimiter, WithoutTheOwnerTheStandInsKeepWithinWhatIsAccepted)
{
    for (const unsigned count : {7U, 68U}) {
        const Sessions::TeamLimits limits{30, 30};
        RateLimiterFixture fleet(count, limits);
        fleet.dead.insert(fleet.owner());
        simulateCallers(fleet, 300, 5_s, random);
        CHECK(static_cast<double>(fleet.granted.size()) <= accepted(limits));
        CHECK(fleet.granted.size() > 10);
    }
}

/// The days scale-1 and trouble-2 of kcn-jakarta-grown: proxies are cut from each other for
/// seconds, while their callers go on as before.
TEST(RateLimiter, ACutLeavesMostOfASteadyTeamServed)
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

/// The same with a team that suddenly sends many times its limit everywhere: two thirds of the
/// proxies are cut from the owner, and start no more than what is accepted beyond the limit, which
/// the others may use up.
TEST(RateLimiter, InACutATeamThatSurgesIsHeldBack)
{
    for (const double rate : {6.0, 10.0, 30.0, 100.0}) {
        const Sessions::TeamLimits limits{rate, rate};
        RateLimiterFixture fleet(68, limits);
        simulateCallers(fleet, rate * 0.62, 10_s, random);
        fleet.dead.insert(fleet.owner());
        fleet.granted.clear();
        constexpr std::size_t others = 24;
        simulateCallers(fleet, rate * 4.6 * 44 / 68, 5_s, random, others);
        const double beyond = accepted(limits) - rate * 5 - limits.burst;
        CHECK(static_cast<double>(fleet.granted.size()) <= beyond);
    }
}

TEST(RateLimiter, InASmallFleetMostAreServedWithoutTheOwner)
{
    RateLimiterFixture fleet(7, {60, 60});
    fleet.dead.insert(fleet.owner());
    simulateCallers(fleet, 37, 10_s, random);
    CHECK(fleet.granted.size() > 2 * fleet.refused.size());
}

TEST(RateLimiter, NobodyWaitsLongForAnOwnerThatIsSilent)
{
    RateLimiterFixture fleet(68, {10, 10});
    for (const auto &member : fleet.members)
        fleet.dead.insert(member.address);
    fleet.request("n3");
    fleet.advanceTime(90_ms);
    LONGS_EQUAL(1, fleet.granted.size() + fleet.refused.size());
}

TEST(RateLimiter, ANewOwnerDoesNotGrantTheBurstAgain)
{
    const Sessions::TeamLimits limits{20, 60};
    RateLimiterFixture fleet(68, limits);
    simulateCallers(fleet, 300, 2_s, random);
    const std::string gone = fleet.owner();
    std::erase_if(fleet.members, [&](const auto &member) { return member.address == gone; });
    fleet.updateMembers();
    simulateCallers(fleet, 300, 3_s, random);
    CHECK(static_cast<double>(fleet.granted.size()) <= accepted(limits) - 20);
}

TEST(RateLimiter, AnOwnerThatSeesTooLittleOfTheFleetGrantsNothing)
{
    RateLimiterFixture fleet(68, {10, 10});
    RateLimiter &owner = *fleet.limiters.at(fleet.owner());
    const TokenRequest request{1, "n3", RateLimiterFixture::team, Role::Owner, 1, 0};
    LONGS_EQUAL(1, owner.handleRequest(request, fleet.now).operations);
    owner.setFleetVisibility(FleetVisibility::Insufficient);
    const TokenGrant grant = owner.handleRequest(request, fleet.now);
    CHECK(!grant.isAccepted);
    LONGS_EQUAL(0, grant.operations);
}

TEST(RateLimiter, ABusyTeamAsksForSeveralAtATime)
{
    RateLimiterFixture fleet(2, {2'000, 2'000});
    const std::string other = fleet.owner() == "n1" ? "n2" : "n1";
    fleet.datagrams = 0;
    for (int i = 0; i < 1'500; ++i) {
        fleet.request(other);
        fleet.advanceTime(1_ms);
    }
    LONGS_EQUAL(1'500, fleet.granted.size());
    CHECK(fleet.datagrams < 300);
}

TEST(RateLimiter, AGrantForAnotherAskIsPassedOver)
{
    RateLimiterFixture fleet(68, {10, 10});
    RateLimiter limiter({Core::NodeName("x"), Core::DataCentreName("dc-1"), "x"});
    limiter.setLimits({{RateLimiterFixture::team, {10, 10}}}, fleet.now);
    limiter.setMembers(fleet.members, 69, fleet.now);
    limiter.requestAdmission(RateLimiterFixture::team, 1, fleet.now);
    const auto requests = limiter.takeRequests();
    LONGS_EQUAL(1, requests.size());
    TokenGrant grant{requests.front().request.id + 1, RateLimiterFixture::team, {}, true, 1, {}};
    limiter.handleGrant(grant, fleet.now);
    LONGS_EQUAL(0, limiter.takeDecisions().size());
    grant.id = requests.front().request.id;
    limiter.handleGrant(grant, fleet.now);
    LONGS_EQUAL(1, limiter.takeDecisions().size());
}
