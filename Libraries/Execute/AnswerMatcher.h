#pragma once

#include <Core/Milliseconds.h>
#include <Upstream/Messages.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Chervilpin::Execute {

/// One life of one connection. A connection that is opened anew gets a new generation.
struct ConnectionKey
{
    std::uint64_t connection = 0;
    std::uint64_t generation = 0;

    auto operator<=>(const ConnectionKey &) const = default;
};

/// Names what an answer belongs to; chosen by the engine.
using RequestHandle = std::uint64_t;

/// Whether a request may be sent while another one's answer is unread.
enum class Sharing {
    Exclusive, ///< Statements; one at a time on a connection.
    Pipelined, ///< Status queries and other requests that take no slot; beside anything else.
};

/// Matches the answers of connections to requests.
///
/// A late, doubled or foreign answer matches nothing. A connection with an unread answer is not
/// lent to another statement, even if the caller of the first has gone.
class AnswerMatcher
{
public:
    void opened(ConnectionKey connection, Core::Instant now);
    /// Notes a request that is about to be sent; nothing if the connection can't take it.
    [[nodiscard]] std::optional<Upstream::CorrelationId>
    ask(ConnectionKey connection, RequestHandle request, Sharing sharing, Core::Instant now);
    /// The request that an answer belongs to; nothing if it is none's or its caller has gone.
    [[nodiscard]] std::optional<RequestHandle>
    answered(ConnectionKey connection, Upstream::CorrelationId correlation, Core::Instant now);
    /// Nobody waits for the answer any more. The connection stays taken until it has come.
    void abandon(ConnectionKey connection, Upstream::CorrelationId correlation, Core::Instant now);
    /// The connection has ended; returns the requests that will get no answer.
    [[nodiscard]] std::vector<RequestHandle> closed(ConnectionKey connection, Core::Instant now);

    /// Whether the connection is open and owes no answer to a statement.
    [[nodiscard]] bool isLendable(ConnectionKey connection) const;
    /// When the oldest unread answer was asked for.
    [[nodiscard]] std::optional<Core::Instant> waitingSince(ConnectionKey connection) const;

private:
    struct PendingAnswer
    {
        std::optional<RequestHandle> request; ///< Empty once abandoned.
        Sharing sharing = Sharing::Exclusive;
        Core::Instant requestedAt;
    };
    struct Connection
    {
        Upstream::CorrelationId lastCorrelation = 0;
        std::map<Upstream::CorrelationId, PendingAnswer> pending;
    };

    [[nodiscard]] static bool hasPendingStatement(const Connection &);

    std::map<ConnectionKey, Connection> connections_;
};

} // namespace Chervilpin::Execute
