#pragma once

#include <Core/Name.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The resources that operators declare, and the revisions that count accepted changes.
namespace Chervilpin::Configuration {

/// Counts accepted changes of the configuration; 0 is the empty configuration.
using Revision = std::uint64_t;

/// Names a caller's key; it is the public part of the key's text.
using KeyName = Core::Name<struct KeyNameTag>;

/// Names an operator; it is the public part of the operator's credential.
using OperatorName = Core::Name<struct OperatorNameTag>;

/// A tenant. Rate and burst count over the whole fleet.
struct TeamSpec
{
    Core::HalfName half;
    std::uint32_t ratePerSecond = 0; ///< Requests a second.
    std::uint32_t burst = 0;         ///< Requests that may come at once after a quiet time.
    std::uint32_t weight = 1;        ///< Share of busy connections relative to other teams.

    bool operator==(const TeamSpec &) const = default;
};

/// A key of a team, as a salted digest.
struct KeySpec
{
    Core::TeamName team;
    std::string salt;   ///< Hexadecimal.
    std::string digest; ///< Authenticate::digestOf() of the salt's bytes and the secret, in hex.
    bool isWithdrawn = false;

    bool operator==(const KeySpec &) const = default;
};

/// One database of a group.
struct Database
{
    Core::DatabaseName name;
    std::string address; ///< IP:port.
    Core::DataCentreName dataCentre;
    bool isLeaving = false; ///< Gets no new work.

    bool operator==(const Database &) const = default;
};

/// A group of replicated databases, owned by one half.
struct UpstreamGroupSpec
{
    Core::HalfName half;
    std::vector<Database> databases;
    std::uint32_t slots = 0;          ///< Statements that one database runs at a time.
    std::uint32_t maxConnections = 0; ///< Connections to one database over the whole fleet.

    bool operator==(const UpstreamGroupSpec &) const = default;
};

/// A way from callers to a group.
struct RouteSpec
{
    Core::GroupName group;
    bool isOpenToAll = false;          ///< Needs no key.
    std::vector<Core::TeamName> teams; ///< Empty: all teams of the group's half.

    bool operator==(const RouteSpec &) const = default;
};

/// One half of the organisation.
struct HalfSpec
{
    std::string callerEndpoint;          ///< Where its callers are told to go, such as a URL.
    std::uint32_t capacityPerSecond = 0; ///< Bound on the sum of its teams' rates; 0: none.

    bool operator==(const HalfSpec &) const = default;
};

/// An operator's credential, as a salted digest.
struct OperatorSpec
{
    std::string salt;   ///< Hexadecimal.
    std::string digest; ///< As in KeySpec.
    bool isWithdrawn = false;

    bool operator==(const OperatorSpec &) const = default;
};

/// In the order of the alternatives of Spec.
enum class Kind {
    Team,
    Key,
    UpstreamGroup,
    Route,
    Half,
    Operator,
};

using Spec = std::variant<TeamSpec, KeySpec, UpstreamGroupSpec, RouteSpec, HalfSpec, OperatorSpec>;

inline constexpr Kind allKinds[] = {Kind::Team,  Kind::Key,  Kind::UpstreamGroup,
                                    Kind::Route, Kind::Half, Kind::Operator};

/// The name of a kind as operators write it, such as `UpstreamGroup`.
[[nodiscard]] std::string_view toString(Kind);

/// The kind of that name, in any letter case.
[[nodiscard]] std::optional<Kind> kindFromString(std::string_view);

/// What tells one resource from all others.
struct ResourceId
{
    Kind kind = Kind::Team;
    std::string name;

    auto operator<=>(const ResourceId &) const = default;
};

/// `Kind/name`.
[[nodiscard]] std::string toString(const ResourceId &);

/// A declared resource.
struct Resource
{
    ResourceId id;
    Spec spec;
    Revision version = 0; ///< The revision that last changed it.

    bool operator==(const Resource &) const = default;
};

} // namespace Chervilpin::Configuration
