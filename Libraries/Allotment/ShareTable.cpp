#include <Allotment/ShareTable.h>

#include <algorithm>
#include <numeric>
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
    , ranked_(options.shards)
{
    for (const ShareSpec &share : options.shares) {
        weights_.push_back(share.weight);
        weightSum_ += share.weight;
    }
}

std::uint32_t ShareTable::shareCount() const
{
    return static_cast<std::uint32_t>(weights_.size());
}

std::uint32_t ShareTable::shardOf(const ResourceName &resource) const
{
    return static_cast<std::uint32_t>(hashOf(resource.view(), 0) % shards_);
}

std::vector<std::int64_t> ShareTable::capacities(std::int64_t capacity) const
{
    std::vector<std::int64_t> parts;
    std::vector<std::size_t> byRemainder(weights_.size());
    for (const std::int64_t weight : weights_)
        parts.push_back(capacity * weight / weightSum_);
    std::iota(byRemainder.begin(), byRemainder.end(), 0);
    const auto remainder = [&](std::size_t index) {
        return capacity * weights_[index] % weightSum_;
    };
    std::stable_sort(byRemainder.begin(), byRemainder.end(),
                     [&](std::size_t a, std::size_t b) { return remainder(a) > remainder(b); });
    std::int64_t left = capacity - std::accumulate(parts.begin(), parts.end(), std::int64_t{0});
    for (const std::size_t index : byRemainder) {
        if (left == 0)
            break;
        ++parts[index];
        --left;
    }
    return parts;
}

ResourceLimit ShareTable::part(const ResourceLimit &limit, std::uint32_t index) const
{
    ResourceLimit part = limit;
    part.capacity = capacities(limit.capacity)[index];
    if (limit.capacity > 0) {
        // In two steps, so that the product of a large rate and burst can't overflow.
        const MicroUnits whole = limit.ratePerSecond / limit.capacity;
        const MicroUnits rest = limit.ratePerSecond % limit.capacity;
        part.ratePerSecond = whole * part.capacity + rest * part.capacity / limit.capacity;
    }
    return part;
}

void ShareTable::setMembers(std::span<const Core::NodeName> members)
{
    using Ranked = std::pair<std::uint64_t, std::string_view>;
    const std::size_t wanted =
        std::min<std::size_t>(members.size(), weights_.size() * candidatesPerShare);
    std::vector<Ranked> order(members.size());
    for (std::uint32_t shard = 0; shard < shards_; ++shard) {
        for (std::size_t i = 0; i < members.size(); ++i)
            order[i] = {hashOf(members[i].view(), shard + 1), members[i].view()};
        std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(wanted),
                          order.end());
        ranked_[shard].clear();
        for (std::size_t i = 0; i < wanted; ++i)
            ranked_[shard].emplace_back(order[i].second);
    }
}

Core::NodeName ShareTable::candidate(ShareId share, std::uint32_t rank) const
{
    const std::vector<Core::NodeName> &nodes = ranked_[share.shard];
    if (nodes.empty())
        return {};
    if (rank == 0)
        return nodes[share.index % nodes.size()];
    // With a node for each, standbys own nothing themselves; in small fleets the next one doubles.
    const std::size_t offset = nodes.size() > weights_.size() ? weights_.size() : 1;
    return nodes[(share.index + offset * rank) % nodes.size()];
}

} // namespace Chervilpin::Allotment
