#include <Failover/PeerConsent.h>

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

PeerConsent::PeerConsent(FailoverPolicy policy, ThisNode self)
    : policy_(policy)
    , self_(std::move(self))
{ }

void PeerConsent::start(const std::vector<PeerNode> &watchers, Core::Instant now)
{
    startedAt_ = now;
    askedAt_.reset();
    ++queryId_;
    verdicts_.clear();
    const bool hasOtherDataCentre = std::ranges::any_of(
        watchers, [this](const PeerNode &node) { return node.dataCentre != self_.dataCentre; });
    for (const auto &node : watchers) {
        const bool isEligible = !hasOtherDataCentre || node.dataCentre != self_.dataCentre;
        if (node.name != self_.name && isEligible && verdicts_.size() < policy_.peersAsked)
            verdicts_[node.name] = std::nullopt;
    }
}

void PeerConsent::stop()
{
    startedAt_.reset();
    verdicts_.clear();
}

std::vector<Core::NodeName> PeerConsent::dueQuestions(Core::Instant now)
{
    if (!startedAt_ || (askedAt_ && now - *askedAt_ < policy_.peerWait))
        return {};
    askedAt_ = now;
    std::vector<Core::NodeName> peers;
    peers.reserve(verdicts_.size());
    for (const auto &[peer, verdict] : verdicts_)
        peers.push_back(peer);
    return peers;
}

void PeerConsent::answered(const Core::NodeName &peer, std::uint64_t queryId, Health health)
{
    const auto found = verdicts_.find(peer);
    if (startedAt_ && queryId == queryId_ && found != verdicts_.end())
        found->second = health;
}

PeerConsent::Decision PeerConsent::decide(bool isRefused, Core::Instant now) const
{
    if (!startedAt_)
        return Decision::Wait;
    if (policy_.askPeers == Guard::Off)
        return Decision::Agreed;
    const auto agreements = std::ranges::count_if(
        verdicts_, [](const auto &entry) { return entry.second == Health::Unreachable; });
    const auto denials = std::ranges::count_if(
        verdicts_, [](const auto &entry) { return entry.second && isDenial(*entry.second); });
    if (agreements > 0 && agreements >= denials)
        return Decision::Agreed;
    const Core::Duration patience =
        isRefused ? policy_.refusedWithoutPeers : policy_.silentWithoutPeers;
    if (denials == 0 && now - *startedAt_ >= patience)
        return Decision::Unanswered;
    return Decision::Wait;
}

} // namespace Chervilpin::Failover
