#include <Sessions/ShutdownSequence.h>

#include <Sessions/Timing.h>

namespace Chervilpin::Sessions {

ShutdownSequence::ShutdownSequence(Core::Instant requestedAt, Core::Duration grace)
    : balancerDrainedAt_(requestedAt + loadBalancerDelay)
    , deadline_(requestedAt + grace - stopMargin)
{ }

ShutdownSequence::Step ShutdownSequence::advance(std::size_t sessions, Core::Instant now)
{
    const bool isLate = now >= deadline_;
    const bool isIdle = sessions == 0;
    if (!hasLeft_) {
        const bool mayLeave = isLate || (isIdle && now >= balancerDrainedAt_);
        if (!mayLeave)
            return Step::Wait;
        hasLeft_ = true;
        leftAt_ = now;
        return Step::Leave;
    }
    if (now < leftAt_ + leaveTimeout)
        return Step::Wait;
    // A caller may still have connected after this proxy left the fleet.
    return isIdle || isLate ? Step::Exit : Step::Wait;
}

} // namespace Chervilpin::Sessions
