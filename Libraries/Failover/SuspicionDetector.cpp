#include <Failover/SuspicionDetector.h>

#include <algorithm>

namespace Chervilpin::Failover {

namespace {
/// The connection number under which this module's own pings are counted.
constexpr ConnectionId ownPings = 0;
/// The smoothed latency keeps this share of its old value with each sample.
constexpr std::int64_t latencyMemory = 3;
constexpr std::int64_t latencyShares = 4;
} // namespace

SuspicionDetector::SuspicionDetector(DetectionPolicy policy, Core::Instant now)
    : policy_(policy)
    , lastHeard_(now)
{ }

void SuspicionDetector::pinged(ConnectionId connection, Core::Instant now)
{
    unanswered_.try_emplace(connection, now);
}

void SuspicionDetector::answered(ConnectionId connection, Core::Instant now)
{
    unanswered_.erase(connection);
    lastHeard_ = now;
    wasHeard_ = true;
    refusedAt_.reset();
    freshPingedAt_.reset();
}

void SuspicionDetector::pingedFresh(Core::Instant now)
{
    if (!freshPingedAt_)
        freshPingedAt_ = now;
}

void SuspicionDetector::pingAnswered(Core::Duration latency, Core::Instant now)
{
    if (policy_.answersProveLife == Guard::Off && latency > policy_.silenceThreshold)
        return;
    answered(ownPings, now);
    // A rise counts at once, since it delays suspicion; a fall is smoothed.
    latency_ = std::max(latency, (latency_ * latencyMemory + latency) / latencyShares);
}

void SuspicionDetector::connectionEnded(ConnectionId connection)
{
    unanswered_.erase(connection);
}

void SuspicionDetector::connectRefused(Core::Instant now)
{
    if (!refusedAt_)
        refusedAt_ = now;
}

Health SuspicionDetector::health(Core::Instant now) const
{
    if (isUnreachable(now))
        return Health::Unreachable;
    if (!wasHeard_)
        return Health::Unknown;
    if (hasSilentConnection(now))
        return Health::SilentConnections;
    return latency_ > policy_.slowLatency ? Health::Slow : Health::Healthy;
}

bool SuspicionDetector::isSilent(ConnectionId connection, Core::Instant now) const
{
    const auto found = unanswered_.find(connection);
    return found != unanswered_.end() && now - found->second >= threshold();
}

bool SuspicionDetector::wantsFreshPing(Core::Instant now) const
{
    return !freshPingedAt_ && now - lastHeard_ >= policy_.freshPingAfter;
}

Core::Duration SuspicionDetector::threshold() const
{
    const Core::Duration scaled =
        std::min(latency_ * policy_.silenceLatencyFactor, policy_.maximumSilence);
    return std::max(policy_.silenceThreshold, scaled);
}

bool SuspicionDetector::isUnreachable(Core::Instant now) const
{
    // A database with all its connections taken refuses new ones while it answers on the others.
    if (refusedAt_ && now - lastHeard_ >= policy_.refusedSilence)
        return true;
    if (now - lastHeard_ < threshold())
        return false;
    if (policy_.freshConnectionFirst == Guard::Off)
        return true;
    return freshPingedAt_ && now - *freshPingedAt_ >= policy_.freshPingAllowance;
}

bool SuspicionDetector::hasSilentConnection(Core::Instant now) const
{
    return std::ranges::any_of(unanswered_,
                               [&](const auto &entry) { return isSilent(entry.first, now); });
}

} // namespace Chervilpin::Failover
