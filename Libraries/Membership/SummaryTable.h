#pragma once

#include <Membership/MemberTable.h>

#include <map>

namespace Chervilpin::Membership {

/// Counts how many members have which configuration in force.
///
/// The aggregator of each data centre, chosen by rank among its usable members, counts the members
/// there from their heartbeats. The resulting summaries are gossiped in heartbeats of all members.
class SummaryTable
{
public:
    explicit SummaryTable(const Settings &settings)
        : settings_(settings)
    { }

    /// Stores the status that a member reports about itself.
    void recordStatus(const Core::NodeName &, const NodeStatus &);
    /// Stores a summary if it is newer than the stored one or the stored one's aggregator was
    /// replaced; returns whether the content changed.
    bool merge(const Summary &, const MemberTable &);
    /// Recounts if this node is its data centre's aggregator; returns whether the content changed.
    bool updateOwnSummary(const NodeStatus &own, bool selfIsLeaving, const MemberTable &);

    /// Returns a data centre's aggregator: its best ranked usable member. Empty if there is none.
    [[nodiscard]] Core::NodeName aggregator(const Core::DataCentreName &, bool selfIsLeaving,
                                            const MemberTable &) const;
    /// Returns the latest summary of each data centre.
    [[nodiscard]] std::vector<Summary> summaries() const;

private:
    const Settings &settings_;
    std::map<Core::NodeName, NodeStatus> statuses_;
    std::map<Core::DataCentreName, Summary> summaries_;
    std::uint64_t sequence_ = 0;
};

} // namespace Chervilpin::Membership
