#include <Fleet/ChangeHistory.h>

#include <algorithm>
#include <set>
#include <string_view>

namespace Chervilpin::Fleet {

namespace {
/// Maximum number of deletions that are remembered. A fleet of the target size restarts 200 VMs on
/// an ordinary day; a proxy that was away for longer lists again.
constexpr std::size_t maximumDeletions = 1'000;
/// Objects with a shorter text are always sent whole.
constexpr std::size_t minimumDeltaText = 4'096;
/// Number of earlier texts of a large object that are kept. A follower is rarely more than one
/// version behind.
constexpr std::size_t maximumEarlierTexts = 3;
} // namespace

void ChangeHistory::replace(std::span<const StoredObject> objects, Revision revision,
                            Core::Instant confirmedAt)
{
    if (revision < revision_)
        return;
    // What was written after the copy from which the store came back was never deleted, so other
    // proxies have to list again.
    if (eraOf(revision) > eraOf(revision_)) {
        objects_.clear();
        earlierTexts_.clear();
        deletions_ = 0;
        historyFrom_ = revision;
    }
    std::set<std::string_view> listed;
    for (const auto &object : objects)
        listed.insert(object.key);
    for (auto &[key, known] : objects_) {
        if (known.isDeleted || listed.contains(key))
            continue;
        known = {key, {}, revision, true};
        ++deletions_;
    }
    // Deletions before the first list are not known.
    if (!isInitialised())
        historyFrom_ = revision;
    apply(objects, revision, confirmedAt);
}

void ChangeHistory::apply(std::span<const StoredObject> changes, Revision revision,
                          Core::Instant confirmedAt)
{
    for (const auto &change : changes)
        put(change);
    revision_ = std::max(revision_, revision);
    confirmedAt_ = std::max(confirmedAt_, confirmedAt);
    if (deletions_ > maximumDeletions)
        pruneDeletions();
}

void ChangeHistory::put(const StoredObject &change)
{
    auto &known = objects_[change.key];
    if (known.revision >= change.revision)
        return;
    deletions_ -= known.isDeleted ? 1 : 0;
    deletions_ += change.isDeleted ? 1 : 0;
    keepEarlierText(known);
    known = change;
    if (known.isDeleted)
        known.text.clear();
}

void ChangeHistory::keepEarlierText(StoredObject &known)
{
    if (known.text.size() < minimumDeltaText) {
        earlierTexts_.erase(known.key);
        return;
    }
    auto &texts = earlierTexts_[known.key];
    for (auto &earlier : texts)
        earlier.delta.reset();
    texts.push_back({known.revision, std::move(known.text), nullptr});
    if (texts.size() > maximumEarlierTexts)
        texts.pop_front();
}

std::shared_ptr<const TextDelta> ChangeHistory::deltaSince(const StoredObject &object,
                                                           Revision since)
{
    const auto texts = earlierTexts_.find(object.key);
    if (object.isDeleted || object.text.size() < minimumDeltaText || texts == earlierTexts_.end())
        return nullptr;
    // The text as of the revision is the last one that is not newer.
    const auto base =
        std::ranges::find_if(texts->second.rbegin(), texts->second.rend(),
                             [&](const auto &text) { return text.revision <= since; });
    if (base == texts->second.rend())
        return nullptr;
    if (!base->delta)
        base->delta = std::make_shared<const TextDelta>(makeDelta(base->text, object.text));
    constexpr std::size_t minimumSaving = 2;
    return base->delta->literalBytes() * minimumSaving < object.text.size() ? base->delta : nullptr;
}

void ChangeHistory::pruneDeletions()
{
    std::vector<Revision> revisions;
    for (const auto &[key, object] : objects_) {
        if (object.isDeleted)
            revisions.push_back(object.revision);
    }
    const auto middle = revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
    std::ranges::nth_element(revisions, middle);
    historyFrom_ = std::max(historyFrom_, *middle);
    deletions_ -= std::erase_if(objects_, [&](const auto &entry) {
        return entry.second.isDeleted && entry.second.revision <= historyFrom_;
    });
}

std::vector<StoredObject> ChangeHistory::liveObjects() const
{
    std::vector<StoredObject> result;
    for (const auto &[key, object] : objects_) {
        if (!object.isDeleted)
            result.push_back(object);
    }
    return result;
}

std::vector<StoredObject> ChangeHistory::changesSince(Revision since) const
{
    std::vector<StoredObject> result;
    for (const auto &[key, object] : objects_) {
        if (object.revision > since)
            result.push_back(object);
    }
    return result;
}

} // namespace Chervilpin::Fleet
