#include <Failover/SuspicionPoll.h>

#include <algorithm>
#include <utility>

namespace Chervilpin::Failover {

namespace {

bool isDenial(Health health)
{
    return health == Health::Healthy || health == Health::Slow
        || health == Health::SilentConnections;
}

} // namespace

SuspicionPoll::SuspicionPoll(FailoverPolicy policy, ThisNode self)
    : policy_(policy)
    , self_(std::move(self))
{ }

void SuspicionPoll::start(const std::vector<PeerNode> &watchers, Core::Instant now)
{
    startedAt_ = now;
    queriedAt_.reset();
    ++queryId_;
    verdicts_.clear();
    const bool hasOtherDataCentre = std::ranges::any_of(
        watchers, [this](const PeerNode &node) { return node.dataCentre != self_.dataCentre; });
    for (const auto &node : watchers) {
        const bool isEligible = !hasOtherDataCentre || node.dataCentre != self_.dataCentre;
        if (node.name != self_.name && isEligible && verdicts_.size() < policy_.maximumPeersQueried)
            verdicts_[node.name] = std::nullopt;
    }
}

void SuspicionPoll::stop()
{
    startedAt_.reset();
    verdicts_.clear();
}

std::vector<Core::NodeName> SuspicionPoll::peersToQuery(Core::Instant now)
{
    if (!startedAt_ || (queriedAt_ && now - *queriedAt_ < policy_.peerQueryInterval))
        return {};
    queriedAt_ = now;
    std::vector<Core::NodeName> peers;
    peers.reserve(verdicts_.size());
    for (const auto &[peer, verdict] : verdicts_)
        peers.push_back(peer);
    return peers;
}

void SuspicionPoll::answered(const Core::NodeName &peer, std::uint64_t queryId, Health health)
{
    const auto found = verdicts_.find(peer);
    if (startedAt_ && queryId == queryId_ && found != verdicts_.end())
        found->second = health;
}

SuspicionPoll::Decision SuspicionPoll::decide(bool isRefused, Core::Instant now) const
{
    if (!startedAt_)
        return Decision::Pending;
    if (policy_.confirmWithPeers == Guard::Off)
        return Decision::Confirmed;
    const auto agreements = std::ranges::count_if(
        verdicts_, [](const auto &entry) { return entry.second == Health::Unreachable; });
    const auto denials = std::ranges::count_if(
        verdicts_, [](const auto &entry) { return entry.second && isDenial(*entry.second); });
    if (agreements > 0 && agreements >= denials)
        return Decision::Confirmed;
    const Core::Duration confirmationTimeout =
        isRefused ? policy_.refusedUnconfirmedTimeout : policy_.silentUnconfirmedTimeout;
    if (denials == 0 && now - *startedAt_ >= confirmationTimeout)
        return Decision::Unanswered;
    return Decision::Pending;
}

} // namespace Chervilpin::Failover
