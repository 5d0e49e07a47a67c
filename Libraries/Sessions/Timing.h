#pragma once

#include <Core/Milliseconds.h>
#include <Sessions/RoutingTable.h>

#include <algorithm>
#include <cstddef>

namespace Chervilpin::Sessions {

/// A primary that has not replied for this long to a pending statement is suspected. The slowest
/// user statements take a third of a second.
constexpr Core::Duration primarySilenceTimeout{900};
/// A primary that has refused connections for this long is suspected. A restart of a database takes
/// longer.
constexpr Core::Duration primaryUnreachableTimeout{250};
/// A database is passed over if nothing could be sent to it for this long. Opening a connection or
/// a link takes tens of milliseconds.
constexpr Core::Duration unresponsiveTimeout{150};
/// Interval at which groups and connections are checked while work is pending.
constexpr Core::Duration reviewInterval{150};
/// Delay before reconnecting to a database after a failed connection.
constexpr Core::Duration reopenDelay{120};
/// After a database refused a connection because of its limit, this proxy keeps to the number that
/// is open for this long.
constexpr Core::Duration connectionLimitDelay{400};
/// A connection that has been idle this long may be evicted for another team at once. One that was
/// used more recently is evicted only for a statement that has waited for evictionWaitTime, since
/// opening a connection occupies a slot of the database for about 12 ms.
constexpr Core::Duration evictionMinimumIdleTime{25};
constexpr Core::Duration evictionWaitTime{12};
/// Maximum fraction of a database's slot time that all proxies together spend on opening
/// connections in place of evicted ones. Without this limit, a loaded database spends most of its
/// time on opening connections.
constexpr double evictionSlotFraction = 0.25;
/// Idle connections are closed after this time where ConnectionLimits does not keep them. The next
/// statement of a caller usually arrives sooner.
constexpr Core::Duration idleConnectionTimeout{300};
/// Burst size of the rate limit on evictions.
constexpr double evictionBurst = 3.0;
/// Slot time that opening a connection takes.
constexpr double openSlotMilliseconds = 12.0;
/// How long a statement waits for a connection of its own team that is in use, before a connection
/// of another team is evicted.
constexpr Core::Duration ownConnectionWaitTime{30};
/// Timeout of opening a connection; databases usually take about 12 ms.
constexpr Core::Duration connectionOpenTimeout{1'500};
/// How long the connection share of a departed proxy is held before the others divide it. Restarts
/// and the replacement of a VM take less time.
constexpr Core::Duration departedMemberHoldTime{20'000};
/// Timeout of cleaning up a connection whose session is gone, after which it is closed.
constexpr Core::Duration cleanupTimeout{1'500};
/// How long statements and commits in flight at a primary that is being replaced may take to
/// complete.
constexpr Core::Duration replacedPrimaryGracePeriod{250};
/// Maximum number of attempts of a statement.
constexpr unsigned maximumAttempts = 4;
/// A caller isn't read from while this many of its statements wait for an earlier one, or if they
/// are longer than this together. A message may be as long.
constexpr std::size_t maximumPipelinedStatements = 1'000;
constexpr std::size_t maximumPipelinedBytes = std::size_t{1'024} * 1'024;
/// Interval at which a replica that seems to lag too far is probed with a read. A refusal takes no
/// slot of the replica.
constexpr Core::Duration lagProbeInterval{200};
/// Deducted from the maximum age of a read, to allow for the network delay to the database.
constexpr Core::Duration ageMargin{100};
/// Interval at which statements that wait for a cold database are looked at.
constexpr Core::Duration coldReviewInterval{50};
/// How long a running statement or transaction may continue after its key was withdrawn. Users
/// expect this to take effect within seconds.
constexpr Core::Duration withdrawnKeyGracePeriod{1'500};
/// How long the load balancer may keep sending callers after this proxy reported that it is not
/// ready: two health checks, a second apart.
constexpr Core::Duration loadBalancerDelay{2'300};
/// The process exits this long before the deadline at which it would be killed.
constexpr Core::Duration stopMargin{700};
/// Timeout of removing this member's record.
constexpr Core::Duration leaveTimeout{100};

/// A pooler with pending answers that has been silent for this long is pinged.
constexpr Core::Duration pingDelay{100};
/// A pooler that does not answer a ping within this time is considered failed. A round trip takes a
/// few milliseconds, but a VM that has used up its processor quota is stalled for a tenth of a
/// second.
constexpr Core::Duration pingTimeout{200};
/// Timeout of opening a link to a pooler: a round trip and one retransmission.
constexpr Core::Duration linkOpenTimeout{300};
/// How long a pooler that refused a statement is avoided, for one database or for all, and how long
/// a database is accessed directly after a statement through its pooler timed out.
constexpr Core::Duration poolerBackoff{1'000};
/// Interval between the first two probes of a failed pooler; doubled after each probe. The restart
/// of a process takes about as long.
constexpr Core::Duration initialProbeInterval{100};

/// Once a primary has been unusable for this long, statements that need it are refused at once.
/// Planned changes of primary and lost connections cause shorter interruptions; a failover takes
/// seconds.
constexpr Core::Duration primaryOutageThreshold{400};
/// Interval at which an unreachable primary is probed: by a statement that is let through, or by
/// opening a connection if there is no path for a statement.
constexpr Core::Duration unreachableProbeInterval{200};
/// How long a primary without a path is probed after a caller last asked for it. Callers usually
/// try again within a second.
constexpr Core::Duration probeDuration{1'000};

/// A pooler's report of the load of its database counts for this long. A loaded pooler answers many
/// statements in that time.
constexpr Core::Duration reportedLoadLifetime{500};
/// Retry delay of callers whose statement waited in vain: no estimate is known to be better.
constexpr Core::Duration lackOfRoomRetryDelay{200};

/// How long a statement may wait for a database: at most half of the latency objective and half of
/// the statement timeout, so that time is left to run the statement or to retry elsewhere.
[[nodiscard]] inline Core::Duration queueTimeout(const Route &route)
{
    return std::min(route.latencyObjective / 2, route.statementTimeout / 2);
}

} // namespace Chervilpin::Sessions
