#include <Execute/HedgePolicy.h>
#include <Execute/RetryBudget.h>
#include <Execute/RetryPolicy.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Execute;
using Core::Duration;
using Core::Instant;

TEST_GROUP(RetryPolicy){};

TEST(RetryPolicy, KeepsDelaysWithinItsBounds)
{
    const RetryPolicy policy({Duration(5), Duration(100), 50});
    Core::Random random(7);
    Duration previous;
    for (std::uint32_t attempt = 1; attempt < 50; ++attempt) {
        const auto delay =
            policy.nextDelay(attempt, previous, Instant(100'000), Instant(0), random);
        CHECK(delay.has_value());
        CHECK(*delay >= Duration(5) && *delay <= Duration(100));
        previous = *delay;
    }
}

TEST(RetryPolicy, StopsAtTheDeadlineAndTheMaximumAttempts)
{
    const RetryPolicy policy({Duration(5), Duration(100), 3});
    Core::Random random(7);
    CHECK(!policy.nextDelay(1, Duration(0), Instant(1005), Instant(1000), random));
    CHECK(!policy.nextDelay(3, Duration(0), Instant(9000), Instant(1000), random));
    CHECK(policy.nextDelay(2, Duration(0), Instant(9000), Instant(1000), random).has_value());
}

TEST(RetryPolicy, HedgeDelayApproachesTheLatencyQuantile)
{
    HedgePolicy policy({});
    Core::Random random(7);
    for (int read = 0; read < 20'000; ++read)
        policy.noteLatency(Duration(static_cast<std::int64_t>(random.below(100))), Instant(read));
    CHECK(policy.delay() >= Duration(85) && policy.delay() <= Duration(100));
}

TEST(RetryPolicy, LimitsHedgesToTheirBudget)
{
    HedgePolicy policy({.budget = {.retriesPerRequest = 0.05, .maximumSaved = 1}});
    int hedges = 0;
    for (int read = 0; read < 1000; ++read) {
        policy.noteLatency(Duration(10), Instant(read));
        hedges += policy.tryHedge(Instant(read)) ? 1 : 0;
    }
    CHECK(hedges >= 45 && hedges <= 52);
}

TEST(RetryPolicy, SeparatesBudgetsByTeamAndGroup)
{
    RetryBudgets budgets({.retriesPerRequest = 0.1, .maximumSaved = 1});
    const Core::TeamName team("clerks");
    const Core::GroupName group("registry-1");
    CHECK(budgets.budget(team, group, Instant(0)).tryTake(Instant(0)));
    CHECK(!budgets.budget(team, group, Instant(0)).tryTake(Instant(0)));
    CHECK(budgets.budget(team, Core::GroupName("registry-2"), Instant(0)).tryTake(Instant(0)));
    CHECK(budgets.budget(Core::TeamName("brokers"), group, Instant(0)).tryTake(Instant(0)));
}
