#include <Rates/RateMeter.h>

#include <algorithm>
#include <cmath>

namespace Chervilpin::Rates {

namespace {
/// Over a shorter time since the first event, the computed rate would be meaningless.
constexpr Core::Duration minimumElapsed{1'000};
} // namespace

RateMeter::RateMeter(Core::Duration span)
    : span_(span)
{ }

double RateMeter::weightAt(Core::Instant now) const
{
    return weight_ * std::exp(-(now - updatedAt_).seconds() / span_.seconds());
}

void RateMeter::add(double events, Core::Instant now)
{
    if (firstAt_ == Core::Instant())
        firstAt_ = now;
    weight_ = weightAt(now) + events;
    updatedAt_ = now;
}

double RateMeter::perSecond(Core::Instant now) const
{
    const double counted = std::max(now - firstAt_, minimumElapsed).seconds();
    const double covered = span_.seconds() * (1 - std::exp(-counted / span_.seconds()));
    return weightAt(now) / covered;
}

} // namespace Chervilpin::Rates
