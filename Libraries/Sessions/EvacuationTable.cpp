#include <Sessions/EvacuationTable.h>

#include <algorithm>

namespace Chervilpin::Sessions {

void EvacuationTable::replace(std::span<const Core::DataCentreName> dataCentres, Core::Instant now)
{
    std::erase_if(entries_, [&](const auto &entry) {
        return std::ranges::find(dataCentres, entry.first) == dataCentres.end();
    });
    for (const auto &dataCentre : dataCentres)
        entries_.try_emplace(dataCentre, Entry{now + gracePeriod_});
}

EvacuationTable::Use EvacuationTable::useOf(const Core::DataCentreName &dataCentre,
                                            Core::Instant now) const
{
    const auto found = entries_.find(dataCentre);
    if (found == entries_.end())
        return Use::All;
    return now < found->second.stopAt ? Use::PrimaryOnly : Use::None;
}

Core::Instant EvacuationTable::nextStop() const
{
    Core::Instant next = Core::Instant::never();
    for (const auto &[dataCentre, entry] : entries_) {
        if (!entry.isStopReported)
            next = std::min(next, entry.stopAt);
    }
    return next;
}

std::vector<Core::DataCentreName> EvacuationTable::takeStopped(Core::Instant now)
{
    std::vector<Core::DataCentreName> stopped;
    for (auto &[dataCentre, entry] : entries_) {
        if (entry.isStopReported || now < entry.stopAt)
            continue;
        entry.isStopReported = true;
        stopped.push_back(dataCentre);
    }
    return stopped;
}

} // namespace Chervilpin::Sessions
