#pragma once

#include <Core/Milliseconds.h>
#include <Fleet/StoreWatcher.h>
#include <Observe/Metrics.h>
#include <Services/SessionProxy/StoreSources.h>

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <platform/Store.h>
#include <string>
#include <vector>

namespace Chervilpin::SessionProxy {

/// What a link learned: a complete list, or the changes since what it told before.
struct StoreUpdate
{
    bool isList = false;
    std::vector<Adapter::StoreObject> objects;
    Fleet::Revision revision = 0; ///< Of the store.
    /// As of when there is nothing else.
    Core::Instant confirmedAt;
};

/// Follows one kind of objects over HTTP, in the store or at a feed.
class StoreLink
{
public:
    struct Handlers
    {
        std::function<void(const StoreUpdate &)> updated;
        /// Contact was lost or regained.
        std::function<void(bool isReachable, const std::string &why)> reachabilityChanged;
    };

    StoreLink(boost::asio::io_context &, StoreSources &, Observe::Metrics &, Fleet::ObjectKind,
              Handlers);

    void start();
    /// The first watch is made so much later than the list before it.
    void setInitialWatchDelay(Core::Duration pause) { initialWatchDelay_ = pause; }
    /// Lists again at once, because something newer is known to exist.
    void refresh();
    /// The same, and from the store itself.
    void refreshFromStore();
    /// Asks anew if the question is at a feed that is not to be asked any more.
    void sourceChanged();
    void setProbing(Fleet::StoreWatcher::Probing probing) { watcher_.setProbing(probing); }

private:
    void sendRequest();
    void sendRequestTo(const Fleet::Source &);
    void requestFromStore();
    void requestFromFeed(const Fleet::Source &);
    void sendRequestAfter(Core::Duration);
    void handleStoreResponse(const Core::ErrorOr<Http::Response> &, Core::Instant requestedAt,
                             const Fleet::StoreWatcher::Call &);
    void handleFeedResponse(const Core::ErrorOr<Http::Response> &, Core::Instant requestedAt,
                            const Fleet::RelayQuestion &, const Fleet::Source &);
    [[nodiscard]] Core::ErrorOr<StoreUpdate> readFeedPage(const Fleet::RelayAnswer &,
                                                          Core::Instant requestedAt,
                                                          const Fleet::RelayQuestion &) const;
    void handleStorePage(Adapter::StorePage, Core::Instant requestedAt,
                         const Fleet::StoreWatcher::Call &);
    void sourceFailed(const Fleet::Source &, Fleet::SourceFailure, const std::string &why);
    void restartFromList();
    void updateReachability(bool isReachable, const std::string &why);
    void countRequest(std::string_view target, std::string_view form);

    StoreSources &sources_;
    Observe::Metrics &metrics_;
    Fleet::ObjectKind kind_;
    Fleet::StoreWatcher watcher_;
    Handlers handlers_;
    boost::asio::steady_timer timer_;
    std::vector<Adapter::StoreObject> listedObjects_; ///< Of a list that is not complete yet.
    Core::Instant listRequestedAt_;
    Fleet::Revision listRevision_ = 0; ///< Of its first page.
    Core::Duration initialWatchDelay_;
    std::uint64_t generation_ = 0;               ///< Of the request whose answer counts.
    std::optional<Fleet::Source> pendingSource_; ///< While a question is unanswered.
    bool isReachable_ = true;
};

} // namespace Chervilpin::SessionProxy
