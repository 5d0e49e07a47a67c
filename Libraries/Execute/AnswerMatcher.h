#pragma once

#include <Core/Milliseconds.h>
#include <Upstream/Messages.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Chervilpin::Execute {

/// Identifies one incarnation of a connection. A reopened connection gets a new generation.
struct ConnectionKey
{
    std::uint64_t connection = 0;
    std::uint64_t generation = 0;

    auto operator<=>(const ConnectionKey &) const = default;
};

/// Identifies the request that an answer belongs to. Chosen by the engine.
using RequestHandle = std::uint64_t;

/// Whether a request may be sent while the answer to another is pending.
enum class Sharing {
    Exclusive, ///< Statements: at most one pending per connection.
    Pipelined, ///< Status queries and others that occupy no slot: may be sent at any time.
};

/// Matches the answers of connections to requests.
///
/// A late or duplicate answer, or one from another connection, matches no request. While the answer
/// to a statement is pending, the connection takes no other statement, even if the caller of the
/// first has disconnected.
class AnswerMatcher
{
public:
    void opened(ConnectionKey connection, Core::Instant now);
    /// Registers a request that is about to be sent. Returns std::nullopt if the connection is not
    /// open, or if the request is exclusive and another statement is pending.
    [[nodiscard]] std::optional<Upstream::CorrelationId>
    ask(ConnectionKey connection, RequestHandle request, Sharing sharing, Core::Instant now);
    /// Returns the request that an answer belongs to, or std::nullopt if no request matches or the
    /// request was abandoned.
    [[nodiscard]] std::optional<RequestHandle>
    answered(ConnectionKey connection, Upstream::CorrelationId correlation, Core::Instant now);
    /// Discards the answer when it arrives. An abandoned statement keeps the connection occupied
    /// until then.
    void abandon(ConnectionKey connection, Upstream::CorrelationId correlation, Core::Instant now);
    /// Removes a connection that has closed. Returns its pending requests, without abandoned ones.
    [[nodiscard]] std::vector<RequestHandle> closed(ConnectionKey connection, Core::Instant now);

    /// Whether the connection is open and has no pending statement.
    [[nodiscard]] bool isLendable(ConnectionKey connection) const;
    /// When the oldest pending request was sent, or std::nullopt if none is pending.
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
