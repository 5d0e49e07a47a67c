#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Multiplexes the sessions of callers over a small number of database connections. All types are
/// state machines without I/O.
namespace Chervilpin::Sessions {

enum class StatementKind {
    Begin,     ///< Starts a read-write transaction.
    BeginRead, ///< Starts a read-only transaction.
    Commit,
    Rollback,
    Read,
    Write,
    SetValue,
    Prepare,
    Execute,
    Deallocate,
    Reset,     ///< Discards all session values and prepared statements of a database connection.
    Status,    ///< Queries the role and log position of a database.
    Malformed, ///< The caller's text could not be parsed as any of the above.
};

enum class Access {
    Read,
    Write,
};

/// A statement sent by a caller or issued by the proxy itself.
struct Statement
{
    std::string id; ///< Assigned by the caller; empty for statements issued by the proxy.
    StatementKind kind = StatementKind::Malformed;
    std::string name;             ///< Name of the session value or prepared statement.
    Access access = Access::Read; ///< For Prepare: whether the prepared statement reads or writes.
    std::string arguments;        ///< The rest of the text, passed on verbatim.
};

/// Transaction state of a session or connection after a reply.
enum class TransactionState {
    None,
    Open,
    Failed, ///< Only COMMIT and ROLLBACK are accepted; both roll it back.
};

/// Why a statement failed.
enum class Failure {
    Busy,                 ///< Not run: no capacity at present.
    Aborted,              ///< Not committed: the transaction was rolled back.
    Lagging,              ///< Not run: the database has not applied the required log position.
    ReadOnly,             ///< Not run: the database is not the primary.
    WrongDatabase,        ///< Not run: another database is at this address.
    ConnectionLimit,      ///< Not run: the database has reached its connection limit.
    UnknownPrepared,      ///< Not run: no prepared statement has this name.
    InDoubt,              ///< It is unknown whether the statement was committed.
    Timeout,              ///< It exceeded its time limit; it may have been committed.
    ExecutionFailed,      ///< It ran and failed.
    UnknownRoute,         ///< No route exists for the requested database name.
    AuthenticationFailed, ///< The key is unknown or was withdrawn.
    Malformed,            ///< Invalid text, or not allowed in the current transaction state.
    Other,                ///< A failure code unknown to this version.
};

[[nodiscard]] std::string_view toString(Failure);

enum class DatabaseRole {
    Replica,
    Primary,
};

/// The status that a database reports about itself.
struct DatabaseStatus
{
    DatabaseRole role = DatabaseRole::Replica;
    Core::Term term = 0;     ///< The newest term known to the database.
    Core::LogMark received;  ///< The end of the received log, which may not be fully applied.
    Core::Instant queriedAt; ///< When the query was sent; the status is not older.
};

/// A database's complete reply to one statement.
struct DatabaseReply
{
    std::string body; ///< Rows and completion, encoded in the format sent to the caller.
    std::optional<Failure> failure;
    std::string failureText;
    TransactionState state = TransactionState::None;
    std::optional<Core::LogMark> mark; ///< Log position of the database when it replied.
    std::optional<DatabaseStatus> status;
};

} // namespace Chervilpin::Sessions
