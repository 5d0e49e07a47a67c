#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

/// Chooses the database that executes a statement.
namespace Chervilpin::Sessions::Placement {

/// Used until the distance to a data centre has been measured.
constexpr double unknownRoundTripMilliseconds = 1.0;

/// What a statement requires of the database that executes it.
struct Requirement
{
    bool isPrimaryOnly = false;
    /// For reads: the log mark that a replica must have reached. Empty if no replica can be proved
    /// fresh.
    std::optional<Core::LogMark> mark;
    /// The time for which the primary is known to have reached the mark.
    Core::Duration markAge;
};

/// The properties of a database that may execute the statement.
struct Candidate
{
    std::size_t index = 0; ///< Identifies the candidate to the caller of choose().
    bool isPrimary = false;
    bool hasConnection = false; ///< Whether there is an idle connection of the team.
    bool canOpen = false; ///< Whether a connection may be opened, possibly by evicting another one.
    bool isCold = false;  ///< Whether it is slow after its start; chosen only if no other can be.
    bool isNear = false;  ///< Whether it is in the proxy's own data centre.
    unsigned outstanding = 0;       ///< Statements of this proxy that it has not answered.
    unsigned limit = 1;             ///< The maximum of outstanding.
    double serviceMilliseconds = 0; ///< The average time from sending a statement to its reply.
    /// The time to the database and back.
    double roundTripMilliseconds = unknownRoundTripMilliseconds;
    /// When a statement that arrives at the database can be expected to start, if its pooler has
    /// reported that. Then serviceMilliseconds is the time that a statement takes there.
    std::optional<double> waitMilliseconds;
};

/// Why a database was chosen that is or isn't in the proxy's own data centre.
enum class Reach {
    Near,
    FarIsFaster,
    OnlyFar, ///< No near database could take the statement.
};

[[nodiscard]] std::string_view toString(Reach);

/// A candidate and when it is expected to have finished the statement.
struct Option
{
    std::size_t index = 0;
    bool isPrimary = false;
    bool isCold = false;
    double milliseconds = 0;
};

/// Whether the option is expected to be the better one. A cold database is slow, whatever the
/// estimate says.
[[nodiscard]] bool isBetter(const Option &, const Option &other);

/// The best candidates in the proxy's own data centre and elsewhere.
struct Options
{
    std::optional<Option> near;
    std::optional<Option> far;
};

/// Returns the candidates that are expected to finish the statement first, among those below their
/// limit that have a connection or can open one. Reads prefer replicas to the primary, so that a
/// loaded primary keeps its slots for writes.
[[nodiscard]] Options findOptions(const Requirement &, std::span<const Candidate>);

/// Returns whether a replica is expected to have reached the required mark when the statement
/// arrives. Its last known log mark is \a known.
[[nodiscard]] bool isExpectedFresh(const Requirement &, Core::LogMark known, Core::Duration lag);

/// Returns the maximum number of statements that one proxy sends to a database at a time.
///
/// All proxies together keep the slots busy and a few statements queued at the database, so that no
/// slot idles for a round trip. More would only wait at the database, where they are not ordered by
/// priority.
[[nodiscard]] unsigned statementLimit(unsigned slots, std::size_t proxies);

/// The maximum number of statements that one proxy sends to the pooler of a database at a time.
/// They wait there, where they are ordered among those of all proxies and refused if they can't
/// start in time. Bounds what a pooler has to hold.
constexpr unsigned forwardedLimit = 32;

/// Returns the maximum number of statements that the pooler of a database sends to it at a time.
/// One statement is queued at the database, so that no slot idles for a round trip; all others wait
/// in the pooler's ordered queue.
[[nodiscard]] constexpr unsigned poolerLimit(unsigned slots)
{
    return slots + 1;
}

} // namespace Chervilpin::Sessions::Placement
