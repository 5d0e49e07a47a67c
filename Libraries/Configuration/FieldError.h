#pragma once

#include <string>
#include <vector>

namespace Chervilpin::Configuration {

/// What is wrong with one field of an operator's input.
struct FieldError
{
    std::string path;    ///< Such as `Team/brokers.spec.burst`; empty for the whole input.
    std::string problem; ///< What is wrong, as a sentence part: "must be at least 1, is 0".
    std::string remedy;  ///< What to do about it.

    bool operator==(const FieldError &) const = default;
};

using FieldErrors = std::vector<FieldError>;

} // namespace Chervilpin::Configuration
