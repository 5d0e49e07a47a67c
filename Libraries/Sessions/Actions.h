#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Sessions/Forwarding.h>
#include <Sessions/Statement.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// What the session engine asks of the shell around it.
namespace Chervilpin::Sessions {

using SessionId = std::uint64_t;    ///< A caller's connection; never used twice.
using ConnectionId = std::uint64_t; ///< A database connection; never used twice.

/// Tells a caller that its session is open.
struct AcceptSession
{
    SessionId session = 0;
};

/// Asks whether the session's team may start one more operation; admitted() or refused() follows.
struct RequestAdmission
{
    SessionId session = 0;
    Core::TeamName team;
};

/// An admitted operation ended without reaching a database, so that it doesn't count for its team.
struct ReturnAdmission
{
    Core::TeamName team;
};

/// Why an operation may not start now.
struct RateRefusal
{
    Core::Duration retryAfter;
    double ratePerSecond = 0; ///< Of the team, over the whole fleet.
    std::string decidedBy;    ///< The proxy that keeps the team's rate, or why none was asked.
};

/// The whole answer to one statement of a caller.
struct AnswerSession
{
    SessionId session = 0;
    std::string body; ///< The database's rows and completion; empty if the proxy answers itself.
    std::optional<Failure> failure;
    std::string text; ///< Of the failure.
    TransactionState state = TransactionState::None;
    std::optional<Core::LogMark> mark;
};

/// Closes a caller's connection, after an error if there is one.
struct EndSession
{
    SessionId session = 0;
    std::optional<Failure> failure;
    std::string text;
};

struct OpenConnection
{
    ConnectionId connection = 0;
    Core::GroupName group;
    Core::DatabaseName database;
    std::string address; ///< IP:port.
    Core::TeamName team; ///< On whose behalf; empty on routes open to all.
};

/// Closes a connection, open or opening, so that nothing still under way reaches the database.
struct CloseConnection
{
    ConnectionId connection = 0;
};

struct SendStatement
{
    ConnectionId connection = 0;
    Statement statement;
    std::optional<Core::LogMark> atLeast; ///< The database must hold this, or refuse.
};

/// Opens the link to a proxy that is to run statements of this one.
struct OpenLink
{
    Core::NodeName node;
    std::string address; ///< IP:port.
};

/// Closes the link, open or opening.
struct CloseLink
{
    Core::NodeName node;
};

/// Asks for a sign of life over the link.
struct PingLink
{
    Core::NodeName node;
};

/// Sends a statement over the link; the connection's id names the channel.
struct ForwardStatement
{
    Core::NodeName node;
    ConnectionId channel = 0;
    ForwardedStatement statement;
};

/// Closes a channel that the other proxy may hold open.
struct CloseChannel
{
    Core::NodeName node;
    ConnectionId channel = 0;
};

/// The answer to a statement that another proxy forwarded here.
struct AnswerForwarded
{
    SessionId session = 0;
    ForwardedReply answer;
};

/// What this proxy sees of a group's primary in the answers that it gets.
enum class PrimaryHealth {
    Unknown, ///< It asked nothing lately.
    Healthy,
    Suspect, ///< The database neither answers nor takes connections.
};

struct ReportHealth
{
    Core::GroupName group;
    PrimaryHealth health = PrimaryHealth::Unknown;
    Core::LogMark mark; ///< The highest seen.
};

/// Nothing is in flight any more at primaries of records older than the revision.
struct ReportReleased
{
    Core::GroupName group;
    std::uint64_t revision = 0;
};

/// The answer to queryStatus().
struct ReportStatus
{
    Core::DatabaseName database;
    DatabaseStatus status;
};

enum class Importance {
    Sampled, ///< May be left out when there are many.
    Always,
};

/// A line for the log.
struct LogLine
{
    Importance importance = Importance::Always;
    std::string name;
    std::vector<std::pair<std::string, std::string>> fields;
};

/// One operation statement that ended; for counters and histograms.
struct CountOutcome
{
    std::string outcome; ///< `done`, or the failure's name.
    bool isOnReplica = false;
    Core::Duration time;   ///< From its arrival to its answer.
    Core::Duration queued; ///< Of that, until it was sent first.
};

using Action = std::variant<AcceptSession, RequestAdmission, ReturnAdmission, AnswerSession,
                            EndSession, OpenConnection, CloseConnection, SendStatement, OpenLink,
                            CloseLink, PingLink, ForwardStatement, CloseChannel, AnswerForwarded,
                            ReportHealth, ReportReleased, ReportStatus, LogLine, CountOutcome>;

} // namespace Chervilpin::Sessions
