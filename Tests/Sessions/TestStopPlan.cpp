#include <Sessions/StopPlan.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Sessions;
using namespace Chervilpin::Core::Literals;

namespace {

const Core::Instant told(100'000);

} // namespace

TEST_GROUP(StopPlan)
{
    StopPlan plan{told, 6_s};

    void expect(StopPlan::Step step, std::size_t sessions, Core::Duration after)
    {
        CHECK(plan.advance(sessions, told + after) == step);
    }
};

TEST(StopPlan, StaysWhileTheBalancerMaySendCallers)
{
    expect(StopPlan::Step::Serve, 0, 0_s);
    expect(StopPlan::Step::Serve, 0, 2'299_ms);
    expect(StopPlan::Step::Leave, 0, 2'300_ms);
}

TEST(StopPlan, EndsOnceTheFleetWasTold)
{
    expect(StopPlan::Step::Leave, 0, 2'300_ms);
    expect(StopPlan::Step::Serve, 0, 2'399_ms);
    expect(StopPlan::Step::End, 0, 2'400_ms);
}

/// The day hunt-6a42-3 of kcn-jakarta: a caller that came in the last 100 ms was dropped.
TEST(StopPlan, ACallerThatComesAfterTheGoodbyeIsServedFirst)
{
    expect(StopPlan::Step::Leave, 0, 2'300_ms);
    expect(StopPlan::Step::Serve, 1, 2'400_ms);
    expect(StopPlan::Step::Serve, 1, 3'000_ms);
    expect(StopPlan::Step::End, 0, 3'050_ms);
}

TEST(StopPlan, SessionsThatDoNotEndAreGivenUpBeforeTheProcessIsKilled)
{
    expect(StopPlan::Step::Serve, 3, 5'299_ms);
    expect(StopPlan::Step::Leave, 3, 5'300_ms);
    expect(StopPlan::Step::End, 3, 5'400_ms);
}
