#pragma once

#include <Core/Name.h>

#include <cstdint>

namespace Chervilpin::Allotment {

/// A limited resource: the tokens of a team, or the connections of a database.
using ResourceName = Core::Name<struct ResourceNameTag>;

/// Millionths of a unit, so that refills at low rates add up without rounding loss.
using MicroUnits = std::int64_t;

constexpr MicroUnits microUnitsPerUnit = 1'000'000;

enum class ResourceKind {
    Consumable, ///< Tokens: spent units are gone, and new ones are created at a rate.
    Returnable, ///< Connections: units are returned after use, and none are created.
};

/// A limit for the whole fleet.
struct ResourceLimit
{
    ResourceName name;
    ResourceKind kind = ResourceKind::Consumable;
    MicroUnits ratePerSecond = 0; ///< Zero for returnable resources.
    std::int64_t capacity = 0;    ///< In whole units: the burst, or the number of connections.

    bool operator==(const ResourceLimit &) const = default;

    static ResourceLimit tokens(const Core::TeamName &team, MicroUnits ratePerSecond,
                                std::int64_t burst)
    {
        return {tokensOf(team), ResourceKind::Consumable, ratePerSecond, burst};
    }

    static ResourceLimit connections(const Core::DatabaseName &database, std::int64_t count)
    {
        return {connectionsOf(database), ResourceKind::Returnable, 0, count};
    }

    static ResourceName tokensOf(const Core::TeamName &team)
    {
        return ResourceName("team/" + team.value());
    }

    static ResourceName connectionsOf(const Core::DatabaseName &database)
    {
        return ResourceName("database/" + database.value());
    }
};

} // namespace Chervilpin::Allotment
