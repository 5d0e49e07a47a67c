#include <Sessions/WaitEstimate.h>

#include <algorithm>
#include <cmath>

namespace Chervilpin::Sessions::WaitEstimate {

namespace {

/// An expected wait up to this multiple of the allowed one may still turn out short enough.
constexpr double tolerance = 1.25;
/// Bounds of the delays that callers are told: a queue changes within the upper one anyway.
constexpr std::int64_t minimumRetryMilliseconds = 20;
constexpr std::int64_t maximumRetryMilliseconds = 1'000;
/// Callers that are refused together are spread over this many starts of a statement.
constexpr std::uint64_t spreadStarts = 8;

double millisecondsPerStart(const SlotLoad &load)
{
    return load.serviceMilliseconds / std::max(1U, load.slots);
}

} // namespace

Core::Duration expectedWait(const SlotLoad &load)
{
    const double before = static_cast<double>(load.outstanding) + static_cast<double>(load.ahead);
    const double starts = before + 1 - load.slots;
    if (starts <= 0)
        return {};
    return Core::Duration(static_cast<std::int64_t>(starts * millisecondsPerStart(load)));
}

bool isUnmeetable(Core::Duration expected, Core::Duration allowed)
{
    return static_cast<double>(expected.milliseconds())
        > static_cast<double>(allowed.milliseconds()) * tolerance;
}

Core::Duration retryDelay(const SlotLoad &load, Core::Duration allowed, std::uint64_t number)
{
    const Core::Duration excess = expectedWait(load) - allowed;
    const double spread = millisecondsPerStart(load) * static_cast<double>(number % spreadStarts);
    const auto delay = excess.milliseconds() + std::llround(spread);
    return Core::Duration(
        std::clamp<std::int64_t>(delay, minimumRetryMilliseconds, maximumRetryMilliseconds));
}

} // namespace Chervilpin::Sessions::WaitEstimate
