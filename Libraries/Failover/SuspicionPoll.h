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

/// Asks other watchers of a group whether they too have lost the primary, and tells when a
/// promotion may start.
///
/// A wrong suspicion is harmless to data, because of fencing, but costs a write gap; so silence
/// of the peers delays a promotion and never forbids it.
class SuspicionPoll
{
public:
    enum class Decision {
        Pending,
        Confirmed,  ///< Peers in another data centre see the same.
        Unanswered, ///< No peer has said anything for long enough.
    };

    SuspicionPoll(FailoverPolicy, ThisNode);

    /// Starts to ask; \a watchers may include this node.
    void start(const std::vector<PeerNode> &watchers, Core::Instant now);
    void stop();
    [[nodiscard]] bool isActive() const { return startedAt_.has_value(); }
    [[nodiscard]] Core::Instant startedAt() const { return *startedAt_; }
    [[nodiscard]] std::uint64_t queryId() const { return queryId_; }

    /// The peers to ask now; empty while the last question is recent.
    [[nodiscard]] std::vector<Core::NodeName> peersToQuery(Core::Instant now);
    void answered(const Core::NodeName &, std::uint64_t queryId, Health);

    [[nodiscard]] Decision decide(bool isRefused, Core::Instant now) const;

private:
    FailoverPolicy policy_;
    ThisNode self_;
    std::optional<Core::Instant> startedAt_;
    std::optional<Core::Instant> queriedAt_;
    std::uint64_t queryId_ = 0;
    std::map<Core::NodeName, std::optional<Health>> verdicts_; ///< Of those asked.
};

} // namespace Chervilpin::Failover
