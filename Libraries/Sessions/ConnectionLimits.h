#pragma once

#include <cstddef>

namespace Chervilpin::Sessions {

/// Limits on the connections of one proxy to one database, and whether idle ones are kept.
///
/// In a large fleet with many teams, each proxy's even share of a database's connections is one to
/// three. An idle connection then rarely belongs to the team of the next statement, and a single
/// transaction would block all other callers of the proxy. There, connections are closed soon after
/// their use, and a proxy may temporarily open more than its share while others don't use theirs.
struct ConnectionLimits
{
    std::size_t maximumOpen = 1;
    bool keepsIdle = true; ///< If false, idle connections are closed after idleConnectionTimeout.

    /// The limits of a proxy that shares \a maximumConnections with all \a proxies, whose callers
    /// belong to \a teams teams.
    [[nodiscard]] static ConnectionLimits forProxy(std::size_t maximumConnections,
                                                   std::size_t proxies, std::size_t teams);

    /// The limits of the database's pooler.
    [[nodiscard]] static ConnectionLimits forPooler(std::size_t maximumConnections);
    /// The limits of a proxy that opens connections of its own to a database that has a pooler.
    [[nodiscard]] static ConnectionLimits forNonPooler(std::size_t maximumConnections);

    /// Whether a database needs a pooler: whether the even share of a proxy has less than one
    /// connection for each team.
    [[nodiscard]] static bool isPoolerNeeded(std::size_t maximumConnections, std::size_t proxies,
                                             std::size_t teams);
};

} // namespace Chervilpin::Sessions
