#include <Failover/PromotionCoordinator.h>
#include <Tests/Failover/FakeFleet.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Failover;
using namespace Chervilpin::Failover::Fakes;
using namespace Chervilpin::Core::Literals;

namespace {

Upstream::Answer fencedAt(Core::Term term, Core::LogMark held)
{
    return {.status = {.knownTerm = term, .held = held}};
}

PromotionCoordinator coordinatorOf(Core::Term term, const Core::DatabaseName &preferred = {})
{
    auto created = PromotionCoordinator::create({FakeFleet::group(), term, preferred}, {}, {});
    static_cast<void>(created->tick({}));
    return std::move(*created);
}

struct Choice
{
    const char *name;
    Core::LogMark second;
    Core::LogMark third;
    const char *preferred;
    const char *chosen;
};

const Choice choices[] = {
    {"longer log", {1, 5}, {1, 6}, "", "db-2"},
    {"higher term beats a longer log", {2, 3}, {1, 9}, "", "db-1"},
    {"tie goes to the first configured database", {1, 5}, {1, 5}, "", "db-1"},
    {"tie goes to the preferred database", {1, 5}, {1, 5}, "db-2", "db-2"},
    {"longer log beats the preferred database", {1, 6}, {1, 5}, "db-2", "db-1"},
};

} // namespace

TEST_GROUP(PromotionCoordinator){};

TEST(PromotionCoordinator, ChoosesTheMostCompleteLogOfAMajority)
{
    for (const auto &row : choices) {
        auto coordinator = coordinatorOf(3, Core::DatabaseName(row.preferred));
        const Upstream::RequestBody fence = Upstream::Fence{3};
        static_cast<void>(
            coordinator.answered(FakeFleet::database(1), fence, fencedAt(3, row.second), {}));
        CHECK_TEXT(coordinator.chosen().isEmpty(), row.name);
        static_cast<void>(
            coordinator.answered(FakeFleet::database(2), fence, fencedAt(3, row.third), {}));
        CHECK_TEXT(coordinator.chosen() == Core::DatabaseName(row.chosen), row.name);
    }
}

TEST(PromotionCoordinator, AnswersToAnotherTermsRequestsDoNotCount)
{
    auto coordinator = coordinatorOf(3);
    for (std::size_t index = 0; index < 3; ++index)
        static_cast<void>(coordinator.answered(FakeFleet::database(index), Upstream::Fence{2},
                                               fencedAt(2, {1, 5}), {}));
    CHECK(coordinator.state() == PromotionCoordinator::State::Fencing);
}

TEST(PromotionCoordinator, HigherTermSupersedesThePromotion)
{
    auto coordinator = coordinatorOf(3);
    const auto requests =
        coordinator.answered(FakeFleet::database(0), Upstream::Fence{3}, fencedAt(4, {1, 5}), {});
    CHECK(requests.empty());
    CHECK(coordinator.state() == PromotionCoordinator::State::Superseded);
    CHECK(coordinator.tick(Core::Instant(10'000)).empty());
}

TEST(PromotionCoordinator, CreateFailsWithoutTermOrDatabases)
{
    CHECK(!PromotionCoordinator::create({FakeFleet::group(), 0, {}}, {}, {}).has_value());
    CHECK(!PromotionCoordinator::create({Group{}, 1, {}}, {}, {}).has_value());
}
