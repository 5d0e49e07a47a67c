#include <Failover/FailureDetector.h>
#include <Failover/SuspicionPoll.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Failover;
using namespace Chervilpin::Core::Literals;

namespace {

constexpr Core::Instant start(1000);

struct Case
{
    const char *name;
    void (*happens)(FailureDetector &);
    Health health; ///< Expected one second after the start.
};

constexpr Core::Instant after(std::int64_t milliseconds)
{
    return start + Core::Duration(milliseconds);
}

const Case cases[] = {
    {"no events", [](FailureDetector & /*detector*/) {}, Health::Unknown},
    {"answers in time", [](FailureDetector &detector) { detector.pingAnswered(2_ms, after(950)); },
     Health::Healthy},
    {"answers late", [](FailureDetector &detector) { detector.pingAnswered(300_ms, after(950)); },
     Health::Slow},
    {"late answers raise the silence threshold",
     [](FailureDetector &detector) {
         detector.pingAnswered(300_ms, after(0));
         detector.pingedOnNewConnection(after(200));
     },
     Health::Slow},
    {"silent, no new connection pinged",
     [](FailureDetector &detector) { detector.pingAnswered(2_ms, after(0)); }, Health::Healthy},
    {"silent on the new connection too",
     [](FailureDetector &detector) {
         detector.pingAnswered(2_ms, after(0));
         detector.pingedOnNewConnection(after(200));
     },
     Health::Unreachable},
    {"new connection within its timeout",
     [](FailureDetector &detector) {
         detector.pingAnswered(2_ms, after(0));
         detector.pingedOnNewConnection(after(900));
     },
     Health::Healthy},
    {"one connection silent, another not",
     [](FailureDetector &detector) {
         detector.pinged(1, after(100));
         detector.pinged(2, after(900));
         detector.answered(2, after(950));
     },
     Health::SilentConnections},
    {"the silent connection was closed",
     [](FailureDetector &detector) {
         detector.pinged(1, after(100));
         detector.connectionEnded(1);
         detector.answered(2, after(950));
     },
     Health::Healthy},
    {"refused",
     [](FailureDetector &detector) {
         detector.pingAnswered(2_ms, after(800));
         detector.connectRefused(after(950));
     },
     Health::Unreachable},
    {"refused, but answered recently",
     [](FailureDetector &detector) {
         detector.pingAnswered(2_ms, after(940));
         detector.connectRefused(after(950));
     },
     Health::Healthy},
    {"refused, then answered",
     [](FailureDetector &detector) {
         detector.connectRefused(after(900));
         detector.pingAnswered(2_ms, after(950));
     },
     Health::Healthy},
};

struct PollCase
{
    const char *name;
    bool isRefused;
    std::optional<Health> first;
    std::optional<Health> second;
    Core::Duration elapsed;
    SuspicionPoll::Decision decision;
};

constexpr auto agreed = SuspicionPoll::Decision::Confirmed;
constexpr auto wait = SuspicionPoll::Decision::Pending;
constexpr auto unanswered = SuspicionPoll::Decision::Unanswered;

const PollCase pollCases[] = {
    {"both confirm", false, Health::Unreachable, Health::Unreachable, 10_ms, agreed},
    {"one confirms, one does not answer", false, Health::Unreachable, std::nullopt, 10_ms, agreed},
    {"one confirms, one denies", false, Health::Unreachable, Health::Healthy, 10_ms, agreed},
    {"one denies, one does not answer", false, Health::Slow, std::nullopt, 10_s, wait},
    {"one denies, primary refuses this node", true, Health::Healthy, std::nullopt, 10_s, wait},
    {"none answers, silent primary", false, std::nullopt, std::nullopt, 1_s, wait},
    {"none answers, refusing primary", true, std::nullopt, std::nullopt, 1_s, unanswered},
    {"none answers within the timeout", false, std::nullopt, std::nullopt, 2_s, unanswered},
    {"both are possibly isolated", false, Health::Unknown, Health::Unknown, 1_s, wait},
};

} // namespace

TEST_GROUP(FailureDetector){};

TEST(FailureDetector, DistinguishesUnreachableSlowAndSilent)
{
    for (const auto &row : cases) {
        FailureDetector detector({}, start);
        row.happens(detector);
        CHECK_TEXT(detector.health(start + 1_s) == row.health, row.name);
    }
}

TEST(FailureDetector, WithoutNewConnectionPingSilenceMeansUnreachable)
{
    DetectionPolicy unguarded;
    unguarded.requireNewConnectionPing = Guard::Off;
    FailureDetector detector(unguarded, start);
    detector.pingAnswered(2_ms, start);
    CHECK(detector.health(start + 1_s) == Health::Unreachable);
}

TEST(FailureDetector, PeersArePolledBeforeAPromotion)
{
    const ThisNode self{Core::NodeName("a"), Core::DataCentreName("dc-0"), 1, 1};
    const std::vector<PeerNode> watchers{{Core::NodeName("a"), Core::DataCentreName("dc-0")},
                                         {Core::NodeName("b"), Core::DataCentreName("dc-1")},
                                         {Core::NodeName("c"), Core::DataCentreName("dc-2")},
                                         {Core::NodeName("d"), Core::DataCentreName("dc-0")}};
    for (const auto &row : pollCases) {
        SuspicionPoll poll({}, self);
        poll.start(watchers, start);
        LONGS_EQUAL(
            2, poll.peersToQuery(start).size()); // Peers in its own data centre are not polled.
        if (row.first)
            poll.answered(Core::NodeName("b"), poll.queryId(), *row.first);
        if (row.second)
            poll.answered(Core::NodeName("c"), poll.queryId(), *row.second);
        poll.answered(Core::NodeName("d"), poll.queryId(), Health::Unreachable);
        poll.answered(Core::NodeName("b"), poll.queryId() - 1, Health::Unreachable);
        CHECK_TEXT(poll.decide(row.isRefused, start + row.elapsed) == row.decision, row.name);
    }
}
