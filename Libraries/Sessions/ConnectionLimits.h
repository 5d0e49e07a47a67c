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
    std::size_t open = 1;
    bool areIdleKept = true;

    /// \a most connections are shared by so many proxies, whose callers are of so many teams.
    [[nodiscard]] static ConnectionLimits divide(std::size_t most, std::size_t proxies,
                                                 std::size_t teams);
};

} // namespace Chervilpin::Sessions
