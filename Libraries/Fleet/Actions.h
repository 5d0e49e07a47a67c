#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Fleet/Heartbeat.h>
#include <Fleet/Records.h>

#include <string>
#include <utility>
#include <variant>
#include <vector>

/// What the fleet's decisions ask of the shell around them.
namespace Chervilpin::Fleet {

using CallId = std::uint64_t;

/// Writes a record if it still has the expected revision; 0 creates it.
struct WriteRecord
{
    CallId id = 0;
    Record record;
    Revision expected = 0;
};

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
};

/// Asks a database for its status, in any order and without retries.
struct QueryStatus
{
    Core::GroupName group;
    Core::DatabaseName database;
};

/// Which primary this proxy may use, and until when.
struct PrimaryLease
{
    Core::GroupName group;
    Revision revision = 0;
    Core::DatabaseName database;
    PrimaryPhase phase = PrimaryPhase::Active;
    Core::Instant validUntil; ///< Nothing may be sent to the primary from then on.
};

/// The proxies that take part changed.
struct MembersChanged
{
    std::vector<MemberRecord> members; ///< Without those that are retired.
    std::size_t known = 0;             ///< With them.
};

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
    Unknown,  ///< No answer; it may have been done or may be done later.
};

enum class OrderOutcome {
    Accepted,
    NotRunning, ///< The database can't be promoted.
    Unknown,    ///< No answer, or refused for now.
};

} // namespace Chervilpin::Fleet
