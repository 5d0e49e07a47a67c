#include <Sessions/Statement.h>

#include <array>
#include <cstddef>

namespace Chervilpin::Sessions {

namespace {

struct FailureTraits
{
    std::string_view name;
    bool isNotRun;
};

/// By the order of Failure.
constexpr std::array<FailureTraits, 14> failureTraits{{
    {"busy", true},
    {"aborted", true},
    {"lagging", true},
    {"read_only", true},
    {"wrong_database", true},
    {"connection_limit", true},
    {"unknown_prepared", true},
    {"in_doubt", false},
    {"timeout", false},
    {"execution_failed", false},
    {"unknown_route", true},
    {"authentication_failed", true},
    {"malformed", true},
    {"other", false},
}};

} // namespace

std::string_view toString(Failure failure)
{
    return failureTraits[static_cast<std::size_t>(failure)].name;
}

bool isNotRun(Failure failure)
{
    return failureTraits[static_cast<std::size_t>(failure)].isNotRun;
}

} // namespace Chervilpin::Sessions
