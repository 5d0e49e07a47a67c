#include <Tests/Allotment/FakeFleet.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Allotment;
using namespace Chervilpin::Core::Literals;

namespace {

constexpr std::uint64_t seed = 7;

struct Counts
{
    std::int64_t taken = 0;
    std::int64_t refused = 0;
};

} // namespace

TEST_GROUP(Manager){};

TEST(Manager, SkewedDemandBelowTheRateIsServedWhole)
{
    FakeFleet fleet(7, Options(), seed);
    const ResourceLimit limit =
        ResourceLimit::tokens(Core::TeamName("a"), 200 * microUnitsPerUnit, 100);
    fleet.setLimits({limit});
    fleet.run(3_s);
    WindowCheck check(limit.ratePerSecond, limit.capacity);
    Counts counts;
    fleet.decided = [&](std::size_t, std::size_t, bool isTaken) {
        ++(isTaken ? counts.taken : counts.refused);
        if (isTaken)
            check.admit(fleet.now());
    };
    for (int i = 0; i < 20'000; ++i) {
        fleet.step();
        if (i % 8 != 0)
            continue;
        switch (fleet.request(i < 10'000 ? 1 : 2, 0, limit.name)) {
        case FakeFleet::Attempt::Taken:
            ++counts.taken;
            check.admit(fleet.now());
            break;
        case FakeFleet::Attempt::Refused:
            ++counts.refused;
            break;
        case FakeFleet::Attempt::Pending:
            break;
        }
    }
    fleet.run(1_s);
    LONGS_EQUAL(0, counts.refused);
    LONGS_EQUAL(2500, counts.taken);
    LONGS_EQUAL(0, check.overshoots());
}
