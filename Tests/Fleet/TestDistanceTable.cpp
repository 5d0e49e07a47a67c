#include <Fleet/DistanceTable.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Fleet;
using namespace Chervilpin::Core::Literals;

TEST_GROUP(DistanceTable)
{
    const Core::DataCentreName near{"dc-1"};
    const Core::DataCentreName far{"dc-2"};
    DistanceTable table;
};

TEST(DistanceTable, LoadedProxiesDoNotLengthenTheDistance)
{
    for (const auto roundTrip : {9_ms, 40_ms, 8_ms, 120_ms})
        table.add(far, roundTrip);
    table.add(near, 1_ms);
    CHECK(table.roundTrips().at(far) == 8_ms);
    CHECK(table.roundTrips().at(near) == 1_ms);
}

TEST(DistanceTable, LongerWayIsLearnedOnceTheOldSamplesAreGone)
{
    table.add(far, 2_ms);
    for (int i = 0; i < 12; ++i)
        table.add(far, 8_ms);
    CHECK(table.roundTrips().at(far) == 8_ms);
}

/// The echo of an earlier run of the process would give a negative time.
TEST(DistanceTable, ImpossibleTimesAreIgnored)
{
    table.add(far, Core::Duration(-5));
    CHECK(table.roundTrips().empty());
}
