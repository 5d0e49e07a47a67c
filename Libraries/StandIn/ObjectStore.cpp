#include <StandIn/ObjectStore.h>

#include <utility>

namespace Chervilpin::StandIn {

namespace {

/// How many changes can be looked back over. Values may be long, hence few.
constexpr std::size_t maximumHistory = 256;

} // namespace

Core::ErrorOr<void> ObjectStore::checkKey(std::string_view key)
{
    if (key.empty() || key.size() > maximumKeyBytes)
        return Core::failure(Core::ErrorCode::InvalidArgument, "a key has 1 to 512 bytes");
    return {};
}

void ObjectStore::change(Entry &entry, Platform::Version version, std::string value)
{
    ++revision_;
    history_.push_back({revision_, entry.object});
    if (history_.size() > maximumHistory)
        history_.pop_front();
    ++entry.lastVersion;
    entry.object.version = version;
    entry.object.value = std::move(value);
    entry.changedAt = revision_;
    if (journalling_ == Journal::On)
        journal_.push_back({entry.object, entry.lastVersion, revision_});
}

std::vector<StoreChange> ObjectStore::takeJournal()
{
    return std::exchange(journal_, {});
}

void ObjectStore::restore(const StoreChange &change)
{
    entries_[change.object.key] = {change.object, change.lastVersion, change.revision};
    revision_ = change.revision;
}

Core::ErrorOr<ObjectStore::Written> ObjectStore::put(const Platform::Put &put)
{
    TRY(checkKey(put.key).map([] { return true; }));
    if (put.value.size() > maximumValueBytes)
        return Core::failure(Core::ErrorCode::ResourceExhausted, "a value has at most a megabyte");
    const auto current = get(put.key);
    if (current.version != put.expected)
        return Platform::VersionConflict{current};
    auto &entry = entries_[put.key];
    entry.object.key = put.key;
    change(entry, entry.lastVersion + 1, put.value);
    return entry.object;
}

Core::ErrorOr<ObjectStore::Written> ObjectStore::erase(const Platform::Delete &erased)
{
    TRY(checkKey(erased.key).map([] { return true; }));
    const auto current = get(erased.key);
    if (current.version != erased.expected || current.version == 0)
        return Platform::VersionConflict{current};
    auto &entry = entries_[erased.key];
    change(entry, 0, {});
    return entry.object;
}

Platform::Object ObjectStore::asOf(const Platform::Object &current,
                                   Platform::StoreRevision revision) const
{
    auto object = current;
    for (auto change = history_.rbegin(); change != history_.rend(); ++change) {
        if (change->revision <= revision)
            break;
        if (change->before.key == current.key)
            object = change->before;
    }
    return object;
}

Platform::Object ObjectStore::get(std::string_view key, std::size_t revisionsBack) const
{
    const auto found = entries_.find(key);
    if (found == entries_.end())
        return {std::string(key), 0, {}};
    return asOf(found->second.object, revision_ - std::min<std::size_t>(revisionsBack, revision_));
}

Platform::Objects ObjectStore::list(std::string_view prefix, std::size_t revisionsBack) const
{
    const auto revision = revision_ - std::min<std::size_t>(revisionsBack, revision_);
    Platform::Objects objects;
    objects.revision = revision;
    for (auto entry = entries_.lower_bound(prefix); entry != entries_.end(); ++entry) {
        if (!entry->first.starts_with(prefix))
            break;
        auto object = asOf(entry->second.object, revision);
        if (object.version != 0)
            objects.objects.push_back(std::move(object));
    }
    return objects;
}

Platform::Objects ObjectStore::changesSince(std::string_view prefix,
                                            Platform::StoreRevision since) const
{
    Platform::Objects objects;
    objects.revision = revision_;
    for (auto entry = entries_.lower_bound(prefix); entry != entries_.end(); ++entry) {
        if (!entry->first.starts_with(prefix))
            break;
        if (entry->second.changedAt > since)
            objects.objects.push_back(entry->second.object);
    }
    return objects;
}

void ObjectStore::wipe()
{
    for (auto &[key, entry] : entries_) {
        if (entry.object.version != 0)
            change(entry, 0, {});
    }
}

} // namespace Chervilpin::StandIn
