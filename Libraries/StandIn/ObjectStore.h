#pragma once

#include <Core/Result.h>
#include <Platform/Messages.h>

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Chervilpin::StandIn {

/// What makes an ObjectStore again after a restart: one change.
struct StoreChange
{
    Platform::Object object;           ///< As it is after the change; version 0 if deleted.
    Platform::Version lastVersion = 0; ///< The highest version ever given to the key.
    Platform::StoreRevision revision = 0;
};

/// The platform's objects: versions, conditional updates, and what a watch sees. Does no I/O.
///
/// Versions of a key are never used twice, also when it is deleted and created again.
class ObjectStore
{
public:
    enum class Journal {
        Off,
        On, ///< Changes are kept for takeJournal().
    };

    explicit ObjectStore(Journal journal = Journal::Off)
        : journalling_(journal)
    { }

    static constexpr std::size_t maximumValueBytes = 1'048'576;
    static constexpr std::size_t maximumKeyBytes = 512;

    /// The object as written, or what is there instead of the expected version.
    using Written = std::variant<Platform::Object, Platform::VersionConflict>;

    /// Fails with InvalidArgument for a bad key and ResourceExhausted for a value that is too long.
    [[nodiscard]] Core::ErrorOr<Written> put(const Platform::Put &);
    [[nodiscard]] Core::ErrorOr<Written> erase(const Platform::Delete &);

    /// An object with version 0 if there is none. \a revisionsBack asks for an older state.
    [[nodiscard]] Platform::Object get(std::string_view key, std::size_t revisionsBack = 0) const;
    /// All objects under a prefix, by key.
    [[nodiscard]] Platform::Objects list(std::string_view prefix,
                                         std::size_t revisionsBack = 0) const;
    /// What changed under a prefix after a revision; deleted objects have version 0.
    [[nodiscard]] Platform::Objects changesSince(std::string_view prefix,
                                                 Platform::StoreRevision) const;

    [[nodiscard]] Platform::StoreRevision revision() const { return revision_; }

    /// Loses all objects; versions and revisions go on from where they were.
    void wipe();

    [[nodiscard]] std::vector<StoreChange> takeJournal();
    void restore(const StoreChange &);

private:
    struct Entry
    {
        Platform::Object object;           ///< Version 0 once deleted.
        Platform::Version lastVersion = 0; ///< The highest version ever given to the key.
        Platform::StoreRevision changedAt = 0;
    };
    struct Change
    {
        Platform::StoreRevision revision = 0;
        Platform::Object before;
    };
    using EntryMap = std::map<std::string, Entry, std::less<>>;

    [[nodiscard]] static Core::ErrorOr<void> checkKey(std::string_view key);
    [[nodiscard]] Platform::Object asOf(const Platform::Object &current,
                                        Platform::StoreRevision) const;
    void change(Entry &, Platform::Version, std::string value);

    EntryMap entries_;
    std::deque<Change> history_;
    Platform::StoreRevision revision_ = 0;
    Journal journalling_;
    std::vector<StoreChange> journal_;
};

} // namespace Chervilpin::StandIn
