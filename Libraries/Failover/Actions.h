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

/// Matches databaseAnswer() and databaseRequestFailed() to a SendToDatabase.
using RequestToken = std::uint64_t;

/// Which connection carries a request.
enum class ConnectionChoice {
    PreferOpen, ///< Any open one that isn't busy, or a new one if there is none.
    OpenNew,    ///< One opened for this request.
};

/// Sends a request that takes no slot. The engine reports its answer or its failure by the token.
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

/// From now on statements of the group are routed under this term, to this database.
struct PrimaryKnown
{
    Core::GroupName group;
    Core::Term term = 0;
    Core::DatabaseName database;
    Core::HalfName owner; ///< The half that owns the group in this term.
};

/// New transactions and writes of the group are refused as not run until the group's next
/// PrimaryKnown, and at most for `remaining`.
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

/// One line for the log.
struct Event
{
    std::string name;
    std::vector<EventField> fields;
};

/// How long the parts of one failover took, as seen by its coordinator.
struct FailoverTimings
{
    Core::GroupName group;
    Core::Term term = 0;
    Core::Duration detect;  ///< From the old primary's last answer to the suspicion.
    Core::Duration claim;   ///< To the start of fencing: peers' agreement and ranked delay.
    Core::Duration fence;   ///< To the answers of a majority.
    Core::Duration promote; ///< To the answer of the new primary.
    Core::Duration learn;   ///< To the first answer of another peer or database that follows.
};

using Action = std::variant<SendToDatabase, CallPlatform, SendToPeer, PrimaryKnown, GroupDraining,
                            Event, FailoverTimings>;
using Actions = std::vector<Action>;

} // namespace Chervilpin::Failover
