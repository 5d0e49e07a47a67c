#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Core/Name.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// What is said between a proxy and one upstream database. Libraries/Wire/upstream.proto is the
/// same contract on the wire, and docs/CONTRACTS.md explains it.
namespace Chervilpin::Upstream {

/// Matches an answer to its request on one connection. Never used twice on a connection.
using CorrelationId = std::uint64_t;

enum class StatementKind {
    Read,
    Write,
    Begin,
    Commit,
    Rollback,
};

/// One statement. It takes a slot of the database while it runs.
struct Statement
{
    Core::Term term = 0; ///< The term it was routed under; a database that knows a higher refuses.
    StatementKind kind = StatementKind::Read;
    std::string text;
    Core::LogMark atLeast;          ///< A read runs only once the database holds this mark.
    Core::Duration wait;            ///< How long a read may wait for atLeast.
    std::string traceparent;        ///< W3C trace context.
    Core::Duration transactionIdle; ///< An idle transaction is rolled back after this.
    std::string transaction;        ///< Name of the transaction in the database's log, or empty.
};

/// Asks for the status; takes no slot. Waits up to `wait` until the database holds `atLeast`.
struct StatusQuery
{
    Core::LogMark atLeast;
    Core::Duration wait;
};

/// Raises the known term, after which lower terms are refused and the held mark is frozen.
struct Fence
{
    Core::Term term = 0;
};

/// Makes the database the primary of a term; refused unless its known term equals it.
struct Promote
{
    Core::Term term = 0;
};

/// Makes the database a replica of a term's primary.
struct Follow
{
    Core::Term term = 0;
    Core::DatabaseName primary;
    std::string primaryAddress; ///< IP:port of the primary.
};

using RequestBody = std::variant<Statement, StatusQuery, Fence, Promote, Follow>;

enum class Verdict {
    Done,   ///< It took effect.
    NotRun, ///< It had no effect and never will.
    Failed, ///< It ran, failed inside the database, and its effects were undone.
};

enum class Reason {
    None,
    Superseded,    ///< The database knows a higher term.
    NotPrimary,    ///< A write or BEGIN came to a replica.
    Behind,        ///< The database did not hold atLeast in time.
    NoTransaction, ///< The transaction of this connection was rolled back.
    BadStatement,  ///< The database can't make sense of the text.
    Overloaded,    ///< Too many statements wait already.
};

enum class Role {
    Replica,
    Primary,
};

/// What a database says of itself with each answer.
struct Status
{
    Core::Term knownTerm = 0; ///< The highest term it was told of.
    Core::LogMark held;       ///< Its last entry, with the term whose primary's log it follows.
    Role role = Role::Replica;
    Core::DatabaseName primary; ///< The primary that it follows, if any.
    std::uint32_t queued = 0;   ///< Statements that wait for a slot.
};

struct Answer
{
    Verdict verdict = Verdict::Done;
    Reason reason = Reason::None;
    std::string message;
    Status status;
    std::vector<std::string> rows; ///< Rows of a read, each a JSON text.
    std::uint64_t queuedMicroseconds = 0;
};

} // namespace Chervilpin::Upstream
