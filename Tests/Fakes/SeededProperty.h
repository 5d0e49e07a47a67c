#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <utility>

namespace Chervilpin::Fakes {

struct PropertyOptions
{
    std::uint64_t seed = 4;
    int cases = 300;
    int maximumSize = 100;
};

/// Runs a property with a fixed seed, so that each run gives the same verdict. CHERVILPIN_SEED
/// overrides the seed; the line printed on failure names it for a replay.
template<typename Property>
[[nodiscard]] bool holds(const char *name, PropertyOptions options, Property &&property)
{
    if (const char *const seed = std::getenv("CHERVILPIN_SEED"))
        options.seed = std::strtoull(seed, nullptr, 10);
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    rc::detail::TestParams parameters;
    parameters.seed = options.seed;
    parameters.maxSuccess = options.cases;
    parameters.maxSize = options.maximumSize;
    const auto result =
        rc::detail::checkTestable(std::forward<Property>(property), metadata, parameters);
    if (result.template is<rc::detail::SuccessResult>())
        return true;
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << "\nproperty=\"" << name << "\" replay: CHERVILPIN_SEED=" << options.seed
              << " and the same test program\n";
    return false;
}

/// Whether a property that ought to fail does so within the cases; for runs with a guard off.
template<typename Property>
[[nodiscard]] bool breaks(const char *name, const PropertyOptions &options, Property &&property)
{
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    rc::detail::TestParams parameters;
    parameters.seed = options.seed;
    parameters.maxSuccess = options.cases;
    parameters.maxSize = options.maximumSize;
    parameters.disableShrinking = true;
    const auto result =
        rc::detail::checkTestable(std::forward<Property>(property), metadata, parameters);
    return result.template is<rc::detail::FailureResult>();
}

} // namespace Chervilpin::Fakes
