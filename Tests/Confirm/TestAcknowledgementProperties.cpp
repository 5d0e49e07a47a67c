#include <Tests/Fakes/ScheduleProperty.h>

#include <CppUTest/TestHarness.h>
#include <memory>

using namespace Chervilpin;
using Fakes::Promise;
using Fakes::ScheduleOptions;
using Fakes::TermAdoption;

namespace {

constexpr Fakes::PropertyOptions propertyOptions{.seed = 4, .cases = 2000};

template<typename Policy>
ScheduleOptions withPolicy()
{
    ScheduleOptions options;
    options.policy = [] {
        return std::make_unique<Policy>();
    };
    return options;
}

} // namespace

TEST_GROUP(AcknowledgementProperties){};

TEST(AcknowledgementProperties, HoldWithMajorityAcknowledgement)
{
    Fakes::ScheduleCounts counts;
    CHECK(Fakes::keepsAll({}, propertyOptions, counts));
    // The properties mean little if the schedules rarely promote, acknowledge or leave an outcome
    // unknown.
    CHECK(counts.acknowledged > 2000);
    CHECK(counts.promotions > 1000);
    CHECK(counts.unknown > 1000);
}

TEST(AcknowledgementProperties, HoldInAGroupOfFive)
{
    ScheduleOptions options;
    options.groupSize = 5;
    Fakes::ScheduleCounts counts;
    CHECK(Fakes::keepsAll(options, propertyOptions, counts));
    CHECK(counts.acknowledged > 2000);
    CHECK(counts.readsReleased > 4000);
}

TEST(AcknowledgementProperties, FailIfWritesAreAcknowledgedAtCommit)
{
    const auto options = withPolicy<Confirm::AcknowledgeAtCommit>();
    CHECK(Fakes::canBreak(Promise::NothingLost, options, propertyOptions));
}

TEST(AcknowledgementProperties, FailIfWritesAreAcknowledgedAfterATermCheck)
{
    const auto options = withPolicy<Confirm::AcknowledgeAfterTermCheck>();
    CHECK(Fakes::canBreak(Promise::NothingLost, options, propertyOptions));
}

TEST(AcknowledgementProperties, FailIfReplicasAdoptATermBeforeItsLog)
{
    ScheduleOptions options;
    options.adoption = TermAdoption::TermFirst;
    CHECK(Fakes::canBreak(Promise::NothingLost, options, propertyOptions));
}
