#pragma once

#include <Core/Milliseconds.h>

#include <cstddef>

namespace Chervilpin::Fleet {

/// Interval of heartbeats to the same proxy if nothing changes. Keeps control traffic far below the
/// 2 KB/s that a node may spend.
constexpr Core::Duration heartbeatInterval{1'000};
/// Number of neighbours on either side with which a proxy exchanges heartbeats, in an order of all
/// members by hash; it also exchanges them with the leader. So the traffic of a proxy doesn't grow
/// with the fleet.
constexpr std::size_t neighboursPerSide = 2;
/// A proxy without contact to the store for this long also requests confirmations from members that
/// are not its neighbours. Longer than recordsWatchTimeout, so it doesn't happen just because
/// nothing changes.
constexpr Core::Duration peerConfirmationDelay{4'500};
/// Number of members that are asked for a confirmation with each round of heartbeats.
constexpr std::size_t confirmationPeerCount = 3;
/// Minimum interval between reports of records to a proxy that knows different ones.
constexpr Core::Duration recordSyncInterval{250};
/// Minimum interval between announcements of changed primary records to all members. Many records
/// change together when a data centre is lost or evacuated.
constexpr Core::Duration announcementInterval{100};
/// A proxy that was asked for details reports all groups for this long: in its next two heartbeats.
constexpr Core::Duration fullReportDuration{2'000};
/// A majority counts as heard for this long after a review last found it: two review intervals.
/// Here and below, a proxy counts itself, so at least half of its contacts make a majority.
constexpr Core::Duration majorityTimeout{500};
/// The last heartbeat of a proxy that isn't a member is kept for this long, since its member record
/// may be about to arrive.
constexpr Core::Duration nonMemberRetention{60'000};
/// A proxy that has had no confirmation from the store for this long, and hears less than half of
/// its contacts, stops acting as the owner of teams' rates, since it can't know whether it is still
/// a member. Retiring a silent member takes about as long.
constexpr Core::Duration ownerStoreTimeout{5'000};
/// A proxy from which no heartbeat arrived for this long is treated as unreachable: two heartbeats
/// were lost.
constexpr Core::Duration peerTimeout{2'600};
/// A leader that had no contact with the store for this long is replaced by a proxy that has it.
/// Longer than the longest wait of a watch, after which a healthy leader always has had contact.
constexpr Core::Duration leaderStoreTimeout{6'000};
/// Maximum time between two confirmations of the records by the store during which contact with it
/// counts as unbroken: the wait of a watch without changes and a slow answer. A feed that lost the
/// store may go on answering, so its answers alone don't prove contact with the store.
constexpr Core::Duration maximumConfirmationGap{5'000};
/// A new leader judges the health of primaries only after this. Before, it knows only what its
/// neighbours suspect; afterwards all members have reported to it.
constexpr Core::Duration leaderSettleDelay{1'300};
/// A member from which the leader receives no heartbeat for this long is marked as retired. Longer
/// than a process usually takes to restart.
constexpr Core::Duration memberRetirementTimeout{4'500};
/// A proxy that hears less than half of its contacts waits this long before it treats the others as
/// gone; a network partition between data centres mostly ends sooner.
constexpr Core::Duration minorityTimeout{10'000};
/// After contact with the store was regained, suspicions count only after this. Connections that
/// broke in the same partition are opened again in that time.
constexpr Core::Duration reconnectSettleDelay{1'000};
/// Suspicions of a primary that a replacement has found to be alive count only after this. A
/// connection that is opened again after a lost packet takes a second.
constexpr Core::Duration restorationSettleDelay{1'500};
/// Interval of reviews of conditions that no event announces.
constexpr Core::Duration reviewInterval{250};
/// Candidates for the leadership claim it one after the other at this interval, those with the
/// highest capacity first.
constexpr Core::Duration successionInterval{150};
/// An order has ended within this after the leader requested its token, by a write of the leader's
/// record. The orders of a previous leader, which wrote the record before, have then ended as well.
constexpr Core::Duration promotionOrderTimeout{2'000};
/// A token is not used if the store took longer than this to answer. Leaves time for the order.
constexpr Core::Duration maximumTokenAge{1'200};
/// A draining primary is used for at most this long while a silent member still holds a lease to
/// it. A draining database serves for 7 s or more, and replacing it takes a second.
constexpr Core::Duration drainingPrimaryTimeout{4'000};
/// A primary whose data centre is being evacuated is used for at most this long while a silent
/// member still holds a lease to it. The proxies use it only a little longer by themselves.
constexpr Core::Duration evacuatedPrimaryTimeout{800};
/// Added to the duration of a lease to allow for clocks that run at different rates.
constexpr Core::Duration maximumClockDrift{200};

} // namespace Chervilpin::Fleet
