#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Fleet/Heartbeat.h>
#include <Fleet/Records.h>

#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Actions that the fleet engine returns for its caller to perform.
namespace Chervilpin::Fleet {

using CallId = std::uint64_t;

/// Writes a record if its revision in the store equals \a expected. 0 creates the record.
struct WriteRecord
{
    CallId id = 0;
    Record record;
    Revision expected = 0;
};

/// Deletes a record if its revision in the store equals \a expected. The outcome is not reported.
struct DeleteRecord
{
    std::string key;
    Revision expected = 0;
};

struct SendHeartbeat
{
    std::string address; ///< IP:port.
    Heartbeat message;
};

/// Orders the platform to make a database the primary of its group.
struct OrderPromotion
{
    CallId id = 0;
    Core::GroupName group;
    Core::DatabaseName database;
    Revision token = 0; ///< Fencing token: the revision of the leader's record, just written.
    /// When the order is given up. No part of it may reach the platform later, since another order
    /// with a higher token may have been sent.
    Core::Instant endsBy;
};

/// Queries the status of a database. Answers may come in any order; failed queries are not retried.
struct QueryStatus
{
    Core::GroupName group;
    Core::DatabaseName database;
};

/// The primary that this proxy may use, and until when.
struct PrimaryLease
{
    Core::GroupName group;
    Revision revision = 0;
    Core::DatabaseName database;
    PrimaryPhase phase = PrimaryPhase::Active;
    /// Nothing may be sent to the primary at or after this; the epoch if there is no lease.
    Core::Instant validUntil;
};

/// The set of members changed.
struct MembersChanged
{
    std::vector<MemberRecord> members; ///< Those that are not retired.
    std::size_t known = 0;             ///< Number of all members, including retired ones.
};

/// An event for the log.
struct Event
{
    std::string name;
    std::vector<std::pair<std::string, std::string>> fields;
};

using Action = std::variant<WriteRecord, DeleteRecord, SendHeartbeat, OrderPromotion, QueryStatus,
                            PrimaryLease, MembersChanged, Event>;

enum class WriteOutcome {
    Done,
    Conflict, ///< The record has another revision; nothing was changed.
    Unknown,  ///< No answer; the write may have been done or may be done later.
};

enum class OrderOutcome {
    Accepted,
    NotRunning, ///< The database can't be promoted.
    Unknown,    ///< No answer, or refused for now.
};

} // namespace Chervilpin::Fleet
