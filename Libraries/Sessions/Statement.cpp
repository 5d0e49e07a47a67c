#include <Sessions/Statement.h>

#include <array>
#include <cstddef>

namespace Chervilpin::Sessions {

namespace {

/// Indexed by Failure.
constexpr std::array<std::string_view, 14> failureNames{
    "busy",
    "aborted",
    "lagging",
    "read_only",
    "wrong_database",
    "connection_limit",
    "unknown_prepared",
    "in_doubt",
    "timeout",
    "execution_failed",
    "unknown_route",
    "authentication_failed",
    "malformed",
    "other",
};

} // namespace

std::string_view toString(Failure failure)
{
    return failureNames[static_cast<std::size_t>(failure)];
}

} // namespace Chervilpin::Sessions
