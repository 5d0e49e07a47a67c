#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Failover/FailureDetector.h>
#include <Failover/Policy.h>
#include <Failover/Settings.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Chervilpin::Failover {

/// Asks other watchers of a group whether the primary is unreachable for them too, and decides when
/// a promotion may start.
///
/// Fencing keeps data safe even after a false suspicion, which only interrupts writes. Unresponsive
/// peers therefore delay a promotion but never prevent it.
class SuspicionPoll
{
public:
    enum class Decision {
        Pending,
        Confirmed,  ///< At least as many peers confirm the suspicion as deny it.
        Unanswered, ///< No peer has denied or confirmed it within the timeout.
    };

    SuspicionPoll(FailoverPolicy, ThisNode);

    /// Starts a poll; \a watchers may include this node. If any are in other data centres, only
    /// those are polled.
    void start(const std::vector<PeerNode> &watchers, Core::Instant now);
    void stop();
    [[nodiscard]] bool isActive() const { return startedAt_.has_value(); }
    [[nodiscard]] Core::Instant startedAt() const { return *startedAt_; }
    [[nodiscard]] std::uint64_t queryId() const { return queryId_; }

    /// The peers to query now; empty until peerQueryInterval has passed since the last query.
    [[nodiscard]] std::vector<Core::NodeName> peersToQuery(Core::Instant now);
    void answered(const Core::NodeName &, std::uint64_t queryId, Health);

    [[nodiscard]] Decision decide(bool isRefused, Core::Instant now) const;

private:
    FailoverPolicy policy_;
    ThisNode self_;
    std::optional<Core::Instant> startedAt_;
    std::optional<Core::Instant> queriedAt_;
    std::uint64_t queryId_ = 0;
    /// One entry per polled peer; nothing until it answers.
    std::map<Core::NodeName, std::optional<Health>> verdicts_;
};

} // namespace Chervilpin::Failover
