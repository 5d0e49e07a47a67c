#pragma once

#include <Core/Milliseconds.h>

namespace Chervilpin::Rates {

/// An exponentially weighted average of the number of events per second, over roughly the given
/// span or over the time since the first event, whichever is shorter.
class RateMeter
{
public:
    explicit RateMeter(Core::Duration span);

    void add(double events, Core::Instant now);
    [[nodiscard]] double perSecond(Core::Instant now) const;

private:
    [[nodiscard]] double weightAt(Core::Instant now) const;

    Core::Duration span_;
    double weight_ = 0; ///< The sum of the events, each decaying exponentially with its age.
    Core::Instant updatedAt_;
    Core::Instant firstAt_;
};

} // namespace Chervilpin::Rates
