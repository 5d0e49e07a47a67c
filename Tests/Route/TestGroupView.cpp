#include <Route/GroupView.h>
#include <Route/SampleHistory.h>
#include <Route/TermEvidence.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Route;
using Core::Duration;
using Core::Instant;
using Core::LogMark;
using Upstream::Role;

namespace {

const Core::DatabaseName primaryName("a");
const Core::DatabaseName replicaName("b");
const Core::DatabaseName otherName("c");

Upstream::Status statusOf(Core::Term known, LogMark held, Role role = Role::Replica)
{
    return {.knownTerm = known, .held = held, .role = role};
}

} // namespace

TEST_GROUP(GroupView)
{
    GroupView view{Core::GroupName("registry-1"), {primaryName, replicaName, otherName}};
    StampSource stamps;
};

TEST(GroupView, KeepsEvidenceOfEarlierTerms)
{
    TermEvidence evidence;
    evidence.add(statusOf(1, {1, 10}), stamps.next(Instant(1)));
    evidence.add(statusOf(2, {2, 9}), stamps.next(Instant(2)));
    CHECK(evidence.held({1, 10}));
    CHECK(!evidence.held({1, 11}));
    CHECK(!evidence.held({2, 10}));
    CHECK(evidence.canNeverHold({1, 11}));
    CHECK(!evidence.canNeverHold({2, 10}));
}

TEST(GroupView, ComparesEvidenceByRequestOrderWithinOneMillisecond)
{
    TermEvidence evidence;
    const Stamp before = stamps.next(Instant(5));
    const Stamp asked = stamps.next(Instant(5));
    const Stamp after = stamps.next(Instant(5));
    evidence.add(statusOf(1, {1, 0}), asked);
    CHECK(evidence.wasUnfencedAfter(1, before));
    CHECK(!evidence.wasUnfencedAfter(1, after));
    // A later fence does not invalidate evidence for an earlier time.
    evidence.add(statusOf(2, {1, 0}), stamps.next(Instant(9)));
    CHECK(evidence.wasUnfencedAfter(1, before));
    CHECK(evidence.wasUnfencedSince(1, Instant(5)));
    CHECK(!evidence.wasUnfencedSince(1, Instant(6)));
    CHECK(evidence.wasUnfencedSince(2, Instant(6)));
}

TEST(GroupView, DiscardsEvidenceOfLostEntries)
{
    view.observe(primaryName, statusOf(1, {1, 10}, Role::Primary), stamps.next(Instant(1)),
                 Instant(2));
    view.observe(replicaName, statusOf(1, {1, 10}), stamps.next(Instant(1)), Instant(2));
    CHECK(view.isHeldByMajority({1, 10}));
    view.observe(replicaName, statusOf(1, {1, 4}), stamps.next(Instant(5)), Instant(6));
    CHECK(!view.isHeldByMajority({1, 10}));
    CHECK(view.isHeldByMajority({1, 4}));
}

TEST(GroupView, IgnoresAnOutdatedStatus)
{
    const Stamp early = stamps.next(Instant(1));
    view.observe(replicaName, statusOf(1, {1, 10}), stamps.next(Instant(1)), Instant(3));
    view.observe(replicaName, statusOf(1, {1, 4}), early, Instant(4));
    CHECK(view.databases().at(replicaName).status()->held == (LogMark{1, 10}));
    CHECK(view.databases().at(replicaName).evidence().held({1, 10}));
}

TEST(GroupView, CountsThePrimaryForWhatItsReplicaHolds)
{
    view.observe(primaryName, statusOf(1, {1, 2}, Role::Primary), stamps.next(Instant(1)),
                 Instant(2));
    view.observe(replicaName, statusOf(1, {1, 7}), stamps.next(Instant(3)), Instant(4));
    CHECK(view.isHeldByMajority({1, 7}));
}

TEST(GroupView, DoesNotCountAnUnknownPrimary)
{
    view.observe(replicaName, statusOf(1, {1, 7}), stamps.next(Instant(3)), Instant(4));
    CHECK(!view.isHeldByMajority({1, 7}));
}

TEST(GroupView, ReportsThePrimaryOfTheHighestTerm)
{
    view.observe(primaryName, statusOf(1, {1, 2}, Role::Primary), stamps.next(Instant(1)),
                 Instant(2));
    CHECK(view.primary()->database == primaryName);
    view.observe(replicaName, statusOf(2, {2, 3}, Role::Primary), stamps.next(Instant(3)),
                 Instant(4));
    CHECK(view.primary()->database == replicaName);
    LONGS_EQUAL(2, view.primary()->term);
    view.observe(replicaName, statusOf(3, {2, 3}, Role::Primary), stamps.next(Instant(5)),
                 Instant(6));
    view.observe(otherName, statusOf(3, {2, 3}), stamps.next(Instant(5)), Instant(6));
    CHECK(!view.primary().has_value());
}

TEST(GroupView, KeepsReplicationDelayEstimateWhenStatusesAreFarApart)
{
    view.observe(replicaName, statusOf(1, {1, 0}), stamps.next(Instant(0)), Instant(1));
    view.observe(primaryName, statusOf(1, {1, 5}, Role::Primary), stamps.next(Instant(10)),
                 Instant(11));
    view.observe(replicaName, statusOf(1, {1, 5}), stamps.next(Instant(900)), Instant(901));
    CHECK(view.databases().at(replicaName).catchUpDelay() < Duration(20));
}

TEST(GroupView, EstimatesReplicationDelayFromCloselySpacedStatuses)
{
    for (std::int64_t round = 0; round < 40; ++round) {
        const Instant written(round * 1000);
        const auto position = static_cast<Core::LogPosition>(round + 1);
        view.observe(primaryName, statusOf(1, {1, position}, Role::Primary), stamps.next(written),
                     written + Duration(1));
        view.observe(replicaName, statusOf(1, {1, position - 1}),
                     stamps.next(written + Duration(198)), written + Duration(199));
        view.observe(replicaName, statusOf(1, {1, position}), stamps.next(written + Duration(199)),
                     written + Duration(200));
    }
    const Duration delay = view.databases().at(replicaName).catchUpDelay();
    CHECK(delay >= Duration(180) && delay <= Duration(200));
}

TEST(GroupView, KeepsABoundedNumberOfSamplesOverALongTime)
{
    SampleHistory history;
    for (std::int64_t millisecond = 0; millisecond < 100'000; ++millisecond) {
        const auto position = static_cast<Core::LogPosition>(millisecond);
        history.add({stamps.next(Instant(millisecond)), {1, position}});
    }
    const auto recent = history.oldestSince(Instant(99'900));
    CHECK(recent->asked.at == Instant(99'900));
    const auto old = history.oldestSince(Instant(90'000));
    CHECK(old.has_value() && old->asked.at >= Instant(90'000));
    CHECK(history.latest()->mark == (LogMark{1, 99'999}));
}

TEST(GroupView, RejectsASampleOfASupersededPrimary)
{
    SampleHistory history;
    history.add({stamps.next(Instant(1)), {2, 5}});
    history.add({stamps.next(Instant(2)), {1, 90}});
    CHECK(history.latest()->mark == (LogMark{2, 5}));
}
