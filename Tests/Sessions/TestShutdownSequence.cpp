#include <Sessions/ShutdownSequence.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Sessions;
using namespace Chervilpin::Core::Literals;

namespace {

const Core::Instant requestedAt(100'000);

} // namespace

TEST_GROUP(ShutdownSequence)
{
    ShutdownSequence sequence{requestedAt, 6_s};

    void expect(ShutdownSequence::Step step, std::size_t sessions, Core::Duration after)
    {
        CHECK(sequence.advance(sessions, requestedAt + after) == step);
    }
};

TEST(ShutdownSequence, WaitsWhileTheBalancerMaySendCallers)
{
    expect(ShutdownSequence::Step::Wait, 0, 0_s);
    expect(ShutdownSequence::Step::Wait, 0, 2'299_ms);
    expect(ShutdownSequence::Step::Leave, 0, 2'300_ms);
}

TEST(ShutdownSequence, ExitsAfterLeavingTheFleet)
{
    expect(ShutdownSequence::Step::Leave, 0, 2'300_ms);
    expect(ShutdownSequence::Step::Wait, 0, 2'399_ms);
    expect(ShutdownSequence::Step::Exit, 0, 2'400_ms);
}

/// Guards against dropping a caller that connects in the 100 ms between leaving the fleet and the
/// exit.
TEST(ShutdownSequence, CallerThatConnectsAfterLeavingIsServed)
{
    expect(ShutdownSequence::Step::Leave, 0, 2'300_ms);
    expect(ShutdownSequence::Step::Wait, 1, 2'400_ms);
    expect(ShutdownSequence::Step::Wait, 1, 3'000_ms);
    expect(ShutdownSequence::Step::Exit, 0, 3'050_ms);
}

TEST(ShutdownSequence, RemainingSessionsAreAbandonedBeforeTheProcessIsKilled)
{
    expect(ShutdownSequence::Step::Wait, 3, 5'299_ms);
    expect(ShutdownSequence::Step::Leave, 3, 5'300_ms);
    expect(ShutdownSequence::Step::Exit, 3, 5'400_ms);
}
