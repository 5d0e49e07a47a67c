#include <Tests/Rates/RateLimiterFixture.h>

#include <CppUTest/TestHarness.h>
#include <array>
#include <random>

using namespace Chervilpin;
using namespace Chervilpin::Rates;
using namespace Chervilpin::Rates::Testing;
using namespace Chervilpin::Core::Literals;

namespace {

/// A fleet whose links break at random while the load moves between its data centres.
class RandomPartitions
{
public:
    RandomPartitions(unsigned seed, Sessions::TeamLimits limits)
        : random_(seed)
        , limits_(limits)
        , fleet_(30, limits, 3)
    {
        fleet_.isLost = [this](const std::string &from, const std::string &to) {
            std::bernoulli_distribution isRandomlyLost(0.02);
            return isCut(from, to) || isRandomlyLost(random_);
        };
    }

    /// The highest number of operations in 5 s, as a fraction of what is tolerated.
    double play(Core::Duration span)
    {
        for (std::int64_t i = 0; i < span.milliseconds(); ++i) {
            if (i % 700 == 0)
                changeSomething();
            callersCome();
            fleet_.advanceTime(1_ms);
        }
        return static_cast<double>(fleet_.maximumGrantedInWindow()) / toleratedMaximum(limits_);
    }

private:
    [[nodiscard]] unsigned pick(unsigned count)
    {
        return std::uniform_int_distribution<unsigned>(0, count - 1)(random_);
    }

    [[nodiscard]] const std::string &pickProxy()
    {
        return fleet_.members[pick(static_cast<unsigned>(fleet_.members.size()))].address;
    }

    [[nodiscard]] bool isCut(const std::string &from, const std::string &to) const
    {
        return cutLinks_.contains({from, to}) || sideOf(from) != sideOf(to);
    }

    [[nodiscard]] unsigned sideOf(const std::string &name) const
    {
        const auto found = sides_.find(name);
        return found == sides_.end() ? 0 : found->second;
    }

    void changeSomething()
    {
        constexpr void (RandomPartitions::*changes[])() = {
            &RandomPartitions::cutDataCentre, &RandomPartitions::cutRandomSide,
            &RandomPartitions::cutOneProxy,   &RandomPartitions::cutOneWay,
            &RandomPartitions::heal,          &RandomPartitions::pauseOne,
            &RandomPartitions::restartOne,    &RandomPartitions::moveLoad,
            &RandomPartitions::surge,
        };
        (this->*changes[pick(std::size(changes))])();
    }

    void cutDataCentre()
    {
        sides_.clear();
        const auto dataCentre = fleet_.dataCentreOf(pickProxy());
        for (const auto &member : fleet_.members)
            sides_[member.address] = member.dataCentre == dataCentre ? 1 : 0;
    }

    void cutRandomSide()
    {
        for (const auto &member : fleet_.members)
            sides_[member.address] = pick(2);
    }

    void cutOneProxy() { sides_[pickProxy()] = 2 + pick(100); }

    void cutOneWay()
    {
        const std::string from = pickProxy();
        for (const auto &member : fleet_.members)
            cutLinks_.insert({from, member.address});
    }

    void heal()
    {
        sides_.clear();
        cutLinks_.clear();
        fleet_.paused.clear();
    }

    void pauseOne() { fleet_.paused.insert(pickProxy()); }

    void restartOne()
    {
        const std::string name = pickProxy();
        fleet_.paused.erase(name);
        fleet_.restart(name);
    }

    void moveLoad()
    {
        for (double &weight : weights_)
            weight = pick(10);
        weights_[pick(3)] += 1;
    }

    void surge() { surgeFactor_ = pick(2) == 0 ? 0.6 : 6; }

    void callersCome()
    {
        std::poisson_distribution<int> arrivals(limits_.ratePerSecond * surgeFactor_ / 1'000);
        std::discrete_distribution<unsigned> dataCentres(weights_.begin(), weights_.end());
        for (int count = arrivals(random_); count > 0; --count) {
            // The members are dealt to three data centres in turn.
            const unsigned index = dataCentres(random_) + 3 * pick(10);
            const std::string &name = fleet_.members[index].address;
            if (!fleet_.paused.contains(name))
                fleet_.requestOperation(name);
        }
    }

    std::mt19937 random_;
    Sessions::TeamLimits limits_;
    RateLimiterFixture fleet_;
    std::map<std::string, unsigned> sides_;
    std::set<std::pair<std::string, std::string>> cutLinks_;
    std::array<double, 3> weights_{1, 1, 1};
    double surgeFactor_ = 0.6;
};

} // namespace

TEST_GROUP(RatePartitions){};

/// Judged over all sides together, whatever links break, and however load moves meanwhile.
TEST(RatePartitions, AllSidesTogetherStayWithinTheLimit)
{
    for (unsigned seed = 1; seed <= 24; ++seed) {
        const double rate = std::array{6.0, 30.0, 100.0}[seed % 3];
        RandomPartitions partitions(seed, {rate, rate});
        CHECK(partitions.play(25_s) <= 1);
    }
}

/// A team within its limit is served on both sides of a data centre that is cut off.
TEST(RatePartitions, SteadyLoadIsAdmittedOnBothSidesOfACut)
{
    for (const double rate : {20.0, 60.0, 200.0}) {
        RateLimiterFixture fleet(30, {rate, rate}, 3);
        std::mt19937 random(11);
        std::poisson_distribution<int> arrivals(rate * 0.62 / 1'000);
        std::uniform_int_distribution<std::size_t> at(0, fleet.members.size() - 1);
        const auto simulate = [&](Core::Duration span) {
            for (std::int64_t i = 0; i < span.milliseconds(); ++i) {
                for (int count = arrivals(random); count > 0; --count)
                    fleet.requestOperation(fleet.members[at(random)].address);
                fleet.advanceTime(1_ms);
            }
        };
        simulate(10_s);
        CHECK(fleet.refused.size() * 100 <= fleet.granted.size());
        for (const char *cutOff : {"dc-1", "dc-2", "dc-3"}) {
            const Core::DataCentreName dataCentre{cutOff};
            fleet.isLost = [&](const std::string &from, const std::string &to) {
                return (fleet.dataCentreOf(from) == dataCentre)
                    != (fleet.dataCentreOf(to) == dataCentre);
            };
            fleet.granted.clear();
            fleet.refused.clear();
            simulate(10_s);
            CHECK(fleet.refused.size() * 20 <= fleet.granted.size());
            fleet.isLost = [](const std::string &, const std::string &) {
                return false;
            };
            simulate(5_s);
        }
    }
}

/// All load of a team moves to another data centre. It is admitted there after two seconds.
TEST(RatePartitions, SharesFollowTheLoadWhileAllAreInTouch)
{
    // Few enough that no even share is set aside for each proxy.
    RateLimiterFixture fleet(30, {50, 50}, 3);
    constexpr std::int64_t gapMs = 32; // 62 % of the limit.
    const auto simulate = [&](std::size_t dataCentre, Core::Duration span) {
        for (std::int64_t i = 0; i < span.milliseconds(); ++i) {
            const auto proxy = dataCentre + 3 * static_cast<std::size_t>(i / gapMs % 10);
            if (i % gapMs == 0)
                fleet.requestOperation(fleet.members[proxy].address);
            fleet.advanceTime(1_ms);
        }
    };
    simulate(0, 10_s);
    simulate(1, 2_s);
    fleet.granted.clear();
    fleet.refused.clear();
    simulate(1, 5_s);
    CHECK(fleet.refused.size() * 20 <= fleet.granted.size());
}

/// A restart of all proxies loses all shares; the new owner learns so from the holders' answers.
TEST(RatePartitions, CallersAreAdmittedRightAfterARestartOfAllProxies)
{
    RateLimiterFixture fleet(30, {60, 60}, 3);
    for (int i = 0; i < 200; ++i) {
        fleet.requestOperation(fleet.members[static_cast<std::size_t>(i) % 30].address);
        fleet.advanceTime(25_ms);
    }
    for (const auto &member : fleet.members)
        fleet.restart(member.address);
    fleet.granted.clear();
    fleet.refused.clear();
    for (int i = 0; i < 80; ++i) {
        fleet.requestOperation(fleet.members[static_cast<std::size_t>(i) % 30].address);
        fleet.advanceTime(25_ms);
    }
    CHECK(fleet.refused.size() * 10 <= fleet.granted.size());
}

/// An owner of an earlier build grants the whole rate, so nobody else may use a share of it.
TEST(RatePartitions, OwnerOfAnEarlierBuildLendsNothing)
{
    RateLimiterFixture fleet(9, {30, 30}, 3);
    const std::string owner = fleet.owner();
    const std::string other = owner == "n1" ? "n2" : "n1";
    fleet.requestOperation(other);
    fleet.advanceTime(2_s);
    for (auto &member : fleet.members) {
        if (member.address == owner)
            member.shareSupport = ShareSupport::No;
    }
    fleet.updateMembers();
    for (const auto &[name, limiter] : fleet.limiters)
        LONGS_EQUAL(0, limiter->heldShareCount(fleet.now));
}
