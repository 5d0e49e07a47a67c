#include <Sessions/ConnectionLimits.h>

#include <algorithm>

namespace Chervilpin::Sessions {

namespace {

/// Connections to a database that are not shared out to the proxies: for restarts, when the old
/// process's connections still count, and for status queries to a new primary.
constexpr std::size_t reservedConnections = 2;
/// If there are more teams than this multiple of a proxy's connections, idle connections are not
/// kept: fewer than one in five would belong to the team of the next statement.
constexpr std::size_t teamsPerConnection = 5;
/// The number of connections that a proxy may open beyond its even share if idle connections are
/// closed. With statements of tens of milliseconds, only a few of all proxies' connections are in
/// use at a time.
constexpr std::size_t extraConnections = 2;
/// A pooler leaves one connection in this many to others: to its successor while the pooler's own
/// still count, and to proxies that cannot reach it.
constexpr std::size_t poolerReserveDivisor = 4;

std::size_t poolerReserve(std::size_t maximumConnections)
{
    return std::max(reservedConnections, maximumConnections / poolerReserveDivisor);
}

} // namespace

ConnectionLimits ConnectionLimits::forProxy(std::size_t maximumConnections, std::size_t proxies,
                                            std::size_t teams)
{
    const std::size_t shared =
        maximumConnections > reservedConnections ? maximumConnections - reservedConnections : 1;
    const std::size_t share = std::max<std::size_t>(1, shared / std::max<std::size_t>(proxies, 1));
    const bool isScarce = proxies > 1 && share * teamsPerConnection < teams;
    return isScarce ? ConnectionLimits{share + extraConnections, false}
                    : ConnectionLimits{share, true};
}

ConnectionLimits ConnectionLimits::forPooler(std::size_t maximumConnections)
{
    const std::size_t reserved = poolerReserve(maximumConnections);
    return {maximumConnections > reserved ? maximumConnections - reserved : 1, true};
}

ConnectionLimits ConnectionLimits::forNonPooler(std::size_t maximumConnections)
{
    constexpr std::size_t reserveDivisor = 2;
    return {std::max<std::size_t>(1, poolerReserve(maximumConnections) / reserveDivisor), false};
}

bool ConnectionLimits::isPoolerNeeded(std::size_t maximumConnections, std::size_t proxies,
                                      std::size_t teams)
{
    const std::size_t shared =
        maximumConnections > reservedConnections ? maximumConnections - reservedConnections : 1;
    return proxies > 1 && shared / proxies < teams;
}

} // namespace Chervilpin::Sessions
