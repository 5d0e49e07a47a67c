#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Engine/CallerMessages.h>
#include <Peer/Message.h>
#include <Platform/Messages.h>
#include <Upstream/Messages.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// What the engine asks of the shell around it.
namespace Chervilpin::Engine {

/// Names a database connection for the life of the process; never used twice.
using ConnectionId = std::uint64_t;

struct AnswerCaller
{
    CallerAnswer answer;
};

/// Answers an operator's request over HTTP.
struct AnswerOperator
{
    RequestId id = 0;
    unsigned httpStatus = 200;
    std::string body; ///< JSON.
};

/// Opens a connection. Reported back by connectionOpened() or connectionEnded().
struct OpenConnection
{
    ConnectionId id = 0;
    Core::GroupName group;
    Core::DatabaseName database;
    std::string address; ///< IP:port.
};

/// Closes a connection, open or opening; nothing more is reported of it.
struct CloseConnection
{
    ConnectionId id = 0;
};

struct SendToDatabase
{
    ConnectionId connection = 0;
    Upstream::CorrelationId correlation = 0;
    Upstream::RequestBody body;
};

struct CallPlatform
{
    Platform::Call call;
};

struct SendToPeer
{
    std::string address; ///< IP:port.
    Peer::Outgoing message;
};

enum class EventLevel {
    Debug,
    Info,
    Warning,
};

struct EventField
{
    std::string key;
    std::string value;
};

/// Something for the log; a line with these fields.
struct LogEvent
{
    EventLevel level = EventLevel::Info;
    std::string name;
    std::vector<EventField> fields;
};

/// One finished hop of a request, on the local clock.
struct Hop
{
    std::string name; ///< The filter: `authenticate`, `queue`, `execute`…
    std::string spanId;
    std::string parentSpanId;
    Core::Instant start;
    Core::Instant end;
    std::string outcome;
};

/// All hops of one finished request.
struct RecordTrace
{
    std::string traceId;
    std::vector<Hop> hops;
};

/// Adds to a counter of the metrics page.
struct Count
{
    std::string name;
    std::string labels; ///< As in the Prometheus text format: `team="north"`.
    std::uint64_t amount = 1;
};

/// Everything is finished after shutDown(); the process can exit.
struct Stopped
{ };

using Action =
    std::variant<AnswerCaller, AnswerOperator, OpenConnection, CloseConnection, SendToDatabase,
                 CallPlatform, SendToPeer, LogEvent, RecordTrace, Count, Stopped>;

} // namespace Chervilpin::Engine
