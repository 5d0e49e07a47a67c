#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>

#include <cstddef>
#include <optional>
#include <span>

/// Chooses the database that a statement goes to.
namespace Chervilpin::Sessions::Placement {

/// Where a statement may run.
struct Requirement
{
    bool isPrimaryOnly = false;
    /// For reads: the log position that a replica must have applied; empty if none proves
    /// freshness.
    std::optional<Core::LogMark> mark;
    /// How long the primary has been known to have the mark.
    Core::Duration markAge;
};

/// A database that may run the statement, with what choose() compares.
struct Candidate
{
    std::size_t index = 0; ///< For the caller's own use.
    bool isPrimary = false;
    bool hasConnection = false; ///< Whether an idle connection of the team exists.
    bool canOpen = false;       ///< Whether a connection may be opened, if need be by evicting one.
    bool isNear = false;        ///< In the proxy's own data centre.
    unsigned outstanding = 0;   ///< Unanswered statements of this proxy.
    unsigned limit = 1;         ///< Maximum of outstanding.
    double serviceMilliseconds = 0; ///< Average time from sending a statement to its reply.
};

/// The index of the candidate that is expected to finish the statement first, among those below
/// their limit that have or can open a connection; empty if there is none. The cost of a read on
/// the primary is raised, so that reads prefer replicas.
[[nodiscard]] std::optional<std::size_t> choose(const Requirement &, std::span<const Candidate>);

/// Whether a replica is expected to have applied the mark when the statement arrives there. Its
/// last known log position is \a known.
[[nodiscard]] bool isExpectedFresh(const Requirement &, Core::LogMark known, Core::Duration lag);

/// Maximum number of unanswered statements of one proxy at a database.
///
/// All proxies together keep the slots busy and have some statements waiting in the database, so
/// that no slot is idle for a round trip. More would only wait there, without regard to priority.
[[nodiscard]] unsigned statementLimit(unsigned slots, std::size_t proxies);

/// Maximum number of unanswered statements of the pooler at its database. One waits at the
/// database, so that no slot is idle for a round trip; all others wait in the pooler's queue, by
/// priority.
[[nodiscard]] constexpr unsigned poolerLimit(unsigned slots)
{
    return slots + 1;
}

} // namespace Chervilpin::Sessions::Placement
