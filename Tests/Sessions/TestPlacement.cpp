#include <Sessions/Placement.h>

#include <CppUTest/TestHarness.h>

#include <array>

using namespace Chervilpin;
using namespace Chervilpin::Sessions::Placement;
using namespace Chervilpin::Core::Literals;

namespace {

Candidate candidate(std::size_t index, bool isPrimary, unsigned outstanding)
{
    Candidate result;
    result.index = index;
    result.isPrimary = isPrimary;
    result.hasConnection = true;
    result.isNear = true;
    result.outstanding = outstanding;
    result.limit = 4;
    result.serviceMilliseconds = 10;
    return result;
}

} // namespace

TEST_GROUP(Placement){};

TEST(Placement, ReadsPreferReplicas)
{
    const std::array options{candidate(0, true, 0), candidate(1, false, 0)};
    CHECK(choose({false, Core::LogMark{1, 1}, 0_ms}, options) == 1);
}

TEST(Placement, ReadsUseThePrimaryWhenReplicasAreLoaded)
{
    const std::array options{candidate(0, true, 0), candidate(1, false, 3)};
    CHECK(choose({false, Core::LogMark{1, 1}, 0_ms}, options) == 0);
}

TEST(Placement, NothingIsChosenWithoutFreeCapacity)
{
    const std::array options{candidate(0, true, 4), candidate(1, false, 4)};
    CHECK(!choose({false, Core::LogMark{1, 1}, 0_ms}, options));
}

TEST(Placement, OpenConnectionIsPreferredToIdleDatabase)
{
    std::array options{candidate(0, false, 0), candidate(1, false, 1)};
    options[0].hasConnection = false;
    options[0].canOpen = true;
    CHECK(choose({false, Core::LogMark{1, 1}, 0_ms}, options) == 1);
}

TEST(Placement, FreshnessIsExpectedByMarkOrLag)
{
    const Requirement need{false, Core::LogMark{1, 10}, 100_ms};
    CHECK(isExpectedFresh(need, {1, 10}, 500_ms));
    CHECK(isExpectedFresh(need, {1, 5}, 50_ms));
    CHECK(!isExpectedFresh(need, {1, 5}, 95_ms));
    CHECK(!isExpectedFresh({false, {}, 0_ms}, {1, 5}, 0_ms));
}
