#pragma once

#include <Allotment/Messages.h>
#include <Allotment/Options.h>
#include <Allotment/Resource.h>

#include <span>
#include <vector>

namespace Chervilpin::Allotment {

/// Splits the fleet's limits: the shard of a resource, the part of its limit in each share, and the
/// nodes that may claim a share.
class ShareTable
{
public:
    explicit ShareTable(const Options &options);

    [[nodiscard]] std::uint32_t shardOf(const ResourceName &resource) const;

    /// Returns the part of a limit that belongs to the share with this index. The parts have whole
    /// capacities that sum up to the limit's capacity; the rates are proportional to the
    /// capacities, and their sum never exceeds the limit's rate. A small limit of tokens has parts
    /// in only some of the shares.
    [[nodiscard]] ResourceLimit part(const ResourceLimit &limit, std::uint32_t index) const;

    /// Sets the live nodes. Only the few that may claim a share are kept.
    void setMembers(std::span<const Core::NodeName> members);

    /// Returns the node that should own the share (rank 0) or its standby (rank 1); an empty name
    /// if there is none.
    [[nodiscard]] Core::NodeName candidate(ShareId share, std::uint32_t rank) const;

    [[nodiscard]] std::uint32_t shareCount() const { return shares_; }
    [[nodiscard]] std::uint32_t shardCount() const { return shards_; }

    /// Returns the nodes to choose witnesses from, in order of preference: ranked order, beginning
    /// after the share's first candidate.
    [[nodiscard]] std::vector<Core::NodeName> witnessCandidates(ShareId share) const;

    static constexpr std::uint32_t candidatesPerShare = 2;

private:
    [[nodiscard]] std::int64_t partCount(const ResourceLimit &limit) const;

    std::uint32_t shards_;
    std::uint32_t shares_;
    std::int64_t minimumPartTokens_;
    /// By shard: the first nodes in the order of their hashes.
    std::vector<std::vector<Core::NodeName>> rankedNodes_;
};

} // namespace Chervilpin::Allotment
