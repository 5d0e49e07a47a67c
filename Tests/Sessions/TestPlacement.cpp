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

/// The best near candidate.
std::optional<std::size_t> chooseNear(const Requirement &requirement,
                                      std::span<const Candidate> candidates)
{
    const auto near = findOptions(requirement, candidates).near;
    return near ? std::optional(near->index) : std::nullopt;
}

} // namespace

TEST_GROUP(Placement){};

TEST(Placement, ReadsPreferReplicas)
{
    const std::array options{candidate(0, true, 0), candidate(1, false, 0)};
    CHECK(chooseNear({false, Core::LogMark{1, 1}, 0_ms}, options) == 1);
}

TEST(Placement, ReadsUseThePrimaryWhenReplicasAreLoaded)
{
    const std::array options{candidate(0, true, 0), candidate(1, false, 3)};
    CHECK(chooseNear({false, Core::LogMark{1, 1}, 0_ms}, options) == 0);
}

TEST(Placement, NothingIsChosenWithoutFreeCapacity)
{
    const std::array options{candidate(0, true, 4), candidate(1, false, 4)};
    CHECK(!chooseNear({false, Core::LogMark{1, 1}, 0_ms}, options));
}

TEST(Placement, OpenConnectionIsPreferredToIdleDatabase)
{
    std::array options{candidate(0, false, 0), candidate(1, false, 1)};
    options[0].hasConnection = false;
    options[0].canOpen = true;
    CHECK(chooseNear({false, Core::LogMark{1, 1}, 0_ms}, options) == 1);
}

TEST(Placement, FreshnessIsExpectedByMarkOrLag)
{
    const Requirement need{false, Core::LogMark{1, 10}, 100_ms};
    CHECK(isExpectedFresh(need, {1, 10}, 500_ms));
    CHECK(isExpectedFresh(need, {1, 5}, 50_ms));
    CHECK(!isExpectedFresh(need, {1, 5}, 95_ms));
    CHECK(!isExpectedFresh({false, {}, 0_ms}, {1, 5}, 0_ms));
}

TEST(Placement, FarDatabaseIsFasterIfItsLeadExceedsTheRoundTrip)
{
    std::array options{candidate(0, false, 0), candidate(1, false, 0)};
    options[0].waitMilliseconds = 30;
    options[1].waitMilliseconds = 0;
    options[1].isNear = false;
    options[1].roundTripMilliseconds = 8;
    const auto found = findOptions({false, Core::LogMark{1, 1}, 0_ms}, options);
    DOUBLES_EQUAL(40, found.near->milliseconds, 0.001);
    DOUBLES_EQUAL(18, found.far->milliseconds, 0.001);
}

/// A pooler's report replaces the average of this proxy's own statements, which holds the distance.
TEST(Placement, WithoutAReportOwnStatementsTellTheLoad)
{
    std::array options{candidate(0, false, 2)};
    const Requirement need{false, Core::LogMark{1, 1}, 0_ms};
    DOUBLES_EQUAL(30, findOptions(need, options).near->milliseconds, 0.001);
    options[0].waitMilliseconds = 5;
    DOUBLES_EQUAL(15, findOptions(need, options).near->milliseconds, 0.001);
}
