#include <Core/Pace.h>

#include <algorithm>

namespace Chervilpin::Core {

bool Pace::isReady(double perSecond, double mostSaved, Instant now)
{
    saved_ = std::min(mostSaved, saved_ + perSecond * (now - savedAt_).seconds());
    savedAt_ = now;
    return saved_ >= 1;
}

bool Pace::take(double perSecond, double mostSaved, Instant now)
{
    if (!isReady(perSecond, mostSaved, now))
        return false;
    saved_ -= 1;
    return true;
}

} // namespace Chervilpin::Core
