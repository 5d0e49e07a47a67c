#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Sessions/Statement.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Chervilpin::Sessions {

/// The commits that the reads of a route must see.
enum class Consistency {
    Latest,        ///< Every acknowledged commit.
    BoundedAge,    ///< Every commit acknowledged longer ago than the maximum age of the route.
    ReadOwnWrites, ///< As BoundedAge, and every commit of the session itself.
};

/// The group and settings for callers that connect to one database name.
struct Route
{
    Core::RouteName name;
    Core::GroupName group;
    Consistency consistency = Consistency::Latest;
    Core::Duration statementTimeout;
    Core::Duration latencyObjective; ///< Expected latency of statements; bounds queueTimeout().
    Core::Duration maximumAge;       ///< For the reads of BoundedAge and ReadOwnWrites.
    std::uint32_t priority = 0;      ///< 0 is the highest.
    bool isOpenToAll = false;        ///< Whether callers need no key.
};

struct TeamLimits
{
    double ratePerSecond = 0; ///< Operations over the whole fleet; 0 is unlimited.
    double burst = 0;
};

struct GroupLimits
{
    std::uint32_t maximumConnections = 0;  ///< To one database, of all proxies together.
    std::uint32_t synchronousReplicas = 0; ///< Number that hold a commit before it is confirmed.
};

/// One version of the operators' configuration, in the form needed to process statements.
struct RoutingTable
{
    std::uint64_t version = 0;
    std::map<std::string, std::shared_ptr<const Route>, std::less<>> routes; ///< By database name.
    std::map<std::string, Core::TeamName, std::less<>> keys;                 ///< Team by key.
    std::map<Core::TeamName, TeamLimits> teams;
    std::map<Core::GroupName, GroupLimits> groups;
    /// A transaction that is idle for longer is rolled back.
    Core::Duration transactionIdleTimeout{3'000};

    [[nodiscard]] std::shared_ptr<const Route> findRoute(std::string_view database) const
    {
        const auto found = routes.find(database);
        return found == routes.end() ? nullptr : found->second;
    }

    /// The team that holds a key, or null.
    [[nodiscard]] const Core::TeamName *findTeam(std::string_view key) const
    {
        const auto found = keys.find(key);
        return found == keys.end() ? nullptr : &found->second;
    }
};

using RoutingTablePointer = std::shared_ptr<const RoutingTable>;

enum class DatabaseAvailability {
    Ready,
    Draining, ///< Shutting down; gets no new statements unless it is the primary.
};

/// One database as the platform's directory lists it.
struct DatabaseEntry
{
    Core::DatabaseName id;
    Core::GroupName group;
    std::string address; ///< IP:port.
    Core::DataCentreName dataCentre;
    std::uint32_t slots = 1; ///< Number of statements that it runs at the same time.
    DatabaseAvailability availability = DatabaseAvailability::Ready;
    DatabaseRole role = DatabaseRole::Replica; ///< As reported by the database itself.
    /// Wall-clock time of its start. An entry with another one is treated as another database.
    std::int64_t startedAtMilliseconds = 0;
};

} // namespace Chervilpin::Sessions
