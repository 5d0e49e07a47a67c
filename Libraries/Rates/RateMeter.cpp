#include <Rates/RateMeter.h>

#include <algorithm>
#include <cmath>

namespace Chervilpin::Rates {

namespace {
/// A shorter time since the first event says nothing of the rate.
constexpr Core::Duration leastTime{1'000};
} // namespace

RateMeter::RateMeter(Core::Duration span)
    : span_(span)
{ }

double RateMeter::weightAt(Core::Instant now) const
{
    const auto passed = static_cast<double>((now - at_).milliseconds());
    return weight_ * std::exp(-passed / static_cast<double>(span_.milliseconds()));
}

void RateMeter::note(double events, Core::Instant now)
{
    if (firstAt_ == Core::Instant())
        firstAt_ = now;
    weight_ = weightAt(now) + events;
    at_ = now;
}

double RateMeter::perSecond(Core::Instant now) const
{
    constexpr double second = 1'000.0;
    const auto span = static_cast<double>(span_.milliseconds());
    const auto counted = static_cast<double>(std::max(now - firstAt_, leastTime).milliseconds());
    const double covered = span * (1 - std::exp(-counted / span));
    return weightAt(now) * second / covered;
}

} // namespace Chervilpin::Rates
