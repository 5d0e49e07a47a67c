#pragma once

#include <Core/Result.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Chervilpin::Operator {

/// A request's path, split into decoded segments, and its query.
struct Target
{
    std::vector<std::string> segments;
    std::map<std::string, std::string> query;

    /// A query value, or nullptr.
    [[nodiscard]] const std::string *find(const std::string &name) const;
    /// A query value as a number; an error if it isn't one; \a fallback if it isn't there.
    [[nodiscard]] Core::ErrorOr<std::uint64_t> number(const std::string &name,
                                                      std::uint64_t fallback) const;
};

[[nodiscard]] Core::ErrorOr<Target> parseTarget(std::string_view text);

} // namespace Chervilpin::Operator
