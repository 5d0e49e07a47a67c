#pragma once

#include <Core/Milliseconds.h>

#include <algorithm>
#include <cstdint>

namespace Chervilpin::Membership {

/// A token bucket that limits the bytes sent per second.
class ByteBudget
{
public:
    ByteBudget(std::uint32_t bytesPerSecond, std::uint32_t burst)
        : bytesPerSecond_(bytesPerSecond)
        , burstMillibytes_(burst * millibytesPerByte)
        , millibytes_(burstMillibytes_)
    { }

    void refill(Core::Instant now)
    {
        const std::int64_t elapsed =
            std::max<std::int64_t>((now - lastRefillAt_).milliseconds(), 0);
        lastRefillAt_ = now;
        const std::int64_t capped = std::min(elapsed, maximumRefillMilliseconds);
        millibytes_ = std::min(burstMillibytes_, millibytes_ + capped * bytesPerSecond_);
    }

    [[nodiscard]] std::int64_t bytes() const { return millibytes_ / millibytesPerByte; }
    /// Whether less than half of the burst is left, so that optional messages should not be sent.
    [[nodiscard]] bool isLow() const { return millibytes_ < burstMillibytes_ / 2; }

    /// Takes that many bytes if available; returns whether they were.
    [[nodiscard]] bool spend(std::int64_t bytes)
    {
        if (millibytes_ < bytes * millibytesPerByte)
            return false;
        millibytes_ -= bytes * millibytesPerByte;
        return true;
    }

private:
    static constexpr std::int64_t millibytesPerByte = 1'000;
    static constexpr std::int64_t maximumRefillMilliseconds = 60'000;

    std::int64_t bytesPerSecond_ = 0;
    std::int64_t burstMillibytes_ = 0;
    std::int64_t millibytes_ = 0;
    Core::Instant lastRefillAt_;
};

} // namespace Chervilpin::Membership
