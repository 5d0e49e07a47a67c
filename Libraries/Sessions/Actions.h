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

/// Actions that the session engine requests from the code that performs its I/O.
namespace Chervilpin::Sessions {

using SessionId = std::uint64_t;    ///< Identifies a caller's connection; never reused.
using ConnectionId = std::uint64_t; ///< Identifies a database connection; never reused.

/// Tells a caller that its session is open.
struct AcceptSession
{
    SessionId session = 0;
};

/// Asks whether the session's team may start another operation. The answer is admitted() or
/// refused().
struct RequestAdmission
{
    SessionId session = 0;
    Core::TeamName team;
};

/// Returns an admission that was not used: the operation never reached a database, so it does not
/// count towards the rate of its team.
struct ReturnAdmission
{
    Core::TeamName team;
};

/// Why an operation was not admitted.
/// The role in which a proxy decided on a team's rate.
enum class RateDecider {
    Owner,       ///< The proxy that keeps the team's token bucket.
    ShareHolder, ///< A proxy that holds a share, as the owner did not answer.
};

struct RateRefusal
{
    Core::Duration retryAfter;
    double ratePerSecond = 0; ///< Rate limit of the team over the whole fleet.
    std::string decidedBy;    ///< The proxy that decided, or why none was asked.
    RateDecider decider = RateDecider::Owner;
};

/// The complete answer to a caller's statement.
struct AnswerSession
{
    SessionId session = 0;
    /// Rows and completion from the database; empty if the proxy answered by itself.
    std::string body;
    std::optional<Failure> failure;
    std::string text; ///< Describes the failure.
    TransactionState state = TransactionState::None;
    std::optional<Core::LogMark> mark;
};

/// Closes a caller's connection, after sending the error if there is one.
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
    Core::TeamName team; ///< Opened for this team; may be empty on routes open to all.
};

/// Closes a connection that is open or opening. Data not yet sent must not reach the database
/// afterwards.
struct CloseConnection
{
    ConnectionId connection = 0;
};

struct SendStatement
{
    ConnectionId connection = 0;
    Statement statement;
    /// The database refuses the statement unless it has applied this position.
    std::optional<Core::LogMark> atLeast;
};

/// Opens a link to a pooler.
struct OpenLink
{
    Core::NodeName node;
    std::string address; ///< IP:port.
};

/// Closes a link that is open or opening.
struct CloseLink
{
    Core::NodeName node;
};

/// Sends a liveness ping over the link.
struct PingLink
{
    Core::NodeName node;
};

/// Sends a statement over the link. The channel has the id of the connection that stands for it.
struct ForwardStatement
{
    Core::NodeName node;
    ConnectionId channel = 0;
    ForwardedStatement statement;
};

/// Closes a channel that the pooler may still have open.
struct CloseChannel
{
    Core::NodeName node;
    ConnectionId channel = 0;
};

/// The answer to a statement that another proxy forwarded to this one.
struct AnswerForwarded
{
    SessionId session = 0;
    ForwardedReply answer;
};

/// Health of a group's primary as observed by this proxy.
enum class PrimaryHealth {
    Unknown, ///< No recent replies or failures.
    Healthy,
    Suspect, ///< The database does not reply, or does not accept connections.
};

struct ReportHealth
{
    Core::GroupName group;
    PrimaryHealth health = PrimaryHealth::Unknown;
    Core::LogMark mark; ///< The highest log position seen.
};

/// Reports that this proxy has nothing in flight at primaries of older revisions.
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
    Sampled, ///< May be dropped by sampling.
    Always,
};

/// A line for the log.
struct LogLine
{
    Importance importance = Importance::Always;
    std::string name;
    std::vector<std::pair<std::string, std::string>> fields;
};

/// A completed statement, for counters and histograms.
struct CountOutcome
{
    std::string outcome; ///< `done`, or the name of the failure.
    bool isOnReplica = false;
    std::string_view reach; ///< Whether the statement left the data centre, and why.
    Core::Duration time;    ///< From arrival to answer.
    Core::Duration queued;  ///< The part of it before the statement was first sent.
};

using Action = std::variant<AcceptSession, RequestAdmission, ReturnAdmission, AnswerSession,
                            EndSession, OpenConnection, CloseConnection, SendStatement, OpenLink,
                            CloseLink, PingLink, ForwardStatement, CloseChannel, AnswerForwarded,
                            ReportHealth, ReportReleased, ReportStatus, LogLine, CountOutcome>;

} // namespace Chervilpin::Sessions
