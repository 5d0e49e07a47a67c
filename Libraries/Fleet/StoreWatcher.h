#pragma once

#include <Core/Milliseconds.h>
#include <Fleet/Records.h>
#include <Fleet/RelayMessages.h>

#include <string>
#include <variant>

namespace Chervilpin::Fleet {

/// Follows one kind of objects in the store: lists them, then watches them, and lists them again
/// when the store no longer has the history. Decides which call comes next, and when.
class StoreWatcher
{
public:
    struct List
    {
        std::string after; ///< The last name of the previous page, or empty.
    };

    struct Watch
    {
        Revision since = 0;
        Core::Duration wait;
    };

    using Call = std::variant<List, Watch>;

    /// \a wait is the maximum time without changes after which a watch is answered; a hung watch is
    /// noticed a little later.
    explicit StoreWatcher(Core::Duration wait);

    /// The call to make now.
    [[nodiscard]] Call next() const;
    /// Delay before the next call after a failure; zero without one.
    [[nodiscard]] Core::Duration retryDelay() const { return delay_; }
    /// Delay before the next call if the last one was made at \a askedAt. Changes in quick
    /// succession are batched, with an interval that grows while they go on; the first change after
    /// a quiet time is delivered at once.
    [[nodiscard]] Core::Duration batchDelay(Core::Instant askedAt, Core::Instant now) const;
    /// Timeout of the next call.
    [[nodiscard]] Core::Duration timeout() const;
    /// The same call as next() as a request to a feed.
    [[nodiscard]] RelayQuestion makeRelayQuestion(ObjectKind) const;
    /// Whether a feed's page, which is complete as of \a storeRevision, is older than the known
    /// state.
    [[nodiscard]] bool isBehind(Revision storeRevision) const { return storeRevision < since_; }

    /// Whether an answer of the store can't be used, since it continues a list or watch of another
    /// era, or is of an earlier one. The objects then have to be listed again.
    [[nodiscard]] bool isFromOtherEra(Revision storeRevision) const;
    /// Whether what was listed is of an era before this one.
    [[nodiscard]] bool isBefore(Era era) const { return since_ != 0 && eraOf(since_) < era; }

    enum class Position {
        Partial, ///< More pages of a list follow.
        Complete,
    };

    /// A page of a list was received.
    Position listed(std::string lastName, bool hasMore, Revision storeRevision);
    /// A watch was answered.
    void changed(Revision storeRevision, bool hasChanges);

    /// The time as of which a watch's answer is known to be complete. For an answer with changes
    /// this is the time of the request. An answer without changes was held back for the whole wait,
    /// so it is the end of the wait.
    [[nodiscard]] Core::Instant confirmedAt(Core::Instant askedAt, bool hasChanges,
                                            Core::Instant now) const;
    /// The store no longer has the history, or an object newer than the known state exists.
    void restart();
    void failed();
    /// Whether this watcher itself polls an unreachable store, or is notified by another watcher
    /// when the store is reachable again.
    enum class Probing {
        Yes,
        No,
    };
    void setProbing(Probing probing) { probing_ = probing; }
    /// Sets the maximum time without changes after which the next watch is answered.
    void setWait(Core::Duration wait) { wait_ = wait; }

private:
    [[nodiscard]] Core::Duration effectiveWait() const;

    Core::Duration wait_;
    Core::Duration delay_;    ///< Before the next call after a failure; zero without one.
    Core::Duration interval_; ///< Between two watches; grows while changes go on.
    bool isListing_ = true;
    Probing probing_ = Probing::Yes;
    std::string after_; ///< The last name of the previous page of a list, or empty.
    Revision since_ = 0;
};

} // namespace Chervilpin::Fleet
