#include <Fleet/SourceSelector.h>

#include <Fleet/RelayTiming.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Fleet;
using namespace Chervilpin::Core::Literals;
using Leading = SourceSelector::Leading;

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

/// A data centre as in the largest deployment: a few VMs with high capacity among many with little.
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

TEST_GROUP(SourceSelector)
{
    Core::Instant now{50'000};

    static SourceSelector selectorOf(const std::string &name)
    {
        return {Core::NodeName(name), Core::DataCentreName("dc-1")};
    }

    static Source storeSource()
    {
        return {};
    }
};

TEST(SourceSelector, TheStoreIsAskedBeforeAnyMemberIsKnown)
{
    const auto selector = selectorOf("weak-1");
    CHECK(selector.current(now).isStore());
    CHECK(!selector.isFeed());
}

/// Keeps the number of calls to the store proportional to the data centres: only two of 60 proxies
/// make them.
TEST(SourceSelector, TwoMembersWithTheHighestCapacityAreFeeds)
{
    const auto members = largeDataCentre();
    std::map<std::string, int> followers;
    int feeds = 0;
    for (const auto &each : members) {
        if (each.dataCentre != Core::DataCentreName("dc-1"))
            continue;
        auto selector = selectorOf(each.node.value());
        selector.setMembers(members, Leading::No);
        if (selector.isFeed()) {
            ++feeds;
            CHECK(each.node.value().starts_with("strong"));
            CHECK(selector.current(now).isStore());
        } else {
            ++followers[selector.current(now).feed.value()];
        }
    }
    LONGS_EQUAL(2, feeds);
    LONGS_EQUAL(2, followers.size());
    for (const auto &[feed, count] : followers)
        CHECK_TEXT(count >= 15, feed.c_str());
}

TEST(SourceSelector, ASmallDataCentreAndTheLeaderAskTheStore)
{
    std::vector<MemberRecord> members;
    members.reserve(maximumProxiesWithoutFeeds);
    for (std::size_t i = 0; i < maximumProxiesWithoutFeeds; ++i)
        members.push_back(member("n-" + std::to_string(i), "dc-1", 250));
    auto small = selectorOf("n-0");
    small.setMembers(members, Leading::No);
    CHECK(small.current(now).isStore() && !small.isFeed());
    auto leader = selectorOf("weak-1");
    leader.setMembers(largeDataCentre(), Leading::Yes);
    CHECK(leader.current(now).isStore());
}

TEST(SourceSelector, AFailedFeedIsReplacedByTheOtherOneAndThenByTheStore)
{
    auto selector = selectorOf("weak-1");
    selector.setMembers(largeDataCentre(), Leading::No);
    const Source first = selector.current(now);
    CHECK(selector.failed(first, SourceFailure::Silent, now) == NextTry::Now);
    const Source second = selector.current(now);
    CHECK(!second.isStore() && second != first);
    CHECK(selector.failed(second, SourceFailure::Refused, now) == NextTry::Now);
    CHECK(selector.current(now).isStore());
    CHECK(selector.failed(storeSource(), SourceFailure::Silent, now) == NextTry::AfterPause);
    CHECK(selector.current(now + std::max(refusedFeedRetryInterval, silentFeedRetryInterval))
          == first);
}

/// Guards against asking feeds in turn that both lost the store: for 12 s the store was never
/// asked.
TEST(SourceSelector, TheStoreIsAskedWhileBothFeedsRefuse)
{
    auto selector = selectorOf("weak-1");
    selector.setMembers(largeDataCentre(), Leading::No);
    unsigned ofStore = 0;
    unsigned ofFeeds = 0;
    for (int i = 0; i < 24; ++i) {
        // A feed takes 500 ms to refuse.
        for (Source asked = selector.current(now); !asked.isStore();
             asked = selector.current(now)) {
            ++ofFeeds;
            now = now + 500_ms;
            selector.failed(asked, SourceFailure::Refused, now);
        }
        ++ofStore;
        now = now + 500_ms;
    }
    CHECK(ofStore >= 2 * ofFeeds);
}

/// A feed that is suspended for long is asked at growing intervals, since each request to it waits
/// for its timeout.
TEST(SourceSelector, ASilentFeedIsRetriedAtIncreasingIntervals)
{
    auto selector = selectorOf("weak-1");
    selector.setMembers(largeDataCentre(), Leading::No);
    const Source feed = selector.current(now);
    Core::Duration last;
    for (int i = 0; i < 3; ++i) {
        selector.failed(feed, SourceFailure::Silent, now);
        Core::Duration pause;
        while (selector.current(now + pause) != feed)
            pause = pause + 100_ms;
        CHECK(pause > last);
        last = pause;
        now = now + pause;
    }
    selector.answered(feed);
    selector.failed(feed, SourceFailure::Silent, now);
    CHECK(selector.current(now + silentFeedRetryInterval) == feed);
}

TEST(SourceSelector, RequestsThatFailTogetherCountOnce)
{
    auto selector = selectorOf("weak-1");
    selector.setMembers(largeDataCentre(), Leading::No);
    const Source feed = selector.current(now);
    for (int i = 0; i < 3; ++i)
        selector.failed(feed, SourceFailure::Silent, now);
    CHECK(selector.current(now + silentFeedRetryInterval) == feed);
}

TEST(SourceSelector, AFeedThatLeftIsReplacedByTheMemberWithTheNextHighestCapacity)
{
    auto members = largeDataCentre();
    auto selector = selectorOf("weak-1");
    selector.setMembers(members, Leading::No);
    const Source before = selector.current(now);
    std::erase_if(members, [&](const auto &each) { return each.node == before.feed; });
    selector.setMembers(members, Leading::No);
    CHECK(selector.current(now) != before);
    for (const auto &feed : selector.feeds())
        CHECK(feed.feed.value().starts_with("strong"));
}
