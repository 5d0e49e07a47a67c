#pragma once

#include <Configuration/FieldError.h>
#include <Configuration/Snapshot.h>

namespace Chervilpin::Configuration {

/// What the whole configuration may ask for.
struct Capacity
{
    std::uint64_t ratePerSecond = 1'000'000; ///< Sum of all teams' rates.
    std::uint64_t burst = 1'000'000;         ///< Largest burst of one team.
    std::uint64_t databasesPerGroup = 9;
    std::uint64_t resources = 20'000;
};

/// Checks a configuration as a whole: references, limits and names used twice.
[[nodiscard]] FieldErrors validate(const Snapshot &, const Capacity &);

} // namespace Chervilpin::Configuration
