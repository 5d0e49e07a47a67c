#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Core/Pace.h>
#include <Sessions/Actions.h>
#include <Sessions/DepartureControl.h>
#include <Sessions/FairOrder.h>
#include <Sessions/Forwarding.h>
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

/// What a pending reply of a connection belongs to.
enum class ReplyPurpose {
    Setup,   ///< Setting up a session's state on the connection.
    Begin,   ///< Starting a transaction.
    Caller,  ///< A caller's statement.
    Cleanup, ///< Rolling back a transaction whose session is gone.
    Status,
};

/// A connection to a database, or a channel to its pooler.
struct Connection
{
    enum class State {
        Opening,
        Idle,
        InUse,      ///< Assigned to a session for one statement or transaction.
        CleaningUp, ///< The session is gone and its transaction is being rolled back.
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
    Core::Instant since; ///< When the current state was entered.
    /// The proxy that holds the connection to the database; empty if this proxy does. A connection
    /// with a pooler is a channel, created for one operation.
    Core::NodeName pooler;

    [[nodiscard]] bool isChannel() const { return !pooler.isEmpty(); }

    void enter(State next, Core::Instant now)
    {
        state = next;
        since = now;
    }
};

/// What this proxy knows of one database, and its connections to it.
struct Database
{
    DatabaseEntry entry;
    std::set<ConnectionId> connections;
    Core::LogMark lastKnownMark; ///< The end of the log in the last reply.
    Core::Duration lag;          ///< Replication lag derived from the last reply.
    /// When a statement was last placed on it; its reply updates the lag.
    Core::Instant lastPlacedAt;
    unsigned outstanding = 0;       ///< Statements that were sent and not answered yet.
    double serviceMilliseconds = 0; ///< Time from sending to reply, as a moving average.
    /// What the pooler reported with its last answer, if it did.
    std::optional<PoolerLoad> reportedLoad;
    Core::Instant loadReportedAt;
    Core::Instant lastReply;
    /// When connections began to fail, with no reply since; the epoch if they don't fail.
    Core::Instant failingSince;
    unsigned failures = 0;   ///< Connection failures since failingSince.
    Core::Instant openAfter; ///< No new connection is opened before this time.
    Core::Pace evictions;    ///< Rate limit on evicting idle connections for other teams.
    /// Number of connections that were open when the database refused another one.
    std::size_t observedConnectionLimit = 0;
    Core::Instant observedLimitUntil; ///< Until when observedConnectionLimit applies.
    /// Until then, statements bypass the pooler, since one through it timed out.
    Core::Instant bypassPoolerUntil;
    Core::Instant coldUntil; ///< It is slow after its start until then.
    Core::Pace coldPace;     ///< Limits statements while it is cold.
    /// Since when statements placed on it can't be sent, as no connection or link to its pooler
    /// opens; the epoch if they can.
    Core::Instant unsentSince;
    Core::Instant reachProbeAt; ///< When it is tried again while it is unresponsive.
    bool isDelisted = false;    ///< Removed from the directory; kept while connections exist.

    /// Whether it is taken to be out of reach for now. Unlike isUnreachable(), this says nothing
    /// against its health.
    [[nodiscard]] bool isUnresponsive(Core::Instant now) const
    {
        return unsentSince != Core::Instant() && now >= unsentSince + unresponsiveTimeout;
    }

    /// Whether connections have failed repeatedly for at least primaryUnreachableTimeout, without a
    /// success.
    [[nodiscard]] bool isUnreachable(Core::Instant now) const
    {
        constexpr unsigned minimumFailures = 2;
        return failingSince != Core::Instant() && failures >= minimumFailures
            && now >= failingSince + primaryUnreachableTimeout;
    }
};

/// What this proxy knows of a group of databases, and the statements that wait for it.
struct Group
{
    Core::GroupName name;
    std::vector<Core::DatabaseName> databases;
    FreshnessTracker freshness;

    std::uint64_t revision = 0; ///< Revision of the record that names the primary.
    Core::DatabaseName primary;
    bool isPrimaryActive = false;
    Core::Instant leaseExpiry;          ///< Nothing may be sent to the primary at or after this.
    std::uint64_t releasedRevision = 0; ///< The last revision reported by ReportReleased.
    /// When connections still active at the previous primary are closed.
    Core::Instant releaseDeadline;
    Core::DatabaseName previousPrimary; ///< Set until its connections are released.
    Core::Instant previousLeaseExpiry;
    Core::Instant primarySince; ///< When this proxy learned of the current primary.
    Core::Instant nextProbeAt;  ///< When a statement may probe an unreachable primary again.
    /// A primary that there is no path to is probed until then, on behalf of this team.
    Core::Instant probedUntil;
    Core::TeamName probeTeam;
    /// When a statement first found the primary unusable; the epoch while it is usable.
    Core::Instant outageSince;
    /// Whether the connections active at the expiry of the lease were closed.
    bool isLeaseExpiryHandled = false;

    Core::LogMark highestMark;
    PrimaryHealth health = PrimaryHealth::Unknown;
    /// Waiting sessions, by priority, and within a priority fairly between teams.
    std::vector<SessionId> queue;
    FairOrder fairOrder;
    DepartureControl departures;

    [[nodiscard]] bool mayUsePrimary(Core::Instant now) const
    {
        return isPrimaryActive && now < leaseExpiry;
    }
    /// Whether a successful write on this database may be confirmed to the caller: this proxy must
    /// still hold a lease of it as the current or the previous primary.
    [[nodiscard]] bool mayConfirm(const Core::DatabaseName &database, Core::Instant now) const
    {
        if (database == primary && mayUsePrimary(now))
            return true;
        return releasedRevision < revision && database == previousPrimary
            && now < previousLeaseExpiry;
    }
};

} // namespace Chervilpin::Sessions
