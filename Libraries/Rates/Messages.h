#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>

#include <cstdint>
#include <string>

/// How a team's rate is kept over the whole fleet.
///
/// Each team has an owner among the proxies, found by rendezvous hashing. The owner keeps the
/// team's one token bucket, and the other proxies ask it for what their callers want to start.
namespace Chervilpin::Rates {

/// Which of a team's buckets is requested.
enum class Role {
    Owner,
    Fallback, ///< Of the asker's data centre, or the asker itself, while the owner is silent there.
};

/// From a proxy to the owner of a team's rate.
struct TokenRequest
{
    std::uint64_t id = 0; ///< Differs between the asks of one life of a proxy.
    std::string replyTo;  ///< IP:port of the asker.
    Core::TeamName team;
    Role role = Role::Owner;
    std::uint32_t needed = 0;   ///< Operations that wait.
    std::uint32_t prefetch = 0; ///< Operations that are expected soon.
    /// For a stand-in: what the owner granted in the data centre before, operations per second.
    double baselinePerSecond = 0;
    std::uint32_t returned = 0; ///< Operations that were granted and reached no database.
};

/// The answer to an ask.
struct TokenGrant
{
    std::uint64_t id = 0;
    Core::TeamName team;
    Core::NodeName from;
    bool isAccepted = true;       ///< False: the answering proxy doesn't have this role.
    std::uint32_t operations = 0; ///< That may be started.
    Core::Duration retryAfter;    ///< Until there is one more, if fewer than needed were granted.
    /// From the owner: what it grants in the asker's data centre, operations per second.
    double baselinePerSecond = 0;
};

} // namespace Chervilpin::Rates
