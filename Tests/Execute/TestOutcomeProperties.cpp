#include <Tests/Fakes/ScheduleProperty.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using Fakes::Promise;

namespace {
constexpr Fakes::PropertyOptions propertyOptions{.seed = 23, .cases = 2000};
}

TEST_GROUP(OutcomeProperties){};

TEST(OutcomeProperties, HoldWithTheGuard)
{
    Fakes::ScheduleCounts counts;
    CHECK(Fakes::keepsAll({}, propertyOptions, counts));
    CHECK(counts.notRun > 1000);
    CHECK(counts.unknown > 1000);
}

TEST(OutcomeProperties, BreakWithoutTheGuard)
{
    Fakes::ScheduleOptions options;
    options.proxy.repeat = Execute::RepeatGuard::Off;
    CHECK(Fakes::canBreak(Promise::RunOnce, options, propertyOptions));
    CHECK(Fakes::canBreak(Promise::NotRunTrue, options, propertyOptions));
}
