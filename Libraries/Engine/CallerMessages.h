#pragma once

#include <Core/Milliseconds.h>
#include <Core/Outcome.h>

#include <cstdint>
#include <string>
#include <vector>

/// What is said between callers and the proxy, free of any transport.
namespace Chervilpin::Engine {

/// Names a request within one process.
using RequestId = std::uint64_t;

enum class RequestKind {
    Read,
    Write,
    Begin,
    Commit,
    Rollback,
};

/// How fresh a read must be.
enum class Freshness {
    Session,   ///< Sees every write that the session token covers; without a token, Strong.
    StatedAge, ///< Sees every write confirmed longer ago than maximumAge, and the token's writes.
    Strong,    ///< Sees every write confirmed before the read was asked for.
};

/// Whether running a statement twice is the same as running it once.
enum class Repeatability {
    Idempotent,
    NotRepeatable,
};

struct CallerRequest
{
    RequestId id = 0;
    std::string key; ///< The caller's key; empty on routes open to all.
    std::string route;
    RequestKind kind = RequestKind::Read;
    std::string statement;
    Freshness freshness = Freshness::Session;
    Core::Duration maximumAge; ///< For StatedAge.
    Repeatability repeatability = Repeatability::NotRepeatable;
    Core::Duration deadline;  ///< Time left to the caller when the request came in.
    std::string sessionToken; ///< As given by an earlier answer, or empty.
    std::string transaction;  ///< As given by the answer to a Begin, or empty.
    std::string traceparent;  ///< The caller's W3C trace context, or empty.
};

/// Why a request was not done. The name in answers is the lower_case form.
enum class RefusalReason {
    None,
    BadRequest,       ///< The request can't be served as it is.
    UnknownKey,       ///< No key, or one that is unknown or withdrawn.
    UnknownRoute,     ///< No such route, or not for this team.
    RateExceeded,     ///< The team is over its rate and burst.
    QueueFull,        ///< The deadline can't be met with what is queued.
    DeadlinePassed,   ///< The deadline came before the statement was sent.
    NoPrimary,        ///< No primary is known or reachable now.
    NotFreshEnough,   ///< No reachable database is proved fresh enough.
    WrongHalf,        ///< The other half owns the group; see `location`.
    TransactionEnded, ///< The transaction is gone (rolled back), or isn't the caller's.
    NotReady,         ///< This proxy has no configuration yet; another will serve.
    ShuttingDown,     ///< This proxy is stopping; another will serve.
    UpstreamFailed,   ///< The database ran it, failed and undid it; the outcome is told as unknown.
    AnswerLost,       ///< It was sent and no answer came; the outcome is unknown.
};

[[nodiscard]] const char *toString(RefusalReason);

struct CallerAnswer
{
    RequestId id = 0;
    Core::Outcome outcome = Core::Outcome::NotRun;
    RefusalReason reason = RefusalReason::None;
    std::string message;           ///< One sentence for people.
    std::vector<std::string> rows; ///< Each a JSON text.
    std::string sessionToken;  ///< To be presented with the session's next request, at any proxy.
    std::string transaction;   ///< The transaction's name after Begin.
    Core::Duration retryAfter; ///< When to come back; zero: no hint.
    std::string location;      ///< Where the other half serves, for WrongHalf.
    std::string traceId;
};

} // namespace Chervilpin::Engine
