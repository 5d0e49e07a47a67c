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

/// Delays between attempts: decorrelated jitter, so that callers that failed together don't come
/// back together.
class RetryPolicy
{
public:
    explicit RetryPolicy(RetryOptions options)
        : options_(options)
    { }

    /// The delay before the attempt that follows \a attempts earlier ones; nothing if there are too
    /// many or the deadline would come first. \a previous is the last delay, zero at first.
    [[nodiscard]] std::optional<Core::Duration> nextDelay(std::uint32_t attempts,
                                                          Core::Duration previous,
                                                          Core::Instant deadline, Core::Instant now,
                                                          Core::Random &random) const;

private:
    RetryOptions options_;
};

} // namespace Chervilpin::Execute
