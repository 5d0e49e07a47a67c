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
/// A pooler leaves one connection in so many to others: to its successor while its own still count,
/// and to proxies that can't reach it.
constexpr std::size_t poolReservePart = 4;

std::size_t poolReserve(std::size_t most)
{
    return std::max(reserve, most / poolReservePart);
}

} // namespace

ConnectionLimits ConnectionLimits::divide(std::size_t most, std::size_t proxies, std::size_t teams)
{
    const std::size_t planned = most > reserve ? most - reserve : 1;
    const std::size_t share = std::max<std::size_t>(1, planned / std::max<std::size_t>(proxies, 1));
    const bool isScarce = proxies > 1 && share * teamsPerConnection < teams;
    return isScarce ? ConnectionLimits{share + borrowed, false} : ConnectionLimits{share, true};
}

ConnectionLimits ConnectionLimits::forPooler(std::size_t most)
{
    const std::size_t kept = poolReserve(most);
    return {most > kept ? most - kept : 1, true};
}

ConnectionLimits ConnectionLimits::besidePooler(std::size_t most)
{
    constexpr std::size_t partOfReserve = 2;
    return {std::max<std::size_t>(1, poolReserve(most) / partOfReserve), false};
}

bool ConnectionLimits::isPoolerNeeded(std::size_t most, std::size_t proxies, std::size_t teams)
{
    const std::size_t planned = most > reserve ? most - reserve : 1;
    return proxies > 1 && planned / proxies < teams;
}

} // namespace Chervilpin::Sessions
