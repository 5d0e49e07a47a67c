#pragma once

#include <compare>
#include <cstdint>
#include <limits>

namespace Chervilpin::Core {

/// A span of time in whole milliseconds. May be negative.
class Duration
{
public:
    constexpr Duration() = default;
    constexpr explicit Duration(std::int64_t milliseconds)
        : milliseconds_(milliseconds)
    { }

    [[nodiscard]] constexpr std::int64_t milliseconds() const { return milliseconds_; }
    [[nodiscard]] constexpr double seconds() const
    {
        constexpr double millisecondsPerSecond = 1'000.0;
        return static_cast<double>(milliseconds_) / millisecondsPerSecond;
    }

    constexpr auto operator<=>(const Duration &) const = default;

    friend constexpr Duration operator+(Duration a, Duration b)
    {
        return Duration(a.milliseconds_ + b.milliseconds_);
    }
    friend constexpr Duration operator-(Duration a, Duration b)
    {
        return Duration(a.milliseconds_ - b.milliseconds_);
    }
    friend constexpr Duration operator*(Duration a, std::int64_t factor)
    {
        return Duration(a.milliseconds_ * factor);
    }
    friend constexpr Duration operator/(Duration a, std::int64_t divisor)
    {
        return Duration(a.milliseconds_ / divisor);
    }

private:
    std::int64_t milliseconds_ = 0;
};

/// A point on the local monotonic clock, in milliseconds since an arbitrary origin of this process.
///
/// Instants of two processes are never comparable; no decision may rest on such a comparison.
class Instant
{
public:
    constexpr Instant() = default;
    constexpr explicit Instant(std::int64_t millisecondsSinceOrigin)
        : millisecondsSinceOrigin_(millisecondsSinceOrigin)
    { }

    [[nodiscard]] constexpr std::int64_t millisecondsSinceOrigin() const
    {
        return millisecondsSinceOrigin_;
    }

    /// Later than all others; the deadline of what isn't due at all.
    [[nodiscard]] static constexpr Instant never()
    {
        return Instant(std::numeric_limits<std::int64_t>::max());
    }

    constexpr auto operator<=>(const Instant &) const = default;

    friend constexpr Instant operator+(Instant a, Duration b)
    {
        return Instant(a.millisecondsSinceOrigin_ + b.milliseconds());
    }
    friend constexpr Instant operator-(Instant a, Duration b)
    {
        return Instant(a.millisecondsSinceOrigin_ - b.milliseconds());
    }
    friend constexpr Duration operator-(Instant a, Instant b)
    {
        return Duration(a.millisecondsSinceOrigin_ - b.millisecondsSinceOrigin_);
    }

private:
    std::int64_t millisecondsSinceOrigin_ = 0;
};

namespace Literals {
constexpr Duration operator""_ms(unsigned long long value)
{
    return Duration(static_cast<std::int64_t>(value));
}
constexpr Duration operator""_s(unsigned long long value)
{
    return Duration(static_cast<std::int64_t>(value) * 1000);
}
} // namespace Literals

} // namespace Chervilpin::Core
