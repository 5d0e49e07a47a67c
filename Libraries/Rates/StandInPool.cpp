#include <Rates/StandInPool.h>

#include <algorithm>

namespace Chervilpin::Rates {

namespace {

/// The other side of a cut may be somewhat busier than before.
constexpr double usualPart = 0.9;
/// A team that asks for more than so many times what is usual is surging. Callers who were refused
/// and come again count here too.
constexpr double surgeFactor = 2.0;
/// Asked for beyond that, per second, before it counts: a few callers at once are no surge.
constexpr double surgeSlack = 0.5;
/// A pool that wasn't asked for this long belonged to an earlier cut.
constexpr Core::Duration poolMemory{5'000};

} // namespace

void StandInPool::setBase(Sessions::TeamLimits limits, Core::Instant now)
{
    if (!hasBase_)
        base_.setShare(1, now);
    base_.setLimits(limits, now);
    if (!hasBase_)
        base_.startWith(1);
    hasBase_ = true;
}

void StandInPool::refill(double perSecond, Core::Instant now)
{
    if (now >= usedAt_ + poolMemory) {
        usualPerSecond_ = 0;
        tokens_ = 1;
        usedAt_ = now;
    }
    usualPerSecond_ = std::max(usualPerSecond_, perSecond);
    const double rate = usualPerSecond_ * usualPart;
    tokens_ += rate * (now - usedAt_).seconds();
    // What isn't used is kept for a second.
    tokens_ = std::min(tokens_, std::max(1.0, rate));
    usedAt_ = now;
}

bool StandInPool::isSurging(Core::Instant now) const
{
    return asked_.perSecond(now) > usualPerSecond_ * surgeFactor + surgeSlack;
}

std::uint32_t StandInPool::take(std::uint32_t needed, double perSecond, Core::Instant now)
{
    refill(perSecond, now);
    asked_.note(needed, now);
    std::uint32_t taken = 0;
    for (; taken < needed; ++taken) {
        if (tokens_ >= 1 && !isSurging(now))
            tokens_ -= 1;
        else if (!hasBase_ || !base_.take(now))
            break;
    }
    return taken;
}

Core::Duration StandInPool::waitForNext() const
{
    return hasBase_ ? std::min(base_.waitForNext(), standInRetry) : standInRetry;
}

} // namespace Chervilpin::Rates
