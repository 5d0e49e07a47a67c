#pragma once

#include <Membership/MemberTable.h>

#include <map>

namespace Chervilpin::Membership {

/// Counts which configuration the members have in force.
///
/// One member of each data centre, chosen by rank among the live, counts those of its data centre
/// from their heartbeats; the counts travel with the heartbeats of all.
class SummaryTable
{
public:
    explicit SummaryTable(const Settings &settings)
        : settings_(settings)
    { }

    /// A member's own word.
    void recordStatus(const Core::NodeName &, const NodeStatus &);
    /// Takes over a count if it is news; returns whether it tells anything new.
    bool merge(const Summary &, const MemberTable &);
    /// Counts anew if this node is its data centre's aggregator; returns whether it tells anything
    /// new.
    bool updateOwnSummary(const NodeStatus &own, bool selfIsLeaving, const MemberTable &);

    /// The member that counts a data centre: the best ranked usable one. Empty if there is none.
    [[nodiscard]] Core::NodeName aggregator(const Core::DataCentreName &, bool selfIsLeaving,
                                            const MemberTable &) const;
    /// The latest count of each data centre.
    [[nodiscard]] std::vector<Summary> summaries() const;

private:
    const Settings &settings_;
    std::map<Core::NodeName, NodeStatus> statuses_;
    std::map<Core::DataCentreName, Summary> summaries_;
    std::uint64_t sequence_ = 0;
};

} // namespace Chervilpin::Membership
