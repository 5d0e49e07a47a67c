#include <Rates/FallbackBucket.h>

#include <algorithm>

namespace Chervilpin::Rates {

namespace {

/// The baseline rate is reduced to this fraction, since the other side of a partition may be busier
/// than before.
constexpr double baselineFraction = 0.9;
/// Demand beyond this multiple of the baseline rate is a surge. Retries of refused callers count
/// towards it.
constexpr double surgeFactor = 2.0;
/// Added to the surge threshold, in operations per second, so that a few concurrent callers of a
/// quiet team are not taken for a surge.
constexpr double surgeSlackPerSecond = 0.5;
/// A bucket that was not used for this long served an earlier partition and starts afresh.
constexpr Core::Duration idleExpiry{5'000};

} // namespace

void FallbackBucket::setGuaranteed(Sessions::TeamLimits limits, Core::Instant now)
{
    if (!hasGuaranteed_)
        guaranteed_.setShare(1, now);
    guaranteed_.setLimits(limits, now);
    if (!hasGuaranteed_)
        guaranteed_.setTokens(1);
    hasGuaranteed_ = true;
}

void FallbackBucket::refill(double perSecond, Core::Instant now)
{
    if (now >= lastUsedAt_ + idleExpiry) {
        baselinePerSecond_ = 0;
        tokens_ = 1;
        lastUsedAt_ = now;
    }
    baselinePerSecond_ = std::max(baselinePerSecond_, perSecond);
    const double rate = baselinePerSecond_ * baselineFraction;
    tokens_ += rate * (now - lastUsedAt_).seconds();
    // Unused tokens accumulate for at most one second.
    tokens_ = std::min(tokens_, std::max(1.0, rate));
    lastUsedAt_ = now;
}

bool FallbackBucket::isSurging(Core::Instant now) const
{
    return requested_.perSecond(now) > baselinePerSecond_ * surgeFactor + surgeSlackPerSecond;
}

std::uint32_t FallbackBucket::take(std::uint32_t needed, double perSecond, Core::Instant now)
{
    refill(perSecond, now);
    requested_.add(needed, now);
    std::uint32_t taken = 0;
    for (; taken < needed; ++taken) {
        if (tokens_ >= 1 && !isSurging(now))
            tokens_ -= 1;
        else if (!hasGuaranteed_ || !guaranteed_.take(now))
            break;
    }
    return taken;
}

Core::Duration FallbackBucket::waitForNext() const
{
    return hasGuaranteed_ ? std::min(guaranteed_.waitForNext(), fallbackRetryDelay)
                          : fallbackRetryDelay;
}

} // namespace Chervilpin::Rates
