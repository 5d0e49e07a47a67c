#include <Rates/TokenBucket.h>

#include <algorithm>
#include <cmath>

namespace Chervilpin::Rates {

namespace {

/// The fraction of the burst with which a new bucket starts: a restarted process may have spent the
/// whole burst just before.
constexpr double initialFillFraction = 0.5;
/// A share of a small burst is rounded up to one token, or the team could never start an operation.
constexpr double minimumCapacity = 1.0;
/// A moved share is rounded up to more tokens, at most this fraction of the burst: with fewer, the
/// random variation of a small demand leaves tokens unused in one bucket while another is empty. A
/// team's few buckets together exceed its burst by less than the 20 operations that the users
/// tolerate beyond the limit.
constexpr double minimumCapacityOfMovedShare = 3.0;
constexpr double minimumFractionOfBurst = 0.5;

} // namespace

double TokenBucket::capacity() const
{
    double minimum = minimumCapacity;
    if (hasMovedShare_)
        minimum = std::max(
            minimum, std::min(minimumCapacityOfMovedShare, limits_.burst * minimumFractionOfBurst));
    return std::max(minimum, limits_.burst * share_);
}

void TokenBucket::setLimits(Sessions::TeamLimits limits, Core::Instant now)
{
    refill(now);
    limits_ = limits;
    if (isNew_)
        tokens_ = capacity() * initialFillFraction;
    isNew_ = false;
    tokens_ = std::min(tokens_, capacity());
}

void TokenBucket::setShare(double share, Core::Instant now)
{
    refill(now);
    // Tokens scale with the share, so that the sum over the fleet does not change.
    if (share_ > 0)
        tokens_ = tokens_ * share / share_;
    share_ = share;
    tokens_ = std::min(tokens_, capacity());
}

void TokenBucket::moveShare(double share, Core::Instant now)
{
    refill(now);
    hasMovedShare_ = true;
    share_ = share;
    tokens_ = std::min(tokens_, capacity());
}

void TokenBucket::refill(Core::Instant now)
{
    if (now > refilledAt_) {
        tokens_ += limits_.ratePerSecond * share_ * (now - refilledAt_).seconds();
        refilledAt_ = now;
    }
    tokens_ = std::min(tokens_, capacity());
}

void TokenBucket::setTokens(double tokens)
{
    tokens_ = std::min(tokens, capacity());
}

void TokenBucket::returnTokens(double operations)
{
    tokens_ = std::min(tokens_ + operations, capacity());
}

bool TokenBucket::isOverHalfFull() const
{
    return limits_.ratePerSecond <= 0 || tokens_ > capacity() / 2;
}

bool TokenBucket::take(Core::Instant now)
{
    if (limits_.ratePerSecond <= 0)
        return true;
    refill(now);
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

Core::Duration TokenBucket::waitForNext() const
{
    const double rate = limits_.ratePerSecond * share_;
    if (tokens_ >= 1 || rate <= 0)
        return Core::Duration(0);
    return Core::Duration(static_cast<std::int64_t>(std::ceil((1 - tokens_) / rate * 1'000)));
}

} // namespace Chervilpin::Rates
