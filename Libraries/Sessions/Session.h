#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Sessions/Actions.h>
#include <Sessions/Placement.h>
#include <Sessions/RoutingTable.h>
#include <Sessions/SessionState.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Chervilpin::Sessions {

/// A caller's statement that is queued or being executed.
struct Operation
{
    enum class Stage {
        Queued,
        Preparing, ///< The session's state is being set up on the connection.
        Beginning, ///< The transaction is being started.
        Executing,
    };

    Statement statement;
    Stage stage = Stage::Queued;
    Core::Instant arrived;
    Core::Instant deadline;      ///< Arrival plus the statement timeout of the route.
    Core::Instant queueDeadline; ///< The statement is refused if it has not started by then.
    std::optional<Core::Instant> firstSentAt;
    ConnectionId connection = 0;
    Core::DatabaseName database;
    bool isOnReplica = false;
    std::optional<Core::LogMark> atLeast;
    std::vector<Core::DatabaseName> excludedDatabases; ///< Databases that refused the statement.
    unsigned attempts = 0;
    Placement::Reach reach = Placement::Reach::Near;
    double fairPosition = 0; ///< In FairOrder, among statements of the same priority.

    /// Whether the caller's statement may have reached a database.
    [[nodiscard]] bool isExecuting() const { return stage == Stage::Executing; }
};

/// The database and the conditions for a statement forwarded by another proxy.
struct ForwardedTarget
{
    Core::DatabaseName database;
    bool isPrimaryNeeded = false;
    std::optional<Core::LogMark> atLeast;
};

enum class TransactionStage {
    None,
    Deferred, ///< Acknowledged to the caller, but not yet started on a database.
    Open,     ///< Running on the pinned connection.
    Failed,   ///< Rolled back; the caller has yet to send COMMIT or ROLLBACK.
};

/// The session of one caller's connection.
struct Session
{
    SessionId id = 0;
    std::string databaseName; ///< Database name that the caller connected to.
    std::string key;
    Core::TeamName team; ///< Empty for callers without a known key on routes open to all.
    SessionState state;
    Core::LogMark lastCommitMark; ///< Log position after the last commit of this session.

    TransactionStage transaction = TransactionStage::None;
    StatementKind beginKind = StatementKind::Begin;
    ConnectionId pinnedConnection = 0;
    std::shared_ptr<const Route> route; ///< Route of the running operation or transaction.
    /// Set if another proxy forwarded the operation, which it has admitted and placed.
    std::optional<ForwardedTarget> forwarded;

    std::optional<Operation> running;
    std::optional<Statement> awaitingAdmission; ///< Waits for its team's rate limit.
    std::deque<Statement> pipelined; ///< Statements received while an earlier one was unanswered.
    std::size_t pipelinedBytes = 0;  ///< The length of these statements.
    bool isStartingNext = false;     ///< Whether statements are being taken from pipelined.
    Core::Instant lastActive;
    std::optional<Core::Instant> terminateAt; ///< When the session is closed even if it is busy.
    bool isCloseRequested = false;            ///< Whether EndSession was emitted.
    /// Whether the session is closed once nothing runs and no transaction is open.
    bool isDraining = false;

    void pushPipelined(Statement statement)
    {
        pipelinedBytes += statement.arguments.size();
        pipelined.push_back(std::move(statement));
    }

    [[nodiscard]] Statement popPipelined()
    {
        Statement next = std::move(pipelined.front());
        pipelined.pop_front();
        pipelinedBytes -= next.arguments.size();
        return next;
    }

    void clearPipelined()
    {
        pipelined.clear();
        pipelinedBytes = 0;
    }

    /// Whether the caller is waiting for an answer.
    [[nodiscard]] bool isBusy() const { return running || awaitingAdmission; }
};

} // namespace Chervilpin::Sessions
