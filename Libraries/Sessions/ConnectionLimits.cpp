#include <Sessions/ConnectionLimits.h>

#include <algorithm>

namespace Chervilpin::Sessions {

namespace {

/// Connections to a database that no proxy plans with: for restarts, when the old process's
/// connections still count, and for the status of a new primary.
constexpr std::size_t reservedConnections = 2;
/// If there are more teams than so many times a proxy's connections, keeping idle ones isn't worth
/// it: less than one in five is of the team that comes next.
constexpr std::size_t teamsPerConnection = 5;
/// What a proxy may open beyond its even part where idle connections are closed. With statements of
/// tens of milliseconds, a few of all proxies' connections are in use at a time.
constexpr std::size_t extraConnections = 2;
/// A pooler leaves one connection in so many to others: to its successor while its own still count,
/// and to proxies that can't reach it.
constexpr std::size_t poolerReserveDivisor = 4;

std::size_t poolerReserve(std::size_t maximumConnections)
{
    return std::max(reservedConnections, maximumConnections / poolerReserveDivisor);
}

} // namespace

ConnectionLimits ConnectionLimits::forProxy(std::size_t maximumConnections, std::size_t proxies,
                                            std::size_t teams)
{
    const std::size_t planned =
        maximumConnections > reservedConnections ? maximumConnections - reservedConnections : 1;
    const std::size_t share = std::max<std::size_t>(1, planned / std::max<std::size_t>(proxies, 1));
    const bool isScarce = proxies > 1 && share * teamsPerConnection < teams;
    return isScarce ? ConnectionLimits{share + extraConnections, false}
                    : ConnectionLimits{share, true};
}

ConnectionLimits ConnectionLimits::forPooler(std::size_t maximumConnections)
{
    const std::size_t kept = poolerReserve(maximumConnections);
    return {maximumConnections > kept ? maximumConnections - kept : 1, true};
}

ConnectionLimits ConnectionLimits::forNonPooler(std::size_t maximumConnections)
{
    constexpr std::size_t reserveDivisor = 2;
    return {std::max<std::size_t>(1, poolerReserve(maximumConnections) / reserveDivisor), false};
}

bool ConnectionLimits::isPoolerNeeded(std::size_t maximumConnections, std::size_t proxies,
                                      std::size_t teams)
{
    const std::size_t planned =
        maximumConnections > reservedConnections ? maximumConnections - reservedConnections : 1;
    return proxies > 1 && planned / proxies < teams;
}

} // namespace Chervilpin::Sessions
