#include <Sessions/Database.h>

#include <algorithm>

namespace Chervilpin::Sessions {

namespace {
/// What may be saved up while nothing is evicted.
constexpr double mostSaved = 3.0;
} // namespace

bool EvictionPace::take(double perSecond, Core::Instant now)
{
    constexpr double second = 1'000.0;
    const auto passed = static_cast<double>((now - savedAt_).milliseconds());
    saved_ = std::min(mostSaved, saved_ + perSecond * passed / second);
    savedAt_ = now;
    if (saved_ < 1)
        return false;
    saved_ -= 1;
    return true;
}

} // namespace Chervilpin::Sessions
