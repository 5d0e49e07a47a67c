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

/// One group in a heartbeat.
struct PrimaryReport
{
    Core::GroupName group;
    Revision revision = 0;
    Core::DatabaseName database;
    PrimaryPhase phase = PrimaryPhase::Active;
    Core::DatabaseName candidate; ///< While ordered.
    Revision replaces = 0;        ///< As in the record.
    Revision adopted = 0;         ///< The sender uses no primary of an older record any more.
    Health health = Health::Unknown;
    Core::LogMark mark; ///< The highest that the sender saw of the group.
};

/// One message between two proxies. Instants are of the sender's clock, and only the sender
/// compares them, when they come back as an echo.
struct Heartbeat
{
    Core::NodeName node;
    Core::Incarnation incarnation = 0;
    Core::Instant sentAt;

    Core::Incarnation echoIncarnation =
        0;                    ///< The receiver's incarnation in its last heartbeat; 0 if none came.
    Core::Instant echoSentAt; ///< The receiver's sentAt in it.
    Core::Duration echoHeld;  ///< How long ago it came.

    std::optional<Core::Duration> confirmedAge; ///< Since the store confirmed the primaries below.
    bool isReceiverMember = false; ///< Whether the receiver then was a member that isn't retired.
    /// Over the revisions of all primary records that the sender knows. Equal sums mean that both
    /// know the same records.
    std::uint64_t recordsSum = 0;
    /// All groups if details are asked for, else those where something is under way, and to the
    /// leader those whose primary the sender knows as well or suspects.
    std::vector<PrimaryReport> primaries;
    std::uint64_t configurationVersion = 0;
    bool wantsReply = false;
    bool wantsDetails = false; ///< The receiver is to report all groups for a while.
};

} // namespace Chervilpin::Fleet
