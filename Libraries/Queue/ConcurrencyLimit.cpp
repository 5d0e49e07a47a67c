#include <Queue/ConcurrencyLimit.h>

#include <Core/Verify.h>

#include <algorithm>

namespace Chervilpin::Queue {

namespace {

constexpr double decreaseFactor = 0.75;
constexpr std::uint64_t microsecondsPerMillisecond = 1000;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyLimitOptions options)
    : options_(options)
    , limit_(options.initial)
{ }

void ConcurrencyLimit::started()
{
    ++inFlight_;
}

void ConcurrencyLimit::answered(std::uint64_t queuedMicroseconds, std::uint32_t queuedNow,
                                Core::Instant now)
{
    VERIFY(inFlight_ > 0);
    const bool wasInUse = inFlight_ >= limit();
    --inFlight_;
    const auto target = static_cast<std::uint64_t>(options_.targetQueued.milliseconds());
    if (queuedMicroseconds > target * microsecondsPerMillisecond) {
        decrease(now);
        return;
    }
    if (wasInUse && queuedNow == 0)
        increase();
}

void ConcurrencyLimit::abandoned()
{
    VERIFY(inFlight_ > 0);
    --inFlight_;
}

void ConcurrencyLimit::overloaded(Core::Instant now)
{
    decrease(now);
}

std::uint32_t ConcurrencyLimit::limit() const
{
    return static_cast<std::uint32_t>(limit_);
}

void ConcurrencyLimit::decrease(Core::Instant now)
{
    if (now < nextDecreaseAt_)
        return;
    nextDecreaseAt_ = now + options_.decreaseInterval;
    limit_ = std::max<double>(limit_ * decreaseFactor, options_.least);
}

void ConcurrencyLimit::increase()
{
    limit_ = std::min<double>(limit_ + 1.0 / limit_, options_.most);
}

} // namespace Chervilpin::Queue
