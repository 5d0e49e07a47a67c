#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Sessions/SessionState.h>
#include <Sessions/Statement.h>

#include <cstdint>
#include <optional>
#include <string>

/// What two proxies say to each other about a statement that one of them has and the other runs.
///
/// A *channel* stands for one operation: a single statement, or all statements of a transaction.
namespace Chervilpin::Sessions {

/// A caller's statement, with all that the proxy at the database needs to run it.
struct ForwardedStatement
{
    Core::GroupName group;
    Core::DatabaseName database;
    Core::TeamName team;
    Core::RouteName route;           ///< For the log.
    std::uint32_t priority = 0;      ///< Of the route; 0 is the highest.
    Core::Duration statementTimeout; ///< Of the route.
    Core::Duration queueTimeout;     ///< It is refused if it could not start within this.
    bool isPrimaryNeeded = false;    ///< It may only run while the database is the primary.
    std::optional<Core::LogMark> atLeast;
    std::optional<StatementKind> begin; ///< Starts this transaction before the statement.
    SessionValues values;
    std::optional<PreparedShape> shape; ///< What the statement's prepared name stands for.
    Statement statement;
};

/// How far a forwarded statement got.
enum class ForwardedProgress {
    Stopping,    ///< The other proxy takes no more statements; nothing reached the database.
    NotAccepted, ///< It can't run statements on this database; nothing reached the database.
    NotSent,     ///< It failed before the caller's own statement was sent to the database.
    Sent,
};

struct ForwardedReply
{
    DatabaseReply reply;
    ForwardedProgress progress = ForwardedProgress::Sent;
};

} // namespace Chervilpin::Sessions
