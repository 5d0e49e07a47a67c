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

/// What the reads of a route have to see.
enum class Consistency {
    Latest,        ///< Every acknowledged commit.
    BoundedAge,    ///< Every commit acknowledged longer ago than the stated age.
    ReadOwnWrites, ///< The same, and every commit of the session.
};

/// Where callers go who connect to one database name.
struct Route
{
    Core::RouteName name;
    Core::GroupName group;
    Consistency consistency = Consistency::Latest;
    Core::Duration statementTimeout;
    Core::Duration latencyObjective; ///< The latency that callers of this route count on.
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
    std::uint32_t maximumConnections = 0;  ///< Of one database, by all proxies together.
    std::uint32_t synchronousReplicas = 0; ///< How many hold a commit before it is acknowledged.
};

/// One version of what the operators declared, as the path of statements needs it.
struct RoutingTable
{
    std::uint64_t version = 0;
    std::map<std::string, std::shared_ptr<const Route>, std::less<>> routes; ///< By database name.
    std::map<std::string, Core::TeamName, std::less<>> keys;                 ///< Team by key.
    std::map<Core::TeamName, TeamLimits> teams;
    std::map<Core::GroupName, GroupLimits> groups;
    Core::Duration transactionIdleTimeout{
        3'000}; ///< A transaction that rests longer is rolled back.

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
    Draining, ///< It leaves soon and gets no new work.
};

/// One database as the platform's directory lists it.
struct DatabaseEntry
{
    Core::DatabaseName id;
    Core::GroupName group;
    std::string address; ///< IP:port.
    Core::DataCentreName dataCentre;
    std::uint32_t slots = 1; ///< Statements that it runs at a time.
    DatabaseAvailability availability = DatabaseAvailability::Ready;
    DatabaseRole role = DatabaseRole::Replica; ///< As it sees itself.
    std::int64_t startedAtMilliseconds =
        0; ///< Wall clock of its start; another start is another database.
};

} // namespace Chervilpin::Sessions
