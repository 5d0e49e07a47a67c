#pragma once

#include <Core/Milliseconds.h>
#include <Failover/Policy.h>

#include <cstdint>
#include <map>
#include <optional>

namespace Chervilpin::Failover {

/// Names one connection to a database within this process.
using ConnectionId = std::uint64_t;

/// What one node makes of one database.
enum class Health {
    Unknown,           ///< Never heard of, and not yet silent for long enough.
    Healthy,           ///< It answers in time.
    Slow,              ///< It answers late. Never a reason for a promotion.
    SilentConnections, ///< Some connections give nothing while others work.
    Unreachable,       ///< Nothing answers, a new connection included; or connects are refused.
};

/// Tells a dead database from a slow one and from a connection that went silent, as seen from
/// this node.
class FailureDetector
{
public:
    FailureDetector(DetectionPolicy, Core::Instant now);

    /// A request that a live database answers at once was sent.
    void pinged(ConnectionId, Core::Instant now);
    /// Any answer came on this connection.
    void answered(ConnectionId, Core::Instant now);
    /// A ping was sent on a connection opened for it; its answer comes through answered().
    void pingedOnNewConnection(Core::Instant now);
    /// An answer to a ping of this module came, this long after the ping was sent.
    void pingAnswered(Core::Duration latency, Core::Instant now);
    void connectionEnded(ConnectionId);
    /// The machine is there, but nothing listens.
    void connectRefused(Core::Instant now);

    [[nodiscard]] Health health(Core::Instant now) const;
    /// Whether the last connect was refused and nothing was heard since.
    [[nodiscard]] bool isRefused() const { return refusedAt_.has_value(); }
    [[nodiscard]] bool isSilent(ConnectionId, Core::Instant now) const;
    /// Whether it is time to try a new connection.
    [[nodiscard]] bool shouldPingNewConnection(Core::Instant now) const;
    /// The last answer, or the start of watching.
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
    std::optional<Core::Instant>
        newConnectionPingedAt_; ///< First fresh ping since the last answer.
    std::map<ConnectionId, Core::Instant> unansweredSince_; ///< First ping without an answer since.
};

} // namespace Chervilpin::Failover
