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
    /// For reads: the mark that a replica must hold. Nothing if no replica can be proved fresh.
    std::optional<Core::LogMark> mark;
    /// How long the primary is known to hold the mark.
    Core::Duration markAge;
};

/// What counts of one database that may run the statement.
struct Candidate
{
    std::size_t index = 0; ///< For the caller's own use.
    bool isPrimary = false;
    bool hasConnection = false; ///< An idle one of the team.
    bool canOpen = false;       ///< A connection may be opened, perhaps in another's place.
    bool isNear = false;        ///< In the proxy's own data centre.
    unsigned outstanding = 0;   ///< Statements of this proxy that it runs.
    unsigned limit = 1;         ///< How many of them it is given at a time.
    double serviceMilliseconds = 0;
};

/// The candidate that is expected to finish the statement first among those with room; nothing if
/// none has room. Answers full databases: the primary is spared by reads while a replica has room.
[[nodiscard]] std::optional<std::size_t> choose(const Requirement &, std::span<const Candidate>);

/// Whether a replica is expected to hold the mark when the statement gets there.
[[nodiscard]] bool isExpectedFresh(const Requirement &, Core::LogMark known, Core::Duration lag);

/// How many statements one proxy gives a database at a time.
///
/// All proxies together keep the slots busy and leave some statements waiting in the database, so
/// that a slot never idles for the time of a round trip; more would only wait there unordered.
[[nodiscard]] unsigned statementLimit(unsigned slots, std::size_t proxies);

/// How many statements the pooler of a database gives it at a time. One waits at the database, so
/// that a slot never idles for the time of a round trip; all others wait here in order.
[[nodiscard]] constexpr unsigned poolerLimit(unsigned slots)
{
    return slots + 1;
}

} // namespace Chervilpin::Sessions::Placement
