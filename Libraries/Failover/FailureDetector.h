#pragma once

#include <Core/Milliseconds.h>
#include <Failover/Policy.h>

#include <cstdint>
#include <map>
#include <optional>

namespace Chervilpin::Failover {

/// Identifies one connection to a database within this process.
using ConnectionId = std::uint64_t;

/// One node's assessment of a database.
enum class Health {
    Unknown,           ///< No answer yet, and not silent long enough.
    Healthy,           ///< Answers in time.
    Slow,              ///< Answers late. Never triggers a promotion.
    SilentConnections, ///< Some connections get no answers while others do.
    Unreachable,       ///< No answers, on a new connection either; or connects are refused.
};

/// Distinguishes, from the point of view of this node, a failed database from a slow one and from a
/// silent connection.
class FailureDetector
{
public:
    FailureDetector(DetectionPolicy, Core::Instant now);

    /// A request that a live database answers immediately was sent.
    void pinged(ConnectionId, Core::Instant now);
    /// An answer of any kind arrived on this connection.
    void answered(ConnectionId, Core::Instant now);
    /// A ping was sent on a connection opened for it. Its answer is reported like any other.
    void pingedOnNewConnection(Core::Instant now);
    /// A ping of this module was answered with this latency.
    void pingAnswered(Core::Duration latency, Core::Instant now);
    void connectionEnded(ConnectionId);
    /// A connect was refused: the host is up, but no process listens.
    void connectRefused(Core::Instant now);

    [[nodiscard]] Health health(Core::Instant now) const;
    /// Whether a connect was refused and no answer has arrived since.
    [[nodiscard]] bool isRefused() const { return refusedAt_.has_value(); }
    [[nodiscard]] bool isSilent(ConnectionId, Core::Instant now) const;
    /// Whether a ping on a new connection is due.
    [[nodiscard]] bool shouldPingNewConnection(Core::Instant now) const;
    /// When the last answer arrived, or the construction time if none did.
    [[nodiscard]] Core::Instant lastHeard() const { return lastHeard_; }

private:
    [[nodiscard]] Core::Duration threshold() const;
    [[nodiscard]] bool isUnreachable(Core::Instant now) const;
    [[nodiscard]] bool hasSilentConnection(Core::Instant now) const;

    DetectionPolicy policy_;
    Core::Instant lastHeard_;
    bool wasHeard_ = false;
    Core::Duration latency_;
    std::optional<Core::Instant> refusedAt_;
    /// First ping on a new connection since the last answer.
    std::optional<Core::Instant> newConnectionPingedAt_;
    /// When the first unanswered ping of each connection was sent.
    std::map<ConnectionId, Core::Instant> unansweredSince_;
};

} // namespace Chervilpin::Failover
