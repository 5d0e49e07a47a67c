#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Sessions/Actions.h>
#include <Sessions/RoutingTable.h>
#include <Sessions/SessionState.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Chervilpin::Sessions {

/// One statement of a caller on its way to its answer.
struct Operation
{
    enum class Stage {
        Queued,
        Preparing, ///< The connection is brought to the session's state.
        Beginning, ///< The transaction is being started.
        Executing,
    };

    Statement statement;
    Stage stage = Stage::Queued;
    Core::Instant arrived;
    Core::Instant deadline;      ///< The route's time-out of a statement.
    Core::Instant queueDeadline; ///< It is refused if it could not start until then.
    std::optional<Core::Instant> firstSentAt;
    ConnectionId connection = 0;
    Core::DatabaseName database;
    bool isOnReplica = false;
    std::optional<Core::LogMark> atLeast;
    std::vector<Core::DatabaseName> excludedDatabases; ///< Databases that refused it.
    unsigned attempts = 0;

    /// Whether the caller's own statement may have reached a database.
    [[nodiscard]] bool isExecuting() const { return stage == Stage::Executing; }
};

/// Where a statement has to run that another proxy forwarded.
struct ForwardedTarget
{
    Core::DatabaseName database;
    bool isPrimaryNeeded = false;
    std::optional<Core::LogMark> atLeast;
};

enum class TransactionStage {
    None,
    Deferred, ///< The caller was told that it began; no database knows of it yet.
    Open,     ///< On the pinned connection.
    Failed,   ///< Rolled back; waits for the caller to end it.
};

/// One caller's connection.
struct Session
{
    SessionId id = 0;
    std::string databaseName; ///< As the caller connected.
    std::string key;
    Core::TeamName team; ///< Empty on routes open to all.
    SessionState state;
    Core::LogMark lastCommitMark; ///< After its last commit.

    TransactionStage transaction = TransactionStage::None;
    StatementKind beginKind = StatementKind::Begin;
    ConnectionId pinnedConnection = 0;
    std::shared_ptr<const Route> route; ///< Of the running operation or transaction.
    /// Set if the caller is another proxy's, which has admitted and placed the operation.
    std::optional<ForwardedTarget> forwarded;

    std::optional<Operation> running;
    std::optional<Statement> awaitingAdmission; ///< Waits for its team's rate.
    std::deque<Statement> pipelined;            ///< Sent by the caller before the last answer.
    Core::Instant lastActive;
    std::optional<Core::Instant> terminateAt; ///< Then it is closed whatever it does.
    bool isCloseRequested = false;            ///< The shell was asked to close it.
    bool isDraining = false; ///< To be closed once nothing runs and no transaction is open.

    /// Whether the caller waits for an answer.
    [[nodiscard]] bool isBusy() const { return running || awaitingAdmission; }
};

} // namespace Chervilpin::Sessions
