#include <Sessions/ConnectionLimits.h>

#include <algorithm>

namespace Chervilpin::Sessions {

namespace {

/// Number of a database's connections that are not shared out: they serve restarts, when the
/// database still counts the connections of the old process, and status queries to a new primary.
constexpr std::size_t reservedConnections = 2;
/// Idle connections are kept if there are at most this many teams per connection of a proxy. With
/// more, less than one idle connection in five belongs to the team of the next statement.
constexpr std::size_t teamsPerConnection = 5;
/// Number of connections that a proxy may open beyond its even share where idle ones are closed.
/// With statements of tens of milliseconds, only a few connections of all proxies are in use at a
/// time.
constexpr std::size_t extraConnections = 2;
/// A pooler leaves the maximum number of connections divided by this to others: to its successor
/// while the database still counts the pooler's own, and to proxies that can't reach it.
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
