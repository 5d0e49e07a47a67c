#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Sessions/Statement.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Chervilpin::Sessions {

/// Which commits the reads of a route must observe.
enum class Consistency {
    Latest,        ///< Every acknowledged commit.
    BoundedAge,    ///< Every commit acknowledged longer ago than the maximum age.
    ReadOwnWrites, ///< As BoundedAge, and every commit of the session.
};

/// How the statements of callers that connect to one database name are routed.
struct Route
{
    Core::RouteName name;
    Core::GroupName group;
    Consistency consistency = Consistency::Latest;
    Core::Duration statementTimeout;
    /// The latency that callers of this route expect. Bounds queueTimeout().
    Core::Duration latencyObjective;
    Core::Duration maximumAge;  ///< The maximum age for reads with BoundedAge and ReadOwnWrites.
    std::uint32_t priority = 0; ///< 0 is the highest.
    bool isOpenToAll = false;   ///< Whether callers may connect without a key.
    /// The regions in which the route may be served; empty if it may be served anywhere.
    std::vector<Core::RegionName> permittedRegions;
};

struct TeamLimits
{
    double ratePerSecond = 0; ///< Operations of the whole fleet; 0 is unlimited.
    double burst = 0;
};

struct GroupLimits
{
    std::uint32_t maximumConnections = 0; ///< The maximum per database, for all proxies together.
    /// The number of replicas that must have a commit before it is acknowledged.
    std::uint32_t synchronousReplicas = 0;
    /// Statements per second that a database takes for some time after its start, from all proxies
    /// together; 0 is unlimited.
    double coldRatePerSecond = 0;
};

/// One version of the operators' configuration, in the form that is used to route statements.
struct RoutingTable
{
    std::uint64_t version = 0;
    std::map<std::string, std::shared_ptr<const Route>, std::less<>> routes; ///< By database name.
    std::map<std::string, Core::TeamName, std::less<>> keys;                 ///< Team by key.
    std::map<Core::TeamName, TeamLimits> teams;
    /// The regions in which a team may be served; a team without an entry may be served anywhere.
    std::map<Core::TeamName, std::vector<Core::RegionName>> teamRegions;
    std::map<Core::GroupName, GroupLimits> groups;
    /// A transaction that is idle for longer is rolled back.
    Core::Duration transactionIdleTimeout{3'000};

    /// Whether a route or a team is limited to regions.
    [[nodiscard]] bool hasRegionLimits() const
    {
        return !teamRegions.empty() || std::ranges::any_of(routes, [](const auto &entry) {
            return !entry.second->permittedRegions.empty();
        });
    }

    [[nodiscard]] std::shared_ptr<const Route> findRoute(std::string_view database) const
    {
        const auto found = routes.find(database);
        return found == routes.end() ? nullptr : found->second;
    }

    /// Returns the team that the key belongs to, or null.
    [[nodiscard]] const Core::TeamName *findTeam(std::string_view key) const
    {
        const auto found = keys.find(key);
        return found == keys.end() ? nullptr : &found->second;
    }
};

using RoutingTablePointer = std::shared_ptr<const RoutingTable>;

enum class DatabaseAvailability {
    Ready,
    Draining, ///< It will be removed soon and gets no new statements unless it is the primary.
};

/// The entry of one database in the platform's directory.
struct DatabaseEntry
{
    Core::DatabaseName id;
    Core::GroupName group;
    std::string address; ///< IP:port.
    Core::DataCentreName dataCentre;
    std::uint32_t slots = 1; ///< The number of statements that it executes at a time.
    DatabaseAvailability availability = DatabaseAvailability::Ready;
    DatabaseRole role = DatabaseRole::Replica; ///< As reported by the database itself.
    /// Wall-clock time of its start. A database that was restarted counts as another one.
    std::int64_t startedAtMilliseconds = 0;
    /// How long it stays slow after its start, as of when it wrote the entry.
    Core::Duration coldRemaining;
};

} // namespace Chervilpin::Sessions
