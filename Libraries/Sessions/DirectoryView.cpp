#include <Sessions/DirectoryView.h>

#include <algorithm>

namespace Chervilpin::Sessions {

void DirectoryView::replace(std::span<const DatabaseEntry> entries, Core::Instant now)
{
    std::vector<Core::DatabaseName> missing;
    for (const auto &[id, listed] : listed_) {
        if (std::ranges::find(entries, id, &DatabaseEntry::id) == entries.end())
            missing.push_back(id);
    }
    for (const auto &id : missing)
        remove(id, now);
    for (const auto &entry : entries)
        put(entry);
}

void DirectoryView::put(const DatabaseEntry &entry)
{
    listed_[entry.id] = {entry, {}};
}

void DirectoryView::remove(const Core::DatabaseName &id, Core::Instant now)
{
    const auto found = listed_.find(id);
    if (found == listed_.end())
        return;
    if (found->second.entry.availability == DatabaseAvailability::Draining)
        listed_.erase(found);
    else if (!found->second.missingSince)
        found->second.missingSince = now;
}

std::vector<DatabaseEntry> DirectoryView::entries(Core::Instant now)
{
    std::erase_if(listed_, [&](const auto &listed) {
        const auto &since = listed.second.missingSince;
        return since && now >= *since + missingEntryGracePeriod;
    });
    std::vector<DatabaseEntry> result;
    for (const auto &[id, listed] : listed_)
        result.push_back(listed.entry);
    return result;
}

std::optional<Core::Instant> DirectoryView::nextExpiry() const
{
    std::optional<Core::Instant> next;
    for (const auto &[id, listed] : listed_) {
        if (!listed.missingSince)
            continue;
        const Core::Instant end = *listed.missingSince + missingEntryGracePeriod;
        next = next ? std::min(*next, end) : end;
    }
    return next;
}

} // namespace Chervilpin::Sessions
