#include <Fleet/SourceSelector.h>

#include <Core/Rank.h>
#include <Fleet/RelayTiming.h>

#include <algorithm>
#include <functional>

namespace Chervilpin::Fleet {

namespace {
/// Hash seed of the order of VMs with the same capacity.
constexpr std::string_view feedRankSeed = "store-feed";
/// Hash seed of the choice of the feed that a proxy asks first.
constexpr std::string_view feedChoiceSeed = "choice-of-feed";
} // namespace

SourceSelector::SourceSelector(Core::NodeName self, Core::DataCentreName dataCentre)
    : self_(std::move(self))
    , dataCentre_(std::move(dataCentre))
{ }

void SourceSelector::setMembers(std::span<const MemberRecord> members, Leading leading)
{
    std::vector<const MemberRecord *> candidates; // The members in this proxy's data centre.
    for (const auto &member : members) {
        if (member.dataCentre == dataCentre_)
            candidates.push_back(&member);
    }
    feeds_.clear();
    isFeed_ = false;
    if (candidates.size() <= maximumProxiesWithoutFeeds)
        return;
    const auto preference = [](const MemberRecord *member) {
        return std::pair(member->capacity, Core::rankOf(member->node, feedRankSeed));
    };
    std::ranges::partial_sort(candidates, candidates.begin() + feedsPerDataCentre, std::greater<>(),
                              preference);
    candidates.resize(feedsPerDataCentre);
    isFeed_ = std::ranges::any_of(
        candidates, [&](const MemberRecord *member) { return member->node == self_; });
    if (isFeed_ || leading == Leading::Yes)
        return;
    for (const auto *member : candidates)
        feeds_.push_back({member->node, member->address});
    // Spreads the proxies evenly over the feeds.
    const auto first = Core::rankOf(self_, feedChoiceSeed) % feeds_.size();
    std::rotate(feeds_.begin(), feeds_.begin() + static_cast<std::ptrdiff_t>(first), feeds_.end());
    std::erase_if(backoffs_, [&](const auto &entry) {
        return std::ranges::find(feeds_, entry.first, &Source::feed) == feeds_.end();
    });
}

Source SourceSelector::current(Core::Instant now) const
{
    const auto usable = std::ranges::find_if(feeds_, [&](const Source &source) {
        const auto backoff = backoffs_.find(source.feed);
        return backoff == backoffs_.end() || now >= backoff->second.retryAt;
    });
    return usable == feeds_.end() ? Source() : *usable;
}

void SourceSelector::answered(const Source &source)
{
    backoffs_.erase(source.feed);
}

NextTry SourceSelector::failed(const Source &source, SourceFailure failure, Core::Instant now)
{
    if (source.isStore())
        return NextTry::AfterPause;
    Backoff &backoff = backoffs_[source.feed];
    // Requests that are in flight to the same feed fail together and count once.
    if (now < backoff.retryAt)
        return NextTry::Now;
    const Core::Duration doubled =
        std::clamp(backoff.interval * 2, silentFeedRetryInterval, maximumFeedRetryInterval);
    backoff.interval = failure == SourceFailure::Refused ? refusedFeedRetryInterval : doubled;
    backoff.retryAt = now + backoff.interval;
    return NextTry::Now;
}

} // namespace Chervilpin::Fleet
