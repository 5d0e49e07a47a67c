#include <Failover/PeerConsent.h>
#include <Failover/SuspicionDetector.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Failover;
using namespace Chervilpin::Core::Literals;

namespace {

constexpr Core::Instant start(1000);

struct Case
{
    const char *name;
    void (*happens)(SuspicionDetector &);
    Health health; ///< A second after the start.
};

constexpr Core::Instant after(std::int64_t milliseconds)
{
    return start + Core::Duration(milliseconds);
}

const Case cases[] = {
    {"nothing yet", [](SuspicionDetector & /*detector*/) {}, Health::Unknown},
    {"answers in time",
     [](SuspicionDetector &detector) { detector.pingAnswered(2_ms, after(950)); }, Health::Healthy},
    {"answers late", [](SuspicionDetector &detector) { detector.pingAnswered(300_ms, after(950)); },
     Health::Slow},
    {"late answers have a longer silence",
     [](SuspicionDetector &detector) {
         detector.pingAnswered(300_ms, after(0));
         detector.pingedFresh(after(200));
     },
     Health::Slow},
    {"silent without a new connection tried",
     [](SuspicionDetector &detector) { detector.pingAnswered(2_ms, after(0)); }, Health::Healthy},
    {"silent on a new connection too",
     [](SuspicionDetector &detector) {
         detector.pingAnswered(2_ms, after(0));
         detector.pingedFresh(after(200));
     },
     Health::Unreachable},
    {"the new connection had no time yet",
     [](SuspicionDetector &detector) {
         detector.pingAnswered(2_ms, after(0));
         detector.pingedFresh(after(900));
     },
     Health::Healthy},
    {"one connection silent, another not",
     [](SuspicionDetector &detector) {
         detector.pinged(1, after(100));
         detector.pinged(2, after(900));
         detector.answered(2, after(950));
     },
     Health::SilentConnections},
    {"the silent connection was closed",
     [](SuspicionDetector &detector) {
         detector.pinged(1, after(100));
         detector.connectionEnded(1);
         detector.answered(2, after(950));
     },
     Health::Healthy},
    {"refused",
     [](SuspicionDetector &detector) {
         detector.pingAnswered(2_ms, after(800));
         detector.connectRefused(after(950));
     },
     Health::Unreachable},
    {"refused, but heard a moment ago",
     [](SuspicionDetector &detector) {
         detector.pingAnswered(2_ms, after(940));
         detector.connectRefused(after(950));
     },
     Health::Healthy},
    {"refused, then answered",
     [](SuspicionDetector &detector) {
         detector.connectRefused(after(900));
         detector.pingAnswered(2_ms, after(950));
     },
     Health::Healthy},
};

struct ConsentCase
{
    const char *name;
    bool isRefused;
    std::optional<Health> first;
    std::optional<Health> second;
    Core::Duration elapsed;
    PeerConsent::Decision decision;
};

constexpr auto agreed = PeerConsent::Decision::Agreed;
constexpr auto wait = PeerConsent::Decision::Wait;
constexpr auto unanswered = PeerConsent::Decision::Unanswered;

const ConsentCase consentCases[] = {
    {"both see it", false, Health::Unreachable, Health::Unreachable, 10_ms, agreed},
    {"one sees it, one is silent", false, Health::Unreachable, std::nullopt, 10_ms, agreed},
    {"one sees it, one does not", false, Health::Unreachable, Health::Healthy, 10_ms, agreed},
    {"one denies, one is silent", false, Health::Slow, std::nullopt, 10_s, wait},
    {"one denies though it refuses us", true, Health::Healthy, std::nullopt, 10_s, wait},
    {"none answers, silent primary", false, std::nullopt, std::nullopt, 1_s, wait},
    {"none answers, refusing primary", true, std::nullopt, std::nullopt, 1_s, unanswered},
    {"none answers for long", false, std::nullopt, std::nullopt, 2_s, unanswered},
    {"they suspect themselves", false, Health::Unknown, Health::Unknown, 1_s, wait},
};

} // namespace

TEST_GROUP(SuspicionDetector){};

TEST(SuspicionDetector, TellsDeadFromSlowAndSilent)
{
    for (const auto &row : cases) {
        SuspicionDetector detector({}, start);
        row.happens(detector);
        CHECK_TEXT(detector.health(start + 1_s) == row.health, row.name);
    }
}

TEST(SuspicionDetector, WithoutANewConnectionSilenceWouldBlameTheDatabase)
{
    DetectionPolicy unguarded;
    unguarded.freshConnectionFirst = Guard::Off;
    SuspicionDetector detector(unguarded, start);
    detector.pingAnswered(2_ms, start);
    CHECK(detector.health(start + 1_s) == Health::Unreachable);
}

TEST(SuspicionDetector, PeersAreAskedBeforeAPromotion)
{
    const ThisNode self{Core::NodeName("a"), Core::DataCentreName("dc-0"), 1, 1};
    const std::vector<PeerNode> watchers{{Core::NodeName("a"), Core::DataCentreName("dc-0")},
                                         {Core::NodeName("b"), Core::DataCentreName("dc-1")},
                                         {Core::NodeName("c"), Core::DataCentreName("dc-2")},
                                         {Core::NodeName("d"), Core::DataCentreName("dc-0")}};
    for (const auto &row : consentCases) {
        PeerConsent consent({}, self);
        consent.start(watchers, start);
        LONGS_EQUAL(2, consent.dueQuestions(start).size()); // Not the one in its own data centre.
        if (row.first)
            consent.answered(Core::NodeName("b"), consent.queryId(), *row.first);
        if (row.second)
            consent.answered(Core::NodeName("c"), consent.queryId(), *row.second);
        consent.answered(Core::NodeName("d"), consent.queryId(), Health::Unreachable);
        consent.answered(Core::NodeName("b"), consent.queryId() - 1, Health::Unreachable);
        CHECK_TEXT(consent.decide(row.isRefused, start + row.elapsed) == row.decision, row.name);
    }
}
