#pragma once

#include <Core/Milliseconds.h>
#include <Fleet/Records.h>
#include <Fleet/RelayMessages.h>

#include <string>
#include <variant>

namespace Chervilpin::Fleet {

/// Follows one kind of objects in the store: lists it, then watches it, and lists it again when
/// the store has dropped the history. Decides which call comes next, and when.
class StoreWatcher
{
public:
    struct List
    {
        std::string after; ///< The last name of the page before, or empty.
    };

    struct Watch
    {
        Revision since = 0;
        Core::Duration wait;
    };

    using Call = std::variant<List, Watch>;

    /// \a wait bounds how long a watch is quiet; a hung watch is found out a little later.
    explicit StoreWatcher(Core::Duration wait);

    /// The call to make now.
    [[nodiscard]] Call next() const;
    /// How long to wait before it, after a failure.
    [[nodiscard]] Core::Duration retryDelay() const { return delay_; }
    /// How long to wait before it, if the last call was made at \a askedAt. Changes that come in
    /// quick succession are taken together, the more the longer they go on; a first change after a
    /// quiet time is told at once.
    [[nodiscard]] Core::Duration batchDelay(Core::Instant askedAt, Core::Instant now) const;
    /// How long its answer may take.
    [[nodiscard]] Core::Duration timeout() const;
    /// The same call as next() as a question to a feed.
    [[nodiscard]] RelayQuestion makeRelayQuestion(ObjectKind) const;
    /// Whether a page of a feed is of before what is known already.
    [[nodiscard]] bool isBehind(Revision storeRevision) const { return storeRevision < since_; }

    enum class Position {
        Partial, ///< More pages of a list follow.
        Complete,
    };

    /// A page of a list came.
    Position listed(std::string lastName, bool hasMore, Revision storeRevision);
    /// A watch was answered.
    void changed(Revision storeRevision, bool hasChanges);

    /// The moment as of which a watch's answer is known to be true. An answer with changes is as of
    /// its question. One without was held back for the whole wait, and is as of the wait's end.
    [[nodiscard]] Core::Instant confirmedAt(Core::Instant askedAt, bool hasChanges,
                                            Core::Instant now) const;
    /// The history is gone, or something newer than this feed is known to exist.
    void restart();
    void failed();
    /// Whether this feed finds out when a lost store is back, or is told by another one.
    enum class Probing {
        Yes,
        No,
    };
    void setProbing(Probing probing) { probing_ = probing; }
    /// How long the next watch of the store is quiet.
    void setWait(Core::Duration wait) { wait_ = wait; }

private:
    [[nodiscard]] Core::Duration effectiveWait() const;

    Core::Duration wait_;
    Core::Duration delay_;
    Core::Duration interval_; ///< Between two watches.
    bool isListing_ = true;
    Probing probing_ = Probing::Yes;
    std::string after_;
    Revision since_ = 0;
};

} // namespace Chervilpin::Fleet
