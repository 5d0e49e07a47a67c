#include <Failover/FailureDetector.h>

#include <algorithm>

namespace Chervilpin::Failover {

namespace {
/// The connection id that stands for this module's own pings, which share one entry.
constexpr ConnectionId ownPingsConnection = 0;
/// Weight of the previous smoothed latency at each sample, out of totalLatencyWeight.
constexpr std::int64_t previousLatencyWeight = 3;
constexpr std::int64_t totalLatencyWeight = 4;
} // namespace

FailureDetector::FailureDetector(DetectionPolicy policy, Core::Instant now)
    : policy_(policy)
    , lastHeard_(now)
{ }

void FailureDetector::pinged(ConnectionId connection, Core::Instant now)
{
    unansweredSince_.try_emplace(connection, now);
}

void FailureDetector::answered(ConnectionId connection, Core::Instant now)
{
    unansweredSince_.erase(connection);
    lastHeard_ = now;
    wasHeard_ = true;
    refusedAt_.reset();
    newConnectionPingedAt_.reset();
}

void FailureDetector::pingedOnNewConnection(Core::Instant now)
{
    if (!newConnectionPingedAt_)
        newConnectionPingedAt_ = now;
}

void FailureDetector::pingAnswered(Core::Duration latency, Core::Instant now)
{
    if (policy_.countLateAnswers == Guard::Off && latency > policy_.silenceThreshold)
        return;
    answered(ownPingsConnection, now);
    // An increase applies immediately, since it delays suspicion; a decrease is smoothed.
    latency_ = std::max(latency, (latency_ * previousLatencyWeight + latency) / totalLatencyWeight);
}

void FailureDetector::connectionEnded(ConnectionId connection)
{
    unansweredSince_.erase(connection);
}

void FailureDetector::connectRefused(Core::Instant now)
{
    if (!refusedAt_)
        refusedAt_ = now;
}

Health FailureDetector::health(Core::Instant now) const
{
    if (isUnreachable(now))
        return Health::Unreachable;
    if (!wasHeard_)
        return Health::Unknown;
    if (hasSilentConnection(now))
        return Health::SilentConnections;
    return latency_ > policy_.slowLatencyThreshold ? Health::Slow : Health::Healthy;
}

bool FailureDetector::isSilent(ConnectionId connection, Core::Instant now) const
{
    const auto found = unansweredSince_.find(connection);
    return found != unansweredSince_.end() && now - found->second >= threshold();
}

bool FailureDetector::shouldPingNewConnection(Core::Instant now) const
{
    return !newConnectionPingedAt_ && now - lastHeard_ >= policy_.newConnectionPingAfter;
}

Core::Duration FailureDetector::threshold() const
{
    const Core::Duration scaled =
        std::min(latency_ * policy_.silenceLatencyFactor, policy_.maximumSilenceThreshold);
    return std::max(policy_.silenceThreshold, scaled);
}

bool FailureDetector::isUnreachable(Core::Instant now) const
{
    // A database at its connection limit refuses new connections while it answers on the others.
    if (refusedAt_ && now - lastHeard_ >= policy_.refusedSilenceThreshold)
        return true;
    if (now - lastHeard_ < threshold())
        return false;
    if (policy_.requireNewConnectionPing == Guard::Off)
        return true;
    return newConnectionPingedAt_
        && now - *newConnectionPingedAt_ >= policy_.newConnectionPingTimeout;
}

bool FailureDetector::hasSilentConnection(Core::Instant now) const
{
    return std::ranges::any_of(unansweredSince_,
                               [&](const auto &entry) { return isSilent(entry.first, now); });
}

} // namespace Chervilpin::Failover
