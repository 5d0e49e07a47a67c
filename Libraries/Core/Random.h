#pragma once

#include <cstdint>
#include <random>

namespace Chervilpin::Core {

/// The seeded generator that is handed to every decision object that needs chance.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : engine_(seed)
    { }

    /// A number in [0, bound). \a bound must be positive.
    [[nodiscard]] std::uint64_t below(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
    }

    /// A number in [0, 1).
    [[nodiscard]] double fraction()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(engine_);
    }

    /// 64 random bits.
    [[nodiscard]] std::uint64_t bits() { return engine_(); }

private:
    std::mt19937_64 engine_;
};

} // namespace Chervilpin::Core
