#pragma once

#include <Allotment/Messages.h>
#include <Allotment/Options.h>
#include <Allotment/Resource.h>

#include <span>
#include <vector>

namespace Chervilpin::Allotment {

/// How the fleet's limits are split: which shard a resource belongs to, what part of its limit each
/// share has, and which nodes may claim a share.
class ShareTable
{
public:
    explicit ShareTable(const Options &options);

    [[nodiscard]] std::uint32_t shardOf(const ResourceName &resource) const;

    /// The part of a limit that belongs to the share with this index. The parts' capacities are
    /// whole and sum to the limit's; the rate follows the capacity, and its parts never sum above
    /// the limit's.
    [[nodiscard]] ResourceLimit part(const ResourceLimit &limit, std::uint32_t index) const;

    /// Sets the live nodes; keeps only the few that may claim something.
    void setMembers(std::span<const Core::NodeName> members);

    /// The node that should own the share, then its standby; empty names if there is none.
    [[nodiscard]] Core::NodeName candidate(ShareId share, std::uint32_t rank) const;

    [[nodiscard]] std::uint32_t shareCount() const;
    [[nodiscard]] std::uint32_t shardCount() const { return shards_; }

    static constexpr std::uint32_t candidatesPerShare = 2;

private:
    [[nodiscard]] std::vector<std::int64_t> capacities(std::int64_t capacity) const;

    std::uint32_t shards_;
    std::vector<std::int64_t> weights_;
    std::int64_t weightSum_ = 0;
    std::vector<std::vector<Core::NodeName>> ranked_; ///< By shard: the first nodes by hash.
};

} // namespace Chervilpin::Allotment
