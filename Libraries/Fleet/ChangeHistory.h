#pragma once

#include <Core/Milliseconds.h>
#include <Fleet/FleetView.h>

#include <map>
#include <span>
#include <string>
#include <vector>

namespace Chervilpin::Fleet {

/// The objects of one kind as of a revision of the store, with the deletions before it, so that
/// others can be told what changed since a revision of theirs.
class ChangeHistory
{
public:
    /// Takes over a complete list. Nothing is taken from one older than what is known.
    void replace(std::span<const StoredObject>, Revision, Core::Instant confirmedAt);
    /// Takes over the changes up to a revision.
    void apply(std::span<const StoredObject>, Revision, Core::Instant confirmedAt);

    [[nodiscard]] bool isInitialised() const { return revision_ != 0; }
    [[nodiscard]] Revision revision() const { return revision_; }
    /// The moment as of which the store confirmed that there is nothing else.
    [[nodiscard]] Core::Instant confirmedAt() const { return confirmedAt_; }
    /// Whether each change after this revision is known.
    [[nodiscard]] bool covers(Revision since) const { return since >= historyFrom_; }

    /// Without deleted ones.
    [[nodiscard]] std::vector<StoredObject> liveObjects() const;
    /// With deleted ones.
    [[nodiscard]] std::vector<StoredObject> changesSince(Revision) const;

private:
    void put(const StoredObject &);
    void pruneDeletions();

    std::map<std::string, StoredObject> objects_; ///< Deleted ones have no text.
    std::size_t deletions_ = 0;
    Revision revision_ = 0;
    Revision historyFrom_ = 0;
    Core::Instant confirmedAt_;
};

} // namespace Chervilpin::Fleet
