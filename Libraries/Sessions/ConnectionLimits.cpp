#include <Sessions/ConnectionLimits.h>

#include <algorithm>

namespace Chervilpin::Sessions {

namespace {

/// Connections to a database that no proxy plans with: for restarts, when the old process's
/// connections still count, and for the status of a new primary.
constexpr std::size_t reserve = 2;
/// If there are more teams than so many times a proxy's connections, keeping idle ones isn't worth
/// it: less than one in five is of the team that comes next.
constexpr std::size_t teamsPerConnection = 5;
/// What a proxy may open beyond its even part where idle connections are closed. With statements of
/// tens of milliseconds, a few of all proxies' connections are in use at a time.
constexpr std::size_t borrowed = 2;

} // namespace

ConnectionLimits ConnectionLimits::divide(std::size_t most, std::size_t proxies, std::size_t teams)
{
    const std::size_t planned = most > reserve ? most - reserve : 1;
    const std::size_t share = std::max<std::size_t>(1, planned / std::max<std::size_t>(proxies, 1));
    const bool isScarce = proxies > 1 && share * teamsPerConnection < teams;
    return isScarce ? ConnectionLimits{share + borrowed, false} : ConnectionLimits{share, true};
}

} // namespace Chervilpin::Sessions
