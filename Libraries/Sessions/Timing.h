#pragma once

#include <Core/Milliseconds.h>
#include <Sessions/RoutingTable.h>

#include <algorithm>

namespace Chervilpin::Sessions {

/// A primary that answered nothing for this long, though it was asked, is suspected. The slowest
/// statements of the users take a third of a second.
constexpr Core::Duration primarySilenceTimeout{900};
/// A primary that refuses connections for this long is suspected; a restart of a database takes
/// longer.
constexpr Core::Duration primaryUnreachableTimeout{250};
/// How often groups and connections are looked at while something is outstanding.
constexpr Core::Duration reviewInterval{150};
/// After a connection failed, the next to the same database is tried after this.
constexpr Core::Duration reopenDelay{120};
/// A database that takes no more connections is asked for none beyond those for this long.
constexpr Core::Duration connectionLimitDelay{400};
/// A connection that rested this long is closed for another team's at once, and a younger one only
/// for a statement that waited evictionWaitTime. Opening costs a database about 12 ms of a slot.
constexpr Core::Duration evictionMinimumIdleTime{25};
constexpr Core::Duration evictionWaitTime{12};
/// All proxies together let the opening of connections in others' places take this part of a
/// database's slots. Without a bound, most of a loaded database's time goes into opening.
constexpr double evictionSlotFraction = 0.25;
/// Idle connections are closed after this where they are not worth keeping. A caller's next
/// statement mostly comes sooner.
constexpr Core::Duration idleConnectionTimeout{300};
/// Evictions that may be saved up while there are none.
constexpr double evictionBurst = 3.0;
/// How long opening a connection takes a slot.
constexpr double openSlotMilliseconds = 12.0;
/// A statement waits this long for a connection of its team that another statement uses, before
/// one is opened in another team's place.
constexpr Core::Duration ownConnectionWaitTime{30};
/// How long opening a connection may take; the databases take about 12 ms.
constexpr Core::Duration connectionOpenTimeout{1'500};
/// Connections of a proxy that left are shared by the others after this. Restarts and the
/// replacement of a VM take less.
constexpr Core::Duration departedMemberHoldTime{20'000};
/// How long a connection may take to be cleaned before it is closed.
constexpr Core::Duration cleanupTimeout{1'500};
/// Statements in flight and commits at a primary that is being replaced may end within this.
constexpr Core::Duration replacedPrimaryGracePeriod{250};
/// A read is repeated elsewhere this often at the most.
constexpr unsigned maximumAttempts = 4;
/// A replica that seems too far behind is tried with a read this often; a refusal costs it no slot.
constexpr Core::Duration lagProbeInterval{200};
/// Reads are proved fresh for an age this much lower than stated, for the way to the database.
constexpr Core::Duration ageMargin{100};
/// How long a withdrawn key's running transaction may go on; the users ask for seconds.
constexpr Core::Duration withdrawnKeyGracePeriod{1'500};
/// How long the balancer may go on sending callers after this proxy said that it isn't ready: two
/// questions, a second apart.
constexpr Core::Duration loadBalancerDelay{2'300};
/// The process ends this much before it would be killed.
constexpr Core::Duration stopMargin{700};
/// How long the removal of this member's record is waited for.
constexpr Core::Duration leaveTimeout{100};

/// A pooler that owes an answer and was quiet for this long is pinged.
constexpr Core::Duration pingDelay{100};
/// A pooler that answers no ping within this is taken as gone. A round trip takes a few
/// milliseconds, and a VM whose processor time is used up waits for a tenth of a second.
constexpr Core::Duration pingTimeout{200};
/// How long a link to a pooler may take to open; a round trip and a lost packet's second try.
constexpr Core::Duration linkOpenTimeout{300};
/// A pooler that refused is avoided for this long, as is the way through a pooler that can't reach
/// the database.
constexpr Core::Duration poolerBackoff{1'000};
/// Between the first two probes of a pooler that failed; doubled from one to the next. The restart
/// of a process takes about as long.
constexpr Core::Duration initialProbeInterval{100};

/// When a primary has been out of use for this long, statements that need it are refused at once.
/// Shorter interruptions are a planned change's, or of a connection; a replacement takes seconds.
constexpr Core::Duration primaryOutageThreshold{400};
/// Meanwhile one statement tries an unreachable primary this often.
constexpr Core::Duration unreachableProbeInterval{200};

/// How long a statement may wait for a database. A fifth of the latency objective leaves time for
/// the statement itself, and for the caller to come back elsewhere.
[[nodiscard]] inline Core::Duration queueTimeout(const Route &route)
{
    return std::min(route.latencyObjective / 2, route.statementTimeout / 2);
}

} // namespace Chervilpin::Sessions
