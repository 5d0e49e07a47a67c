#pragma once

#include <Core/Milliseconds.h>
#include <Fleet/FleetView.h>
#include <Fleet/TextDelta.h>

#include <deque>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace Chervilpin::Fleet {

/// The objects of one kind as of a revision of the store, with recent deletions, to answer which
/// objects changed after an earlier revision.
class ChangeHistory
{
public:
    /// Applies a complete list. A list that is older than the current revision is ignored.
    void replace(std::span<const StoredObject>, Revision, Core::Instant confirmedAt);
    /// Applies the changes up to a revision.
    void apply(std::span<const StoredObject>, Revision, Core::Instant confirmedAt);

    [[nodiscard]] bool isInitialised() const { return revision_ != 0; }
    [[nodiscard]] Revision revision() const { return revision_; }
    /// The time as of which the store confirmed that the objects are complete.
    [[nodiscard]] Core::Instant confirmedAt() const { return confirmedAt_; }
    /// Whether every change after this revision is known.
    [[nodiscard]] bool covers(Revision since) const { return since >= historyFrom_; }

    /// The objects that are not deleted.
    [[nodiscard]] std::vector<StoredObject> liveObjects() const;
    /// The objects changed after a revision, including deleted ones.
    [[nodiscard]] std::vector<StoredObject> changesSince(Revision) const;
    /// Returns a large object as changes to the text that it had as of a revision that is covered;
    /// null if that text is not kept any more, or if the changes are not much smaller.
    [[nodiscard]] std::shared_ptr<const TextDelta> deltaSince(const StoredObject &, Revision);

private:
    void put(const StoredObject &);
    /// Discards the older half of the deletions, so that changes before them are no longer covered.
    void pruneDeletions();

    /// The earlier texts of a large object, and the changes from each to the present one.
    struct EarlierText
    {
        Revision revision = 0;
        std::string text;
        std::shared_ptr<const TextDelta> delta; ///< Null until it is needed.
    };
    void keepEarlierText(StoredObject &known);

    std::map<std::string, StoredObject> objects_; ///< Deleted objects have no text.
    std::map<std::string, std::deque<EarlierText>> earlierTexts_;
    std::size_t deletions_ = 0;
    Revision revision_ = 0;
    Revision historyFrom_ = 0; ///< Every change after this revision is known.
    Core::Instant confirmedAt_;
};

} // namespace Chervilpin::Fleet
