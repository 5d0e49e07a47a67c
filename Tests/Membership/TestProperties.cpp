#include <rapidcheck.h>

#include <Tests/Membership/MemberFleet.h>

#include <set>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Membership;
using namespace Chervilpin::Testing;

namespace {

constexpr int nodeCount = 6;
constexpr Core::Duration stepDuration(1'500);
constexpr Core::Duration recoveryDuration(60'000);

/// Returns a node's name; there are two nodes in each of three data centres.
std::string nodeName(int index)
{
    return std::string(1, static_cast<char>('a' + index / 2)) + std::to_string(index % 2);
}

/// A fleet under a generated schedule of failures, pauses, partitions and platform outages.
class Schedule
{
public:
    explicit Schedule(std::uint64_t seed)
        : fleet_(seed)
    {
        fleet_.lossPercent = 2;
        fleet_.isPartitioned = [this](const std::string &from, const std::string &to) {
            return (from[0] == partitionedDataCentre_) != (to[0] == partitionedDataCentre_);
        };
        for (int i = 0; i < nodeCount; ++i) {
            fleet_.listed.push_back(vm(nodeName(i)));
            start(i);
        }
        fleet_.run(Core::Duration(5'000));
    }

    void perform(int action, int node)
    {
        using Step = void (Schedule::*)(int);
        static constexpr Step steps[] = {
            &Schedule::kill,      &Schedule::start, &Schedule::pause,         &Schedule::resume,
            &Schedule::partition, &Schedule::leave, &Schedule::togglePlatform};
        const Step chosen = steps[static_cast<std::size_t>(action)];
        (this->*chosen)(node);
        fleet_.run(stepDuration);
    }
    static constexpr int actions = 7;

    void finish()
    {
        partitionedDataCentre_ = 'z';
        fleet_.isPlatformUnavailable = false;
        fleet_.lossPercent = 0;
        for (int i = 0; i < nodeCount; ++i)
            resume(i);
        fleet_.run(recoveryDuration);
    }

    /// Checks that all nodes believe exactly the running ones live, and know the leaving ones.
    void check()
    {
        for (int i = 0; i < nodeCount; ++i) {
            const std::string name = nodeName(i);
            if (running_.contains(name))
                RC_ASSERT(fleet_.allReportHealth(name, Health::Live));
            else
                RC_ASSERT(!fleet_.anyReportsHealth(name, Health::Live));
        }
        for (const std::string &name : leaving_) {
            for (const std::string &other : running_) {
                if (other == name)
                    continue;
                const Member *member = fleet_.node(other).find(Core::NodeName(name));
                RC_ASSERT(member != nullptr);
                RC_ASSERT(member->isLeaving);
            }
        }
    }

private:
    void kill(int index)
    {
        const std::string name = nodeName(index);
        const bool isLast = running_.size() == 1;
        if (isLast || !running_.contains(name))
            return;
        running_.erase(name);
        leaving_.erase(name);
        fleet_.kill(name);
    }
    void start(int index)
    {
        const std::string name = nodeName(index);
        if (running_.insert(name).second)
            fleet_.add(name);
    }
    void pause(int index)
    {
        if (running_.contains(nodeName(index)))
            fleet_.pause(nodeName(index));
    }
    void resume(int index)
    {
        if (running_.contains(nodeName(index)))
            fleet_.resume(nodeName(index));
    }
    void partition(int index) { partitionedDataCentre_ = nodeName(index)[0]; }
    void togglePlatform(int) { fleet_.isPlatformUnavailable = !fleet_.isPlatformUnavailable; }
    void leave(int index)
    {
        const std::string name = nodeName(index);
        if (!running_.contains(name))
            return;
        leaving_.insert(name);
        fleet_.perform(name, fleet_.node(name).leave(fleet_.now()));
    }

    MemberFleet fleet_;
    std::set<std::string> running_;
    std::set<std::string> leaving_;
    char partitionedDataCentre_ = 'z';
};

rc::detail::TestParams parametersFor(int cases)
{
    rc::detail::TestParams parameters;
    parameters.seed = 20'240'602;
    parameters.maxSuccess = cases;
    return parameters;
}

void checkPasses(const rc::detail::TestResult &result)
{
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    CHECK_TEXT(result.is<rc::detail::SuccessResult>(), text.str().c_str());
}

} // namespace

TEST_GROUP(MembershipProperties){};

TEST(MembershipProperties, AfterAnyScheduleExactlyTheRunningNodesAreLive)
{
    const auto property = [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1'000'000);
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, Schedule::actions), rc::gen::inRange(0, nodeCount)));
        Schedule schedule(seed);
        for (const auto &[action, node] : steps)
            schedule.perform(action, node);
        schedule.finish();
        schedule.check();
    };
    checkPasses(rc::detail::checkTestable(property, rc::detail::TestMetadata(), parametersFor(60)));
}

TEST(MembershipProperties, CorruptedHeartbeatsAreDecodedOrRefused)
{
    Heartbeat heartbeat;
    heartbeat.sender = {Core::NodeName("a1"),         {5, 1}, Health::Live, false,
                        Core::DataCentreName("dc-a"), "a1:1"};
    heartbeat.summaries.push_back({heartbeat.sender.dataCentre,
                                   heartbeat.sender.name,
                                   5,
                                   2,
                                   {{7, 3}},
                                   {{heartbeat.sender.name, 6}}});
    heartbeat.updates.push_back(heartbeat.sender);
    const std::string valid = encodeHeartbeat(heartbeat);
    CHECK(*decodeHeartbeat(valid) == heartbeat);
    const auto property = [&valid] {
        std::string corrupted = valid;
        const auto offsets =
            *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(rc::gen::pair(
                rc::gen::inRange<std::size_t>(0, valid.size()), rc::gen::arbitrary<char>()));
        for (const auto &[offset, value] : offsets)
            corrupted[offset] = value;
        const auto decoded = decodeHeartbeat(corrupted);
        RC_ASSERT(!decoded || !decoded->sender.name.isEmpty());
    };
    checkPasses(
        rc::detail::checkTestable(property, rc::detail::TestMetadata(), parametersFor(2'000)));
}
