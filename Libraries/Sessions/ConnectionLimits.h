#pragma once

#include <cstddef>

namespace Chervilpin::Sessions {

/// How many connections a proxy may have to one database, and what it does with idle ones.
///
/// Answers the load of a large fleet with many teams, where each proxy's even part of a database's
/// connections is one to three: an idle connection is hardly ever of the team that comes next, and
/// one transaction would hold up all other callers of the proxy. There connections are closed soon
/// after their use, and a proxy that needs more for a moment finds room that others don't use.
struct ConnectionLimits
{
    std::size_t maximumOpen = 1;
    bool keepsIdle = true;

    /// \a maximumConnections connections are shared by so many proxies, whose callers are of so
    /// many teams.
    [[nodiscard]] static ConnectionLimits forProxy(std::size_t maximumConnections,
                                                   std::size_t proxies, std::size_t teams);

    /// For the proxy that keeps the connections to the database for all others.
    [[nodiscard]] static ConnectionLimits forPooler(std::size_t maximumConnections);
    /// For a proxy that opens some of its own to a database that has a pooler.
    [[nodiscard]] static ConnectionLimits forNonPooler(std::size_t maximumConnections);

    /// Whether one proxy is to keep a database's connections, as an even part of them has less than
    /// one for each team.
    [[nodiscard]] static bool isPoolerNeeded(std::size_t maximumConnections, std::size_t proxies,
                                             std::size_t teams);
};

} // namespace Chervilpin::Sessions
