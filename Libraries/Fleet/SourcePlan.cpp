#include <Fleet/SourcePlan.h>

#include <Core/Rank.h>
#include <Fleet/RelayTiming.h>

#include <algorithm>
#include <functional>

namespace Chervilpin::Fleet {

namespace {
/// Of the order among VMs of the same strength.
constexpr std::string_view feedOrder = "store-feed";
/// Of the feed that a proxy asks first.
constexpr std::string_view choiceOrder = "choice-of-feed";
} // namespace

SourcePlan::SourcePlan(Core::NodeName self, Core::DataCentreName dataCentre)
    : self_(std::move(self))
    , dataCentre_(std::move(dataCentre))
{ }

void SourcePlan::setMembers(std::span<const MemberRecord> members, Leading leading)
{
    std::vector<const MemberRecord *> neighbours;
    for (const auto &member : members) {
        if (member.dataCentre == dataCentre_)
            neighbours.push_back(&member);
    }
    feeds_.clear();
    isFeed_ = false;
    if (neighbours.size() <= directUpTo)
        return;
    const auto strength = [](const MemberRecord *member) {
        return std::pair(member->capacity, Core::rankOf(member->node, feedOrder));
    };
    std::ranges::partial_sort(neighbours, neighbours.begin() + feedsInDataCentre, std::greater<>(),
                              strength);
    neighbours.resize(feedsInDataCentre);
    isFeed_ = std::ranges::any_of(
        neighbours, [&](const MemberRecord *member) { return member->node == self_; });
    if (isFeed_ || leading == Leading::Yes)
        return;
    for (const auto *member : neighbours)
        feeds_.push_back({member->node, member->address});
    // Half of the proxies begin with either feed.
    const auto first = Core::rankOf(self_, choiceOrder) % feeds_.size();
    std::rotate(feeds_.begin(), feeds_.begin() + static_cast<std::ptrdiff_t>(first), feeds_.end());
    std::erase_if(troubles_, [&](const auto &entry) {
        return std::ranges::find(feeds_, entry.first, &Source::feed) == feeds_.end();
    });
}

Source SourcePlan::current(Core::Instant now) const
{
    const auto usable = std::ranges::find_if(feeds_, [&](const Source &source) {
        const auto trouble = troubles_.find(source.feed);
        return trouble == troubles_.end() || now >= trouble->second.retryAt;
    });
    return usable == feeds_.end() ? Source() : *usable;
}

void SourcePlan::answered(const Source &source)
{
    troubles_.erase(source.feed);
}

NextTry SourcePlan::failed(const Source &source, SourceFailure failure, Core::Instant now)
{
    if (source.isStore())
        return NextTry::AfterPause;
    Trouble &trouble = troubles_[source.feed];
    // Several questions to the same feed fail together.
    if (now < trouble.retryAt)
        return NextTry::Now;
    const Core::Duration longer = std::clamp(trouble.pause * 2, silentFeedPause, longestFeedPause);
    trouble.pause = failure == SourceFailure::Refused ? refusedFeedPause : longer;
    trouble.retryAt = now + trouble.pause;
    return NextTry::Now;
}

} // namespace Chervilpin::Fleet
