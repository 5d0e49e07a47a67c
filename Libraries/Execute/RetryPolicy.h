#pragma once

#include <Core/Milliseconds.h>
#include <Core/Random.h>

#include <cstdint>
#include <optional>

namespace Chervilpin::Execute {

struct RetryOptions
{
    Core::Duration minimumDelay{5};
    Core::Duration maximumDelay{250};
    std::uint32_t maximumAttempts = 5;
};

/// Computes delays between attempts with decorrelated jitter, so that statements that failed at the
/// same time are not retried at the same time.
class RetryPolicy
{
public:
    explicit RetryPolicy(RetryOptions options)
        : options_(options)
    { }

    /// Returns the delay before the attempt that follows \a attempts earlier ones, or std::nullopt
    /// if the maximum is reached or the deadline would pass first. \a previous is the last delay,
    /// zero before the first retry.
    [[nodiscard]] std::optional<Core::Duration> nextDelay(std::uint32_t attempts,
                                                          Core::Duration previous,
                                                          Core::Instant deadline, Core::Instant now,
                                                          Core::Random &random) const;

private:
    RetryOptions options_;
};

} // namespace Chervilpin::Execute
