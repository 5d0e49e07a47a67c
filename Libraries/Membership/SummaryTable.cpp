#include <Membership/SummaryTable.h>

#include <Core/Rank.h>

#include <algorithm>
#include <tuple>

namespace Chervilpin::Membership {

namespace {

constexpr std::size_t maximumCounts = 4;
constexpr std::size_t maximumLaggards = 4;
constexpr std::string_view aggregatorDuty = "aggregator";

auto versionOf(const Summary &summary)
{
    return std::tuple(summary.incarnation, summary.sequence);
}

bool hasSameContent(const Summary &a, const Summary &b)
{
    return a.counts == b.counts && a.laggards == b.laggards;
}

} // namespace

void SummaryTable::recordStatus(const Core::NodeName &name, const NodeStatus &status)
{
    statuses_[name] = status;
}

Core::NodeName SummaryTable::aggregator(const Core::DataCentreName &dataCentre, bool selfIsLeaving,
                                        const MemberTable &table) const
{
    Core::NodeName best;
    const auto consider = [&](const Core::NodeName &name) {
        const bool isBetter = best.isEmpty()
            || Core::rankOf(name, aggregatorDuty) < Core::rankOf(best, aggregatorDuty);
        if (isBetter)
            best = name;
    };
    if (dataCentre == settings_.dataCentre && !selfIsLeaving)
        consider(settings_.self);
    for (const Member &member : table.members()) {
        if (member.dataCentre == dataCentre && member.isUsable())
            consider(member.name);
    }
    return best;
}

bool SummaryTable::merge(const Summary &summary, const MemberTable &table)
{
    if (summary.aggregator == settings_.self)
        return false;
    const auto [found, isNew] = summaries_.try_emplace(summary.dataCentre, summary);
    if (isNew)
        return true;
    Summary &stored = found->second;
    const auto currentAggregator = aggregator(summary.dataCentre, false, table);
    const bool isSameAggregator = stored.aggregator == summary.aggregator;
    const bool isNewer = isSameAggregator ? versionOf(summary) > versionOf(stored)
                                          : stored.aggregator != currentAggregator;
    const bool hasChanged = isNewer && !hasSameContent(stored, summary);
    if (isNewer)
        stored = summary;
    return hasChanged;
}

bool SummaryTable::updateOwnSummary(const NodeStatus &own, bool selfIsLeaving,
                                    const MemberTable &table)
{
    std::erase_if(statuses_, [&](const auto &entry) { return table.find(entry.first) == nullptr; });
    if (aggregator(settings_.dataCentre, selfIsLeaving, table) != settings_.self)
        return false;
    std::vector<Laggard> revisions{{settings_.self, own.configurationRevision}};
    for (const Member &member : table.members()) {
        const bool counts = member.dataCentre == settings_.dataCentre
            && member.health != Health::Dead && member.version.incarnation != 0;
        if (!counts)
            continue;
        const auto status = statuses_.find(member.name);
        const bool isKnown = status != statuses_.end();
        revisions.push_back({member.name, isKnown ? status->second.configurationRevision : 0});
    }
    std::ranges::sort(revisions, [](const Laggard &a, const Laggard &b) {
        return std::tie(a.revision, a.name) < std::tie(b.revision, b.name);
    });
    Summary summary{
        settings_.dataCentre, settings_.self, settings_.incarnation, ++sequence_, {}, {}};
    const std::uint64_t newest = revisions.back().revision;
    for (const Laggard &entry : revisions) {
        if (entry.revision < newest && summary.laggards.size() < maximumLaggards)
            summary.laggards.push_back(entry);
    }
    for (auto entry = revisions.rbegin(); entry != revisions.rend(); ++entry) {
        const bool isSame =
            !summary.counts.empty() && summary.counts.back().revision == entry->revision;
        // The last count includes all lower revisions, so that the counts sum to all members.
        if (isSame || summary.counts.size() == maximumCounts)
            ++summary.counts.back().members;
        else
            summary.counts.push_back({entry->revision, 1});
    }
    Summary &stored = summaries_[settings_.dataCentre];
    const bool hasChanged = !hasSameContent(stored, summary);
    stored = std::move(summary);
    return hasChanged;
}

std::vector<Summary> SummaryTable::summaries() const
{
    std::vector<Summary> all;
    for (const auto &[dataCentre, summary] : summaries_)
        all.push_back(summary);
    return all;
}

} // namespace Chervilpin::Membership
