#include <Rates/RateMeter.h>

#include <cmath>

namespace Chervilpin::Rates {

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
    weight_ = weightAt(now) + events;
    at_ = now;
}

double RateMeter::perSecond(Core::Instant now) const
{
    constexpr double second = 1'000.0;
    return weightAt(now) * second / static_cast<double>(span_.milliseconds());
}

} // namespace Chervilpin::Rates
