#pragma once

#include <Authenticate/KeyText.h>
#include <Core/Name.h>
#include <Engine/Actions.h>
#include <Engine/CallerMessages.h>
#include <Execute/AttemptTracker.h>
#include <Route/Router.h>
#include <Session/SessionToken.h>
#include <Trace/TraceContext.h>
#include <Upstream/Messages.h>

#include <optional>
#include <string>
#include <vector>

namespace Chervilpin::Engine {

/// The filter that a request is in.
enum class Stage {
    Admit,
    Queue,
    Route,  ///< Waits for a sample of the primary.
    Borrow, ///< Waits for a connection of the chosen database.
    Execute,
    Confirm,
    Retry, ///< Waits until it may be routed again.
};

[[nodiscard]] const char *toString(Stage);

/// A statement of the request that was sent and not yet answered.
struct OpenAttempt
{
    Execute::AttemptId id = 0;
    ConnectionId connection = 0;
    Core::DatabaseName database;
    Route::SendTo target;
    Route::Stamp asked;
};

/// A caller's request from its arrival to its answer.
struct Request
{
    CallerRequest caller;
    Core::GroupName group;
    Core::TeamName team;       ///< Empty on routes open to all.
    Authenticate::KeyId keyId; ///< Empty on routes open to all.
    Session::SessionToken token;
    Route::Stamp arrived;
    Core::Instant deadline;

    Stage stage = Stage::Admit;
    Core::Instant stageSince;
    std::optional<Execute::AttemptTracker> attempts;
    std::vector<OpenAttempt> open;
    std::vector<Core::DatabaseName> excluded; ///< Databases that failed it.
    std::optional<Route::SendTo> target;      ///< Where it waits for a connection.
    Core::Instant retryAt;
    bool isTakenFromQueue = false; ///< The queue is to be told of its end.
    bool isHedged = false;
    std::optional<Core::Instant> cutAt;   ///< Its key was withdrawn; it may finish until then.
    std::string beginName;                ///< Begin: the name of the new transaction.
    std::optional<OpenAttempt> delivered; ///< The attempt whose answer will be the caller's.
    Upstream::Answer answer;              ///< Of that attempt.
    std::string failure; ///< What the database said of the last attempt that was not delivered.

    Trace::TraceContext trace;
    std::string callerSpanId; ///< The caller's own span, or empty.
    std::string stageSpanId;  ///< Of the filter that it is in.
    std::vector<Hop> hops;

    [[nodiscard]] bool isInTransaction() const { return !caller.transaction.empty(); }
    [[nodiscard]] bool isRead() const { return caller.kind == RequestKind::Read; }
    /// Whether it has to run on the primary and holds an effect.
    [[nodiscard]] bool isWriteLike() const { return !isRead(); }
};

/// The team that a request queues for; requests of routes open to all queue as one team.
[[nodiscard]] Core::TeamName ticketTeam(const Request &);

} // namespace Chervilpin::Engine
