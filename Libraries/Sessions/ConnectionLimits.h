#pragma once

#include <cstddef>

namespace Chervilpin::Sessions {

/// The number of connections that a proxy may hold to one database, and whether it keeps idle ones.
///
/// In a large fleet with many teams, each proxy's even share of a database's connections is one to
/// three. An idle connection then hardly ever belongs to the team of the next statement, and one
/// transaction would block all other callers of the proxy. In this case connections are closed soon
/// after their use, so that a proxy with a short peak can use connections that others leave free.
struct ConnectionLimits
{
    std::size_t maximumOpen = 1;
    bool keepsIdle = true; ///< Otherwise idle ones are closed after idleConnectionTimeout.

    /// The limits of one proxy, if \a proxies proxies with callers of \a teams teams share \a
    /// maximumConnections connections.
    [[nodiscard]] static ConnectionLimits forProxy(std::size_t maximumConnections,
                                                   std::size_t proxies, std::size_t teams);

    /// The limits of the pooler of a database.
    [[nodiscard]] static ConnectionLimits forPooler(std::size_t maximumConnections);
    /// The limits of a proxy that opens its own connections to a database that has a pooler.
    [[nodiscard]] static ConnectionLimits forNonPooler(std::size_t maximumConnections);

    /// Returns whether a database needs a pooler, which is the case if a proxy's even share of the
    /// connections is less than one for each team.
    [[nodiscard]] static bool isPoolerNeeded(std::size_t maximumConnections, std::size_t proxies,
                                             std::size_t teams);
};

} // namespace Chervilpin::Sessions
