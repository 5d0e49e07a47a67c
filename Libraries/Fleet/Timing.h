#pragma once

#include <Core/Milliseconds.h>

#include <cstddef>

namespace Chervilpin::Fleet {

/// Between two heartbeats to the same proxy without news. Keeps control traffic far below the
/// 2 KB/s that a node may spend.
constexpr Core::Duration heartbeatInterval{1'000};
/// Each proxy exchanges heartbeats with so many neighbours on either side, in an order of all
/// members by hash, and with the leader. What a proxy sends doesn't grow with the fleet.
constexpr std::size_t neighboursPerSide = 2;
/// A proxy without contact to the store for this long also asks other members than its neighbours
/// for confirmations. Longer than the wait of a quiet watch.
constexpr Core::Duration peerConfirmationDelay{4'500};
/// So many at a time.
constexpr std::size_t confirmationPeerCount = 3;
/// Proxies that know different records tell each other all of theirs this often at most.
constexpr Core::Duration recordSyncInterval{250};
/// A proxy that was asked for details gives them for so long: in its next two heartbeats.
constexpr Core::Duration fullReportDuration{2'000};
/// A majority of contacts that was heard counts for so long: two of the reviews that look for it.
constexpr Core::Duration majorityTimeout{500};
/// What a proxy that isn't a member said is kept for so long; its record may be about to come.
constexpr Core::Duration nonMemberRetention{60'000};
/// A proxy that can't say whether it is still a member, and hears less than half of its contacts,
/// acts no more as the owner of teams' rates. Retiring a silent member takes about as long.
constexpr Core::Duration ownerStoreTimeout{5'000};
/// A proxy that isn't heard for this long is taken as out of reach: two lost heartbeats.
constexpr Core::Duration peerTimeout{2'600};
/// A leader that had no contact with the store for this long is replaced if another has it. Longer
/// than the longest wait of a watch, after which a healthy leader always has contact.
constexpr Core::Duration leaderStoreTimeout{6'000};
/// Between two moments as of which the store confirmed the records, while there is contact with it:
/// the wait of a quiet watch and a slow answer. A feed that lost the store may go on answering, so
/// its answers alone show no contact.
constexpr Core::Duration maximumConfirmationGap{5'000};
/// A new leader judges primaries after this. Before, it knows only what its neighbours suspect;
/// then all members have told it what they see.
constexpr Core::Duration leaderSettleDelay{1'300};
/// A member that the leader didn't hear for this long is marked as retired. Longer than the usual
/// restart of a process.
constexpr Core::Duration memberRetirementTimeout{4'500};
/// A proxy that hears less than half of the members waits this long before it acts as if they were
/// gone; a cut between data centres mostly ends sooner.
constexpr Core::Duration minorityTimeout{10'000};
/// After a loss of the store, suspicions count only when this has passed, in which connections that
/// broke with it are opened again.
constexpr Core::Duration reconnectSettleDelay{1'000};
/// How often conditions are looked at for which nothing else wakes this proxy.
constexpr Core::Duration reviewInterval{250};
/// Successors of a leader try one after the other, this far apart, the strongest first.
constexpr Core::Duration successionInterval{150};
/// An order that a leader gave just before it lost the lead has ended after this: the time of the
/// call, and some for its way.
constexpr Core::Duration promotionOrderTimeout{1'500};
/// A leaving primary is used for so long at most while a member that can't be heard still holds a
/// lease to it. It goes on serving for 7 s or more, and the change itself takes a second.
constexpr Core::Duration drainingPrimaryTimeout{4'000};
/// Added to the time that a lease may last, for clocks that run at different speeds.
constexpr Core::Duration maximumClockDrift{200};

} // namespace Chervilpin::Fleet
