#include <Tests/Fakes/ScheduleProperty.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using Fakes::Promise;
using Fakes::ScheduleOptions;
using Route::ReadGuard;
using Route::ReadStrategy;

namespace {

constexpr Fakes::PropertyOptions propertyOptions{.seed = 11, .cases = 2000};

struct ExpectedViolation
{
    ReadGuard guard;
    ReadStrategy strategy;
    Promise promise;
};

ScheduleOptions optionsOf(const ExpectedViolation &expected)
{
    ScheduleOptions options;
    options.proxy.router.guard = expected.guard;
    options.proxy.router.strategy = expected.strategy;
    return options;
}

const ExpectedViolation expectedViolations[] = {
    {ReadGuard::Off, ReadStrategy::Full, Promise::OwnWritesSeen},
    {ReadGuard::Off, ReadStrategy::Full, Promise::StrongReadsCurrent},
    {ReadGuard::Off, ReadStrategy::Full, Promise::AgeBoundKept},
};

} // namespace

TEST_GROUP(ReadProperties){};

TEST(ReadProperties, HoldWithTheGuard)
{
    Fakes::ScheduleCounts counts;
    CHECK(Fakes::keepsAll({}, propertyOptions, counts));
    CHECK(counts.readsReleased > 5000);
    CHECK(counts.replicaReads > counts.readsReleased / 2);
}

TEST(ReadProperties, HoldWithEachStrategy)
{
    for (const ReadStrategy strategy : {ReadStrategy::PrimaryOnly, ReadStrategy::TokenOnly}) {
        Fakes::ScheduleCounts counts;
        ScheduleOptions options;
        options.proxy.router.strategy = strategy;
        CHECK(Fakes::keepsAll(options, propertyOptions, counts));
        CHECK(counts.readsReleased > 5000);
    }
}

TEST(ReadProperties, BreakWithoutTheGuard)
{
    for (const ExpectedViolation &expected : expectedViolations)
        CHECK_TEXT(Fakes::canBreak(expected.promise, optionsOf(expected), propertyOptions),
                   Fakes::toString(expected.promise));
}
