#include "FleetFixture.h"

#include <FleetWire/PeerMessageCodec.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>

using namespace Chervilpin;
using namespace Chervilpin::Fleet;
using namespace Chervilpin::Core::Literals;
using Testing::FleetFixture;

namespace {

/// Bytes of headers of an IP datagram.
constexpr std::size_t headerBytes = 28;
/// What a node may spend on control, per second.
constexpr std::size_t targetBytesPerSecond = 2'000;

struct Traffic
{
    std::size_t mean = 0;
    std::size_t highest = 0; ///< Of the leader, which exchanges heartbeats with all members.
};

/// A fleet with one group of databases for each five proxies, whose heartbeats are counted.
class CountedFleet
{
public:
    explicit CountedFleet(unsigned proxies)
        : proxies_(proxies)
        , groups_(proxies / 5)
    {
        fleet_.directory.clear();
        for (unsigned group = 0; group < groups_; ++group) {
            for (const char *database : {"a", "b", "c"})
                fleet_.directory.push_back(entry(group, database));
        }
        fleet_.onHeartbeat = [this](const std::string &from, const SendHeartbeat &send) {
            sent_[from] += FleetWire::encode(send.message).size() + headerBytes;
        };
        constexpr unsigned strong = 6;
        for (unsigned i = 1; i <= proxies; ++i)
            fleet_.start("front-tt-north-a-" + std::to_string(i), i <= strong ? 500 : 120);
    }

    Traffic during(Core::Duration span)
    {
        sent_.clear();
        fleet_.advanceTime(span);
        std::size_t total = 0;
        std::size_t highest = 0;
        for (const auto &[name, bytes] : sent_) {
            total += bytes;
            highest = std::max(highest, bytes);
        }
        const auto seconds = static_cast<std::size_t>(span.milliseconds()) / 1'000;
        return {total / proxies_ / seconds, highest / seconds};
    }

    /// All proxies suspect the primaries of a third of the groups, as when a data centre is lost.
    void suspectThird()
    {
        for (auto &[name, proxy] : fleet_.proxies) {
            for (unsigned group = 0; group < groups_; group += 3)
                proxy.engine->primaryHealth(groupName(group), Health::Suspect, {1, 5}, fleet_.now);
        }
    }

private:
    static Core::GroupName groupName(unsigned group)
    {
        return Core::GroupName("huvo" + std::to_string(group) + "a");
    }

    static Sessions::DatabaseEntry entry(unsigned group, const std::string &database)
    {
        auto result = FleetFixture::entry(("i-7f3a" + std::to_string(group) + database).c_str(),
                                          database == "a" ? Sessions::DatabaseRole::Primary
                                                          : Sessions::DatabaseRole::Replica);
        result.group = groupName(group);
        return result;
    }

    unsigned proxies_;
    unsigned groups_;
    FleetFixture fleet_{0};
    std::map<std::string, std::size_t> sent_;
};

} // namespace

TEST_GROUP(ControlTraffic){};

/// At the start of a fleet the leader writes the first record of every group. Announcing each to
/// all members made its bytes grow with the members times the square of the groups.
TEST(ControlTraffic, TheBytesOfAMemberDoNotGrowWithTheFleet)
{
    for (const unsigned proxies : {30U, 100U, 300U}) {
        const std::string label = std::to_string(proxies);
        CountedFleet fleet(proxies);
        const Traffic start = fleet.during(2_s);
        const Traffic rest = fleet.during(5_s);
        CHECK_TEXT(start.mean <= targetBytesPerSecond, label.c_str());
        CHECK_TEXT(rest.mean <= targetBytesPerSecond, label.c_str());
        // The leader's heartbeats are as many as the members.
        constexpr std::size_t bytesPerMember = 150;
        CHECK_TEXT(start.highest <= bytesPerMember * proxies, label.c_str());
        CHECK_TEXT(rest.highest <= bytesPerMember * proxies, label.c_str());
    }
}

TEST(ControlTraffic, TheLossOfAThirdOfThePrimariesIsAnnouncedTogether)
{
    CountedFleet fleet(100);
    (void)fleet.during(5_s);
    fleet.suspectThird();
    const Traffic traffic = fleet.during(1_s);
    // Seven groups of about 80 bytes, ten times a second at most; a member to six others and half
    // of them, the leader to all, with 100 bytes of other fields.
    constexpr std::size_t bytesOfGroups = 560;
    constexpr std::size_t messagesOfMember = 30;
    constexpr std::size_t messagesOfLeader = 1'000;
    constexpr std::size_t otherBytes = 100;
    CHECK(traffic.mean <= messagesOfMember * bytesOfGroups);
    CHECK(traffic.highest <= messagesOfLeader * (bytesOfGroups + otherBytes));
}
