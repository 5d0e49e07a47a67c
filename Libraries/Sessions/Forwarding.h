#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Sessions/SessionState.h>
#include <Sessions/Statement.h>

#include <cstdint>
#include <optional>
#include <string>

/// Messages between the proxy that has a caller and the proxy that runs its statements.
///
/// A *channel* carries one operation: a single statement, or all statements of one transaction.
namespace Chervilpin::Sessions {

/// A caller's statement, with everything that the pooler needs to run it.
struct ForwardedStatement
{
    Core::GroupName group;
    Core::DatabaseName database;
    Core::TeamName team;
    Core::RouteName route;           ///< Only used for log lines.
    std::uint32_t priority = 0;      ///< Priority of the route; 0 is the highest.
    Core::Duration statementTimeout; ///< Time left until the deadline of the statement.
    Core::Duration queueTimeout;     ///< Refused if it has not started within this time.
    bool isPrimaryNeeded = false;    ///< Only run it while the database is the primary.
    std::optional<Core::LogMark> atLeast;
    std::optional<StatementKind> begin; ///< Transaction to start before the statement.
    SessionValues values;
    std::optional<PreparedShape> shape; ///< Definition of the prepared statement to execute.
    Statement statement;
};

/// How far a forwarded statement progressed.
enum class ForwardedProgress {
    Stopping,    ///< The pooler is shutting down; nothing reached the database.
    NotAccepted, ///< It can't run statements on this database; nothing reached the database.
    NotSent,     ///< The operation failed before the caller's statement was sent to the database.
    Sent,
};

/// The load of a database as its pooler reports it with an answer.
struct PoolerLoad
{
    Core::Duration wait;    ///< Expected time until the next statement of this priority can start.
    Core::Duration service; ///< The average time that a statement takes a slot.
};

struct ForwardedReply
{
    DatabaseReply reply;
    ForwardedProgress progress = ForwardedProgress::Sent;
    std::optional<PoolerLoad> load; ///< Empty from a pooler of an earlier build.
};

} // namespace Chervilpin::Sessions
