#pragma once

#include <Platform/Messages.h>

#include <map>
#include <optional>
#include <string>

namespace Chervilpin::Testing {

/// What the store does with the next call.
enum class StoreFault {
    None,
    Refuse,     ///< It isn't reached.
    LoseAnswer, ///< It does it, but the answer is lost.
    LoseCall,   ///< It doesn't do it, and no answer comes.
};

/// What is wrong with watches.
enum class WatchFault {
    None,
    Skips,      ///< The first object that has changed is left out.
    EndsAtOnce, ///< They end at once and tell nothing.
};

/// The platform's object service in memory, with faults.
class FakeStore
{
public:
    /// nullopt for a watch that has nothing to tell yet.
    std::optional<Platform::ReplyBody> run(const Platform::CallBody &, StoreFault);

    /// Goes back to how it was at an earlier copy.
    using Contents = std::map<std::string, Platform::Object>;
    [[nodiscard]] const Contents &contents() const { return objects_; }
    void restore(Contents contents, Platform::StoreRevision revision)
    {
        objects_ = std::move(contents);
        revision_ = revision;
    }
    [[nodiscard]] Platform::StoreRevision revision() const { return revision_; }
    [[nodiscard]] bool has(const std::string &key) const { return objects_.contains(key); }
    [[nodiscard]] std::size_t count(const std::string &prefix) const;
    void put(const std::string &key, const std::string &value);
    void erase(const std::string &key) { objects_.erase(key); }

    WatchFault watchFault = WatchFault::None;
    /// If set, reads are answered from this older copy.
    std::optional<Contents> readsFrom;

private:
    Platform::ReplyBody apply(const Platform::Get &);
    Platform::ReplyBody apply(const Platform::Put &);
    Platform::ReplyBody apply(const Platform::Delete &);
    Platform::ReplyBody apply(const Platform::List &);
    Platform::ReplyBody apply(const Platform::Watch &);
    Platform::ReplyBody apply(const Platform::ListVms &);

    [[nodiscard]] const Contents &readable() const { return readsFrom ? *readsFrom : objects_; }

    Contents objects_;
    std::map<std::string, Platform::StoreRevision> changedAt_;
    Platform::StoreRevision revision_ = 0;
};

} // namespace Chervilpin::Testing
