#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Fleet/Records.h>
#include <Sessions/Actions.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Chervilpin::Fleet {

using Health = Sessions::PrimaryHealth;

/// The state of one group as the sender of a heartbeat knows it.
struct PrimaryReport
{
    Core::GroupName group;
    Revision revision = 0;
    Core::DatabaseName database;
    PrimaryPhase phase = PrimaryPhase::Active;
    Core::DatabaseName candidate; ///< In phase Ordered.
    Revision replaces = 0;        ///< As in PrimaryRecord.
    Core::Term term = 0;          ///< As in PrimaryRecord.
    bool isUnverified = false;    ///< As in PrimaryRecord.
    Revision adopted = 0;         ///< The sender no longer uses a primary of an older record.
    Health health = Health::Unknown;
    Core::LogMark mark; ///< The highest log position that the sender saw in the group.
};

/// A message from one proxy to another. Instants are of the sender's clock and are compared only by
/// the sender, when they come back as an echo.
struct Heartbeat
{
    Core::NodeName node;
    Core::Incarnation incarnation = 0;
    Core::Instant sentAt;

    /// The receiver's incarnation in its last heartbeat; 0 if none was received.
    Core::Incarnation echoIncarnation = 0;
    Core::Instant echoSentAt; ///< sentAt of the receiver's last heartbeat.
    Core::Duration echoHeld;  ///< How long ago that heartbeat was received.

    /// Time since the store confirmed the records that the sender knows; empty if it never did.
    std::optional<Core::Duration> confirmedAge;
    /// Whether the receiver was a member, not retired, at that time. False from a sender that is
    /// leaving, so that its heartbeats confirm no leases.
    bool isReceiverMember = false;
    /// Sum of hashes of the revisions of all primary records that the sender knows. Equal sums mean
    /// that sender and receiver know the same records.
    std::uint64_t recordsSum = 0;
    /// The highest revision of a primary record that the sender knows. A receiver whose records
    /// differ sends the newer ones.
    Revision newestRecord = 0;
    /// All groups if details were requested. Otherwise those whose records the receiver may lack,
    /// the groups whose primary is being replaced, not adopted yet or suspected, and, to the
    /// leader, those whose health is known.
    std::vector<PrimaryReport> primaries;
    std::uint64_t configurationVersion = 0;
    bool wantsReply = false;
    bool wantsDetails = false; ///< The receiver shall report all groups for fullReportDuration.
};

} // namespace Chervilpin::Fleet
