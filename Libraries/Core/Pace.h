#pragma once

#include <Core/Milliseconds.h>

namespace Chervilpin::Core {

/// Bounds how often something is done: a token bucket whose rate is given with each question.
class Pace
{
public:
    /// Whether it may be done now, at \a perSecond on the average and up to \a mostSaved at once.
    [[nodiscard]] bool isReady(double perSecond, double mostSaved, Instant now);
    /// The same, and counts it as done if so.
    [[nodiscard]] bool take(double perSecond, double mostSaved, Instant now);

private:
    double saved_ = 0;
    Instant savedAt_;
};

} // namespace Chervilpin::Core
