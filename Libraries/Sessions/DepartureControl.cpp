#include <Sessions/DepartureControl.h>

#include <algorithm>

namespace Chervilpin::Sessions {

namespace {

/// Leaving pays only if it saves more than this fraction of the time, since both times are
/// estimates.
constexpr double marginFraction = 0.1;
/// The share changes by this step in each interval: from none to all within a second, which is a
/// few reports of the poolers.
constexpr double shareStep = 0.1;
constexpr Core::Duration adjustInterval{100};

} // namespace

DepartureControl::Side DepartureControl::choose(double nearMilliseconds, double farMilliseconds,
                                                Core::Duration crossingCost, Core::Instant now)
{
    adjust(now);
    const double cost = static_cast<double>(crossingCost.milliseconds());
    const bool isPaying = farMilliseconds + cost < nearMilliseconds * (1 - marginFraction);
    ++decisions_;
    if (!isPaying)
        return Side::Near;
    ++paying_;
    credit_ += share_;
    if (credit_ < 1)
        return Side::Near;
    credit_ -= 1;
    return Side::Far;
}

void DepartureControl::adjust(Core::Instant now)
{
    if (decisions_ == 0 || now < adjustedAt_ + adjustInterval)
        return;
    const bool isMostlyPaying = paying_ * 2 > decisions_;
    const double changed = share_ + (isMostlyPaying ? shareStep : -shareStep);
    share_ = std::clamp(changed, 0.0, 1.0);
    adjustedAt_ = now;
    decisions_ = 0;
    paying_ = 0;
}

} // namespace Chervilpin::Sessions
