#include <Fleet/SourcePlan.h>

#include <Fleet/RelayTiming.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Fleet;
using namespace Chervilpin::Core::Literals;
using Leading = SourcePlan::Leading;

namespace {

MemberRecord member(const std::string &name, const char *dataCentre, unsigned capacity)
{
    MemberRecord record;
    record.node = Core::NodeName(name);
    record.dataCentre = Core::DataCentreName(dataCentre);
    record.address = name;
    record.capacity = capacity;
    return record;
}

/// A data centre as on the largest deployment: a few strong VMs among many weak ones.
std::vector<MemberRecord> largeDataCentre()
{
    std::vector<MemberRecord> members;
    members.reserve(120);
    for (int i = 0; i < 57; ++i)
        members.push_back(member("weak-" + std::to_string(i), "dc-1", 120));
    for (int i = 0; i < 3; ++i)
        members.push_back(member("strong-" + std::to_string(i), "dc-1", 500));
    for (int i = 0; i < 60; ++i)
        members.push_back(member("other-" + std::to_string(i), "dc-2", 2'000));
    return members;
}

} // namespace

TEST_GROUP(SourcePlan)
{
    Core::Instant now{50'000};

    static SourcePlan planOf(const std::string &name)
    {
        return {Core::NodeName(name), Core::DataCentreName("dc-1")};
    }

    static Source storeSource()
    {
        return {};
    }
};

TEST(SourcePlan, BeforeAnyMemberIsKnownTheStoreIsAsked)
{
    const auto plan = planOf("weak-1");
    CHECK(plan.current(now).isStore());
    CHECK(!plan.isFeed());
}

/// The calls of the store grow with the data centres: two of 60 proxies make them.
TEST(SourcePlan, TwoOfTheStrongestFollowTheStoreForTheirDataCentre)
{
    const auto members = largeDataCentre();
    std::map<std::string, int> followers;
    int feeds = 0;
    for (const auto &each : members) {
        if (each.dataCentre != Core::DataCentreName("dc-1"))
            continue;
        auto plan = planOf(each.node.value());
        plan.setMembers(members, Leading::No);
        if (plan.isFeed()) {
            ++feeds;
            CHECK(each.node.value().starts_with("strong"));
            CHECK(plan.current(now).isStore());
        } else {
            ++followers[plan.current(now).feed.value()];
        }
    }
    LONGS_EQUAL(2, feeds);
    LONGS_EQUAL(2, followers.size());
    for (const auto &[feed, count] : followers)
        CHECK_TEXT(count >= 15, feed.c_str());
}

TEST(SourcePlan, InASmallDataCentreAndAsLeaderTheStoreIsAsked)
{
    std::vector<MemberRecord> members;
    members.reserve(directUpTo);
    for (std::size_t i = 0; i < directUpTo; ++i)
        members.push_back(member("n-" + std::to_string(i), "dc-1", 250));
    auto small = planOf("n-0");
    small.setMembers(members, Leading::No);
    CHECK(small.current(now).isStore() && !small.isFeed());
    auto leader = planOf("weak-1");
    leader.setMembers(largeDataCentre(), Leading::Yes);
    CHECK(leader.current(now).isStore());
}

TEST(SourcePlan, AFailedFeedGivesWayToTheOtherOneAndThenToTheStore)
{
    auto plan = planOf("weak-1");
    plan.setMembers(largeDataCentre(), Leading::No);
    const Source first = plan.current(now);
    CHECK(plan.failed(first, SourceFailure::Silent, now) == NextTry::Now);
    const Source second = plan.current(now);
    CHECK(!second.isStore() && second != first);
    CHECK(plan.failed(second, SourceFailure::Refused, now) == NextTry::Now);
    CHECK(plan.current(now).isStore());
    CHECK(plan.failed(storeSource(), SourceFailure::Silent, now) == NextTry::AfterPause);
    CHECK(plan.current(now + std::max(refusedFeedPause, silentFeedPause)) == first);
}

/// scale-2 of mcr-registry-grown: both feeds lost the store for 12 s, and the store was never
/// asked.
TEST(SourcePlan, WhileBothFeedsRefuseTheStoreIsAsked)
{
    auto plan = planOf("weak-1");
    plan.setMembers(largeDataCentre(), Leading::No);
    unsigned ofStore = 0;
    unsigned ofFeeds = 0;
    for (int i = 0; i < 24; ++i) {
        // Each feed takes its time to refuse.
        for (Source asked = plan.current(now); !asked.isStore(); asked = plan.current(now)) {
            ++ofFeeds;
            now = now + 500_ms;
            plan.failed(asked, SourceFailure::Refused, now);
        }
        ++ofStore;
        now = now + 500_ms;
    }
    CHECK(ofStore >= 2 * ofFeeds);
}

/// A feed that is suspended for long is asked ever more seldom, since each question to it waits.
TEST(SourcePlan, ASilentFeedIsAskedAgainAfterEverLongerPauses)
{
    auto plan = planOf("weak-1");
    plan.setMembers(largeDataCentre(), Leading::No);
    const Source feed = plan.current(now);
    Core::Duration last;
    for (int i = 0; i < 3; ++i) {
        plan.failed(feed, SourceFailure::Silent, now);
        Core::Duration pause;
        while (plan.current(now + pause) != feed)
            pause = pause + 100_ms;
        CHECK(pause > last);
        last = pause;
        now = now + pause;
    }
    plan.answered(feed);
    plan.failed(feed, SourceFailure::Silent, now);
    CHECK(plan.current(now + silentFeedPause) == feed);
}

TEST(SourcePlan, QuestionsThatFailTogetherCountOnce)
{
    auto plan = planOf("weak-1");
    plan.setMembers(largeDataCentre(), Leading::No);
    const Source feed = plan.current(now);
    for (int i = 0; i < 3; ++i)
        plan.failed(feed, SourceFailure::Silent, now);
    CHECK(plan.current(now + silentFeedPause) == feed);
}

TEST(SourcePlan, AFeedThatLeftIsReplacedByTheNextStrongest)
{
    auto members = largeDataCentre();
    auto plan = planOf("weak-1");
    plan.setMembers(members, Leading::No);
    const Source before = plan.current(now);
    std::erase_if(members, [&](const auto &each) { return each.node == before.feed; });
    plan.setMembers(members, Leading::No);
    CHECK(plan.current(now) != before);
    for (const auto &feed : plan.feeds())
        CHECK(feed.feed.value().starts_with("strong"));
}
