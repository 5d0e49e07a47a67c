#pragma once

#include <Core/Milliseconds.h>

namespace Chervilpin::Rates {

/// Counts events and tells how many there were per second, smoothed over about a span, or over the
/// time since the first event if that is shorter.
class RateMeter
{
public:
    explicit RateMeter(Core::Duration span);

    void add(double events, Core::Instant now);
    [[nodiscard]] double perSecond(Core::Instant now) const;

private:
    [[nodiscard]] double weightAt(Core::Instant now) const;

    Core::Duration span_;
    double weight_ = 0; ///< Of the events, each decaying with time.
    Core::Instant updatedAt_;
    Core::Instant firstAt_;
};

} // namespace Chervilpin::Rates
