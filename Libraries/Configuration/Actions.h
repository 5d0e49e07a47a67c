#pragma once

#include <Configuration/FieldError.h>
#include <Configuration/Snapshot.h>

#include <Core/Milliseconds.h>
#include <Peer/Message.h>
#include <Platform/Messages.h>

#include <variant>
#include <vector>

/// What the configuration's decision objects ask their shell to do.
namespace Chervilpin::Configuration {

/// Names a proposal within one process.
using ProposalId = std::uint64_t;

/// A newer configuration is in force on this node from now on.
struct Apply
{
    SnapshotPointer snapshot;
};

enum class ProposalOutcome {
    Accepted,    ///< The log holds it; it will be in force everywhere.
    Refused,     ///< It can't be accepted as it is; see errors.
    Conflict,    ///< A resource was changed by somebody else; see errors and winner.
    Unavailable, ///< It was not accepted and never will be; the platform can't be used now.
    Unknown,     ///< It may have been accepted. Asking again with the same nonce tells.
};

struct ProposalAnswer
{
    ProposalId id = 0;
    ProposalOutcome outcome = ProposalOutcome::Unavailable;
    Revision revision = 0; ///< Of the accepted change, or the one that errors were found against.
    FieldErrors errors;
    std::string winner;  ///< The operator whose change came first, if known.
    std::string message; ///< One sentence for people.
};

enum class EventKind {
    Applied,             ///< A newer revision came in force.
    CaughtUpFromPeer,    ///< A snapshot of a peer was taken over.
    StoreWentBack,       ///< The platform answers older than before; what is in force stays.
    StoreRepaired,       ///< A change that the platform had lost was written back.
    LogForked,           ///< Two different changes bear one number; the later seen is ignored.
    PlatformGarbage,     ///< An object of the log can't be read.
    PeerGarbage,         ///< A message of a peer can't be read.
    PlatformUnavailable, ///< A call had no answer; it will be retried.
    SnapshotWritten,     ///< The platform holds a newer snapshot.
};

/// The lower_case name of an event in logs.
[[nodiscard]] std::string_view toString(EventKind);

struct Event
{
    EventKind kind = EventKind::Applied;
    Revision revision = 0;
    std::string detail;
};

using Action = std::variant<Platform::Call, Peer::Outgoing, Apply, ProposalAnswer, Event>;
using Actions = std::vector<Action>;

} // namespace Chervilpin::Configuration
