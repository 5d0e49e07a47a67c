#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Core/Pace.h>
#include <Sessions/Actions.h>
#include <Sessions/FreshnessTracker.h>
#include <Sessions/RoutingTable.h>
#include <Sessions/SessionState.h>
#include <Sessions/Timing.h>

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Chervilpin::Sessions {

/// What an answer that a connection owes is for.
enum class ReplyPurpose {
    Setup,   ///< Brings the connection to a session's state.
    Begin,   ///< Starts a transaction.
    Caller,  ///< A caller's own statement.
    Cleanup, ///< Rolls back what a caller left.
    Status,
};

/// One connection to a database.
struct Connection
{
    enum class State {
        Opening,
        Idle,
        InUse,      ///< To a session, for a statement or a transaction.
        CleaningUp, ///< Its session is gone; its transaction is being rolled back.
    };

    struct PendingReply
    {
        ReplyPurpose purpose = ReplyPurpose::Caller;
        Core::Instant sentAt;
    };

    ConnectionId id = 0;
    Core::GroupName group;
    Core::DatabaseName database;
    Core::TeamName team;
    State state = State::Opening;
    ConnectionContext context;
    std::deque<PendingReply> pendingReplies;
    SessionId session = 0;
    bool isInTransaction = false;
    Core::Instant since; ///< Of the state.
    /// The proxy that holds the real connection; empty if this one does. Such a connection is a
    /// channel, made for one operation.
    Core::NodeName pooler;

    [[nodiscard]] bool isChannel() const { return !pooler.isEmpty(); }

    void enter(State next, Core::Instant now)
    {
        state = next;
        since = now;
    }
};

/// What this proxy knows and holds of one database.
struct Database
{
    DatabaseEntry entry;
    std::set<ConnectionId> connections;
    Core::LogMark lastKnownMark; ///< The end of its log, as last seen.
    Core::Duration lag;          ///< How old the state was that it last showed.
    Core::Instant
        lastPlacedAt;         ///< When a statement was last sent, whose answer shows the lag anew.
    unsigned outstanding = 0; ///< Statements that take a slot and aren't answered.
    double serviceMilliseconds = 0; ///< From sending to answer, smoothed.
    Core::Instant lastReply;
    Core::Instant failingSince; ///< Of connections that failed, without an answer since.
    unsigned failures = 0;      ///< Since then.
    Core::Instant openAfter;    ///< No new connection is opened before.
    Core::Pace evictions;       ///< Of idle connections, for those of other teams.
    std::size_t observedConnectionLimit =
        0;                            ///< Connections that were open when it refused another one.
    Core::Instant observedLimitUntil; ///< Until when that is taken as its limit.
    /// Statements go to it directly before, as its pooler could not reach it.
    Core::Instant bypassPoolerUntil;
    bool isDelisted = false; ///< Not listed any more; kept while connections are lent.

    /// Whether several connections failed, and none has worked since.
    [[nodiscard]] bool isUnreachable(Core::Instant now) const
    {
        constexpr unsigned leastFailures = 2;
        return failingSince != Core::Instant() && failures >= leastFailures
            && now >= failingSince + primaryUnreachableTimeout;
    }
};

/// What this proxy knows of a group of databases.
struct Group
{
    Core::GroupName name;
    std::vector<Core::DatabaseName> databases;
    FreshnessTracker freshness;

    std::uint64_t revision = 0; ///< Of the record that names the primary.
    Core::DatabaseName primary;
    bool isPrimaryActive = false;
    Core::Instant leaseExpiry;
    std::uint64_t releasedRevision = 0; ///< The revision that was reported as released.
    Core::Instant releaseDeadline;      ///< When what is still in flight at an old primary is cut.
    Core::DatabaseName previousPrimary; ///< Until released.
    Core::Instant previousLeaseExpiry;
    Core::Instant primarySince; ///< When this proxy learned of the present primary.
    Core::Instant nextProbeAt;  ///< When a statement tries an unreachable primary again.
    Core::Instant outageSince;  ///< A statement could not use it first; the origin if it can.
    bool isLeaseExpiryHandled = false; ///< What was in flight when the right ended has been cut.

    Core::LogMark highestMark;
    PrimaryHealth health = PrimaryHealth::Unknown;
    std::vector<SessionId> queue; ///< By priority, then by arrival.

    [[nodiscard]] bool mayUsePrimary(Core::Instant now) const
    {
        return isPrimaryActive && now < leaseExpiry;
    }
    /// Whether a success of this database may be passed on as one of the primary.
    [[nodiscard]] bool mayConfirm(const Core::DatabaseName &database, Core::Instant now) const
    {
        if (database == primary && mayUsePrimary(now))
            return true;
        return releasedRevision < revision && database == previousPrimary
            && now < previousLeaseExpiry;
    }
};

} // namespace Chervilpin::Sessions
