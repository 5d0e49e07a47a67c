#include <Allotment/ShareTable.h>

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace Chervilpin::Allotment {

namespace {

std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace

ShareTable::ShareTable(const Options &options)
    : shards_(options.shards)
    , shares_(options.shares)
    , minimumPartTokens_(std::max<std::int64_t>(options.minimumPartTokens, 1))
    , rankedNodes_(options.shards)
{ }

std::uint32_t ShareTable::shardOf(const ResourceName &resource) const
{
    return static_cast<std::uint32_t>(hashOf(resource.view(), 0) % shards_);
}

std::int64_t ShareTable::partCount(const ResourceLimit &limit) const
{
    if (limit.kind == ResourceKind::Returnable)
        return shares_;
    return std::clamp<std::int64_t>(limit.capacity / minimumPartTokens_, 1, shares_);
}

ResourceLimit ShareTable::part(const ResourceLimit &limit, std::uint32_t index) const
{
    const std::int64_t parts = partCount(limit);
    // The parts of small limits start at different shares, so that they do not all fall to one
    // owner.
    const auto first = static_cast<std::int64_t>(hashOf(limit.name.view(), shards_) % shares_);
    const std::int64_t position = (index + shares_ - first) % shares_;
    ResourceLimit part = limit;
    part.capacity = 0;
    part.ratePerSecond = 0;
    if (position >= parts || limit.capacity <= 0)
        return part;
    part.capacity = limit.capacity / parts + (position < limit.capacity % parts ? 1 : 0);
    // Computed in two steps, so that the product of a large rate and a large burst cannot overflow.
    const MicroUnits quotient = limit.ratePerSecond / limit.capacity;
    const MicroUnits remainder = limit.ratePerSecond % limit.capacity;
    part.ratePerSecond = quotient * part.capacity + remainder * part.capacity / limit.capacity;
    return part;
}

void ShareTable::setMembers(std::span<const Core::NodeName> members)
{
    using Ranked = std::pair<std::uint64_t, std::string_view>;
    const std::size_t wanted =
        std::min<std::size_t>(members.size(), std::size_t{shares_} * candidatesPerShare);
    std::vector<Ranked> order(members.size());
    for (std::uint32_t shard = 0; shard < shards_; ++shard) {
        for (std::size_t i = 0; i < members.size(); ++i)
            order[i] = {hashOf(members[i].view(), shard + 1), members[i].view()};
        std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(wanted),
                          order.end());
        rankedNodes_[shard].clear();
        for (std::size_t i = 0; i < wanted; ++i)
            rankedNodes_[shard].emplace_back(order[i].second);
    }
}

Core::NodeName ShareTable::candidate(ShareId share, std::uint32_t rank) const
{
    const std::vector<Core::NodeName> &nodes = rankedNodes_[share.shard];
    if (nodes.empty())
        return {};
    if (rank == 0)
        return nodes[share.index % nodes.size()];
    // If there are more nodes than shares, a standby owns no share itself. In smaller fleets, the
    // next share's owner is the standby.
    const std::size_t offset = nodes.size() > shares_ ? shares_ : 1;
    return nodes[(share.index + offset * rank) % nodes.size()];
}

std::vector<Core::NodeName> ShareTable::witnessCandidates(ShareId share) const
{
    const std::vector<Core::NodeName> &nodes = rankedNodes_[share.shard];
    std::vector<Core::NodeName> ordered;
    for (std::size_t i = 1; i <= nodes.size(); ++i)
        ordered.push_back(nodes[(share.index + i) % nodes.size()]);
    return ordered;
}

} // namespace Chervilpin::Allotment
