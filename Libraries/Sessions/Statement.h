#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Sessions of callers over few connections to databases, as state machines without I/O.
namespace Chervilpin::Sessions {

enum class StatementKind {
    Begin,     ///< Starts a transaction that may write.
    BeginRead, ///< Starts a transaction that only reads.
    Commit,
    Rollback,
    Read,
    Write,
    SetValue,
    Prepare,
    Execute,
    Deallocate,
    Reset,     ///< Drops all values and prepared statements of a database connection.
    Status,    ///< Asks a database for its role and position.
    Malformed, ///< The caller's text is none of the above.
};

enum class Access {
    Read,
    Write,
};

/// One statement, of a caller or of the proxy itself.
struct Statement
{
    std::string id; ///< The caller's id of it; empty for statements of the proxy itself.
    StatementKind kind = StatementKind::Malformed;
    std::string name;             ///< Of the value or of the prepared statement.
    Access access = Access::Read; ///< Prepare: what the shape does.
    std::string arguments;        ///< What follows, to be passed on to the letter.
};

/// The state of a session or connection after an answer.
enum class TransactionState {
    None,
    Open,
    Failed, ///< Only its end is accepted, which rolls it back.
};

/// Why a statement failed.
enum class Failure {
    Busy,                 ///< Not run: no capacity now.
    Aborted,              ///< Not kept: the transaction was rolled back.
    Lagging,              ///< Not run: the database's log is too old.
    ReadOnly,             ///< Not run: the database isn't the primary.
    WrongDatabase,        ///< Not run: another database is at this address.
    ConnectionLimit,      ///< Not run: the database has all the connections that it takes.
    UnknownPrepared,      ///< Not run: no prepared statement of this name.
    InDoubt,              ///< It may have been kept.
    Timeout,              ///< It ran too long; it may have been kept.
    ExecutionFailed,      ///< It ran and failed.
    UnknownRoute,         ///< No route has the name that the caller connects to.
    AuthenticationFailed, ///< The key isn't known, or isn't any more.
    Malformed,            ///< The text or the moment is wrong.
    Other,                ///< A code that this program doesn't know.
};

[[nodiscard]] std::string_view toString(Failure);

enum class DatabaseRole {
    Replica,
    Primary,
};

/// What a database says of itself when it is asked.
struct DatabaseStatus
{
    DatabaseRole role = DatabaseRole::Replica;
    Core::Term term = 0;    ///< The newest term that it knows.
    Core::LogMark received; ///< The end of its log, which may not be applied yet.
};

/// A database's whole answer to one statement.
struct DatabaseReply
{
    std::string body; ///< Rows and completion, encoded as the caller is to get them.
    std::optional<Failure> failure;
    std::string failureText;
    TransactionState state = TransactionState::None;
    std::optional<Core::LogMark> mark; ///< The database's log at the answer.
    std::optional<DatabaseStatus> status;
};

} // namespace Chervilpin::Sessions
