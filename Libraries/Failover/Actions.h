#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Peer/Message.h>
#include <Platform/Messages.h>
#include <Upstream/Messages.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Chervilpin::Failover {

/// Correlates databaseAnswer() and databaseRequestFailed() with a SendToDatabase.
using RequestToken = std::uint64_t;

/// Which connection carries a request.
enum class ConnectionChoice {
    PreferOpen, ///< Any idle open connection, or a new one if there is none.
    OpenNew,    ///< A connection opened for this request.
};

/// Sends a request without taking a concurrency slot. The engine reports its answer or its failure
/// by the token.
struct SendToDatabase
{
    Core::DatabaseName database;
    Upstream::RequestBody body;
    RequestToken token = 0;
    ConnectionChoice connection = ConnectionChoice::PreferOpen;
};

struct CallPlatform
{
    Platform::Call call;
};

struct SendToPeer
{
    Peer::Outgoing message;
};

/// Statements of the group are now routed under this term, to this database.
struct PrimaryKnown
{
    Core::GroupName group;
    Core::Term term = 0;
    Core::DatabaseName database;
    Core::HalfName owner; ///< The half that owns the group in this term.
};

/// New transactions and writes of the group are refused, and reported as not run, until the group's
/// next PrimaryKnown, for `remaining` at most.
struct GroupDraining
{
    Core::GroupName group;
    Core::Term term = 0; ///< The term that will follow.
    Core::Duration remaining;
};

struct EventField
{
    std::string name;
    std::string value;
};

/// A log line.
struct Event
{
    std::string name;
    std::vector<EventField> fields;
};

/// Durations of the phases of one failover, as measured by its coordinator.
struct FailoverTimings
{
    Core::GroupName group;
    Core::Term term = 0;
    Core::Duration detect;  ///< From the old primary's last answer to its suspicion.
    Core::Duration claim;   ///< To the start of fencing: confirmation by peers and rank delay.
    Core::Duration fence;   ///< To a majority's fence answers.
    Core::Duration promote; ///< To the new primary's answer to the promotion.
    Core::Duration learn;   ///< To the first confirmation that another database follows it.
};

using Action = std::variant<SendToDatabase, CallPlatform, SendToPeer, PrimaryKnown, GroupDraining,
                            Event, FailoverTimings>;
using Actions = std::vector<Action>;

} // namespace Chervilpin::Failover
