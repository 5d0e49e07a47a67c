#include <Execute/RetryPolicy.h>

#include <algorithm>

namespace Chervilpin::Execute {

namespace {
constexpr std::int64_t delayGrowth = 3;
}

std::optional<Core::Duration> RetryPolicy::nextDelay(std::uint32_t attempts,
                                                     Core::Duration previous,
                                                     Core::Instant deadline, Core::Instant now,
                                                     Core::Random &random) const
{
    if (attempts >= options_.maximumAttempts)
        return std::nullopt;
    const std::int64_t lowerBound = options_.minimumDelay.milliseconds();
    const std::int64_t upperBound = std::max(lowerBound, previous.milliseconds() * delayGrowth);
    const auto range = static_cast<std::uint64_t>(upperBound - lowerBound + 1);
    const Core::Duration drawn(lowerBound + static_cast<std::int64_t>(random.below(range)));
    const Core::Duration delay = std::min(drawn, options_.maximumDelay);
    if (now + delay >= deadline)
        return std::nullopt;
    return delay;
}

} // namespace Chervilpin::Execute
