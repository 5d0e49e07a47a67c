#include <Sessions/StopPlan.h>

#include <Sessions/Timing.h>

namespace Chervilpin::Sessions {

StopPlan::StopPlan(Core::Instant toldAt, Core::Duration grace)
    : balancerDoneAt_(toldAt + loadBalancerDelay)
    , latestAt_(toldAt + grace - stopMargin)
{ }

StopPlan::Step StopPlan::advance(std::size_t sessions, Core::Instant now)
{
    const bool isLate = now >= latestAt_;
    const bool isIdle = sessions == 0;
    if (!hasLeft_) {
        const bool mayLeave = isLate || (isIdle && now >= balancerDoneAt_);
        if (!mayLeave)
            return Step::Serve;
        hasLeft_ = true;
        leftAt_ = now;
        return Step::Leave;
    }
    if (now < leftAt_ + leaveTimeout)
        return Step::Serve;
    // A caller may still have come after the last session ended.
    return isIdle || isLate ? Step::End : Step::Serve;
}

} // namespace Chervilpin::Sessions
