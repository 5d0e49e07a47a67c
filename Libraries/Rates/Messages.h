#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>

#include <cstdint>
#include <string>

/// Distributed rate limiting: enforces each team's rate limit over the whole fleet.
///
/// Rendezvous hashing assigns each team an owner among the proxies. The owner holds the team's
/// token bucket, and the other proxies request tokens from it, one for each operation that their
/// callers start.
namespace Chervilpin::Rates {

/// The bucket of a team from which tokens are requested.
enum class Role {
    Owner,
    /// A proxy in the requester's data centre, or the requester itself, while the owner does not
    /// answer.
    Fallback,
};

/// A request for tokens, sent to the owner of a team's rate or to a fallback.
struct TokenRequest
{
    std::uint64_t id = 0; ///< Unique among the requests of one run of a proxy.
    std::string replyTo;  ///< IP:port of the requester.
    Core::TeamName team;
    Role role = Role::Owner;
    std::uint32_t needed = 0;   ///< Operations that are waiting for admission.
    std::uint32_t prefetch = 0; ///< Operations expected within prefetchWindow.
    /// For a fallback: the rate, in operations per second, at which the owner granted tokens in the
    /// data centre before it stopped answering.
    double baselinePerSecond = 0;
    std::uint32_t returned = 0; ///< Tokens of operations that were granted but reached no database.
};

/// The answer to a TokenRequest.
struct TokenGrant
{
    std::uint64_t id = 0;
    Core::TeamName team;
    Core::NodeName from;
    bool isAccepted = true; ///< False if the answering proxy does not have the requested role.
    std::uint32_t operations = 0; ///< The number of operations that may start.
    Core::Duration retryAfter;    ///< Time until the next token, if fewer than needed were granted.
    /// From the owner: the rate, in operations per second, at which it grants tokens in the
    /// requester's data centre.
    double baselinePerSecond = 0;
};

} // namespace Chervilpin::Rates
