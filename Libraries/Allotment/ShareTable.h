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
    /// quotient and sum to the limit's; the rate follows the capacity, and its parts never sum
    /// above the limit's. Small limits of tokens have parts in a few shares only.
    [[nodiscard]] ResourceLimit part(const ResourceLimit &limit, std::uint32_t index) const;

    /// Sets the live nodes; keeps only the few that may claim something.
    void setMembers(std::span<const Core::NodeName> members);

    /// The node that should own the share, then its standby; empty names if there is none.
    [[nodiscard]] Core::NodeName candidate(ShareId share, std::uint32_t rank) const;

    [[nodiscard]] std::uint32_t shareCount() const { return shares_; }
    [[nodiscard]] std::uint32_t shardCount() const { return shards_; }

    /// The nodes after a share's candidates in their order, the first choices as witnesses.
    [[nodiscard]] std::vector<Core::NodeName> witnessCandidates(ShareId share) const;

    static constexpr std::uint32_t candidatesPerShare = 2;

private:
    [[nodiscard]] std::int64_t partCount(const ResourceLimit &limit) const;

    std::uint32_t shards_;
    std::uint32_t shares_;
    std::int64_t minimumPartTokens_;
    std::vector<std::vector<Core::NodeName>> rankedNodes_; ///< By shard: the first nodes by hash.
};

} // namespace Chervilpin::Allotment
