#pragma once

#include <Core/Incarnation.h>
#include <Core/Milliseconds.h>
#include <Core/Name.h>

#include <cstdint>
#include <string>

/// Distributed rate limiting: enforces each team's rate limit over the whole fleet.
///
/// Rendezvous hashing assigns each team an owner among the proxies, and share holders in each data
/// centre. The owner lends the holders fractions of the team's rate and burst. The other proxies
/// request tokens from a holder or from the owner, one for each operation that their callers start.
namespace Chervilpin::Rates {

/// The bucket of a team from which tokens are requested.
enum class Role {
    Owner,
    ShareHolder, ///< A proxy to which the owner lent a share.
};

/// A request for tokens, sent to the owner or to a share holder of a team's rate.
struct TokenRequest
{
    std::uint64_t id = 0; ///< Unique among the requests of one run of a proxy.
    std::string replyTo;  ///< IP:port of the requester.
    Core::TeamName team;
    Role role = Role::Owner;
    std::uint32_t needed = 0;   ///< Operations that are waiting for admission.
    std::uint32_t prefetch = 0; ///< Operations expected within prefetchWindow.
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
    Core::Duration retryAfter;    ///< Time until the next token; 0 if there are more.
};

/// What a share holder tells the owner of a team's rate. Also its answer to a ShareQuery.
struct ShareReport
{
    std::uint64_t id = 0; ///< Increases with each report of one incarnation of the holder.
    std::string replyTo;  ///< IP:port of the holder.
    Core::TeamName team;
    Core::NodeName holder;
    Core::Incarnation incarnation = 0;
    double held = 0;            ///< The fraction of the team's limits that the holder may use now.
    double demandPerSecond = 0; ///< Operations that were requested from the holder.
    bool isReturning = false;   ///< The holder wants no share; it has given up what it held.
};

/// The answer to a ShareReport.
struct ShareLease
{
    std::uint64_t id = 0; ///< That of the report.
    Core::TeamName team;
    Core::NodeName lender;
    double share = 0; ///< A fraction of the team's limits, from 0 to 1.
    /// Counted by the holder from when it sent the report.
    Core::Duration duration;
};

/// Sent by a new owner, which does not know what its predecessor lent.
struct ShareQuery
{
    Core::TeamName team;
    std::string replyTo; ///< IP:port of the owner.
};

} // namespace Chervilpin::Rates
