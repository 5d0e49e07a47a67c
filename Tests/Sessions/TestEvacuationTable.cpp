#include <Sessions/EvacuationTable.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Sessions;
using namespace Chervilpin::Core::Literals;

TEST_GROUP(EvacuationTable)
{
    const Core::DataCentreName north{"north"};
    const Core::DataCentreName south{"south"};
    Core::Instant start{1'000};
    EvacuationTable table;

    void setup() override
    {
        table.setGracePeriod(1'200_ms);
    }

    void replace(const std::vector<Core::DataCentreName> &dataCentres, Core::Instant now)
    {
        table.replace(dataCentres, now);
    }
};

TEST(EvacuationTable, OnlyThePrimaryIsUsedInTheGracePeriodAndNothingAfterIt)
{
    CHECK(table.useOf(north, start) == EvacuationTable::Use::All);
    replace({north}, start);
    CHECK(table.useOf(north, start) == EvacuationTable::Use::PrimaryOnly);
    CHECK(table.useOf(north, start + 1'199_ms) == EvacuationTable::Use::PrimaryOnly);
    CHECK(table.useOf(north, start + 1'200_ms) == EvacuationTable::Use::None);
    CHECK(table.useOf(south, start + 1'200_ms) == EvacuationTable::Use::All);
}

TEST(EvacuationTable, AnotherEvacuationDoesNotExtendTheGracePeriod)
{
    replace({north}, start);
    replace({north, south}, start + 1'000_ms);
    CHECK(table.useOf(north, start + 1'200_ms) == EvacuationTable::Use::None);
    CHECK(table.useOf(south, start + 1'200_ms) == EvacuationTable::Use::PrimaryOnly);
}

TEST(EvacuationTable, AWithdrawnEvacuationHasNoEffect)
{
    replace({north}, start);
    replace({}, start + 2'000_ms);
    CHECK(table.useOf(north, start + 2'000_ms) == EvacuationTable::Use::All);
    CHECK(!table.contains(north));
    CHECK(table.nextStop() == Core::Instant::never());
}

TEST(EvacuationTable, EachEndOfAGracePeriodIsReportedOnce)
{
    replace({north}, start);
    CHECK(table.nextStop() == start + 1'200_ms);
    LONGS_EQUAL(0, table.takeStopped(start + 1'199_ms).size());
    LONGS_EQUAL(1, table.takeStopped(start + 1'200_ms).size());
    LONGS_EQUAL(0, table.takeStopped(start + 1'300_ms).size());
    CHECK(table.nextStop() == Core::Instant::never());
}
