#pragma once

#include <Core/Milliseconds.h>

#include <algorithm>

namespace Chervilpin::SessionProxy {

/// Bounds how many log lines of one kind are written.
class LinePace
{
public:
    /// Whether one may be written now, at \a perSecond with a second's worth saved up.
    [[nodiscard]] bool take(double perSecond, Core::Instant now)
    {
        constexpr double second = 1'000.0;
        const auto passed = static_cast<double>((now - savedAt_).milliseconds());
        saved_ = std::min(perSecond, saved_ + perSecond * passed / second);
        savedAt_ = now;
        if (saved_ < 1)
            return false;
        saved_ -= 1;
        return true;
    }

private:
    double saved_ = 0;
    Core::Instant savedAt_;
};

} // namespace Chervilpin::SessionProxy
