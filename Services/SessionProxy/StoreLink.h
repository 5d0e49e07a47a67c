#pragma once

#include <Core/Milliseconds.h>
#include <Fleet/StoreWatcher.h>
#include <Observe/Metrics.h>
#include <Services/SessionProxy/StoreSources.h>

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <platform/Store.h>
#include <string>
#include <vector>

namespace Chervilpin::SessionProxy {

/// What a link has read: a complete list, or the changes since its previous update.
struct StoreUpdate
{
    bool isList = false;
    std::vector<Adapter::StoreObject> objects;
    Fleet::Revision revision = 0; ///< Of the store, as of this update.
    /// The receiver's objects are complete as of this instant.
    Core::Instant confirmedAt;
};

/// Follows the objects of one kind over HTTP, by lists and watches sent to the store or to a feed.
class StoreLink
{
public:
    struct Handlers
    {
        std::function<void(const StoreUpdate &)> updated;
        /// Called when contact with the store was lost or regained.
        std::function<void(bool isReachable, const std::string &why)> reachabilityChanged;
    };

    StoreLink(boost::asio::io_context &, StoreSources &, Observe::Metrics &, Fleet::ObjectKind,
              Handlers);

    void start();
    /// Delays the request that follows the store's first response, usually the first watch, by at
    /// least \a pause.
    void setInitialWatchDelay(Core::Duration pause) { initialWatchDelay_ = pause; }
    /// Lists again at once from the current source, without waiting for a pending request.
    void refresh();
    /// Lists again at once from the store, whatever the current source is, because newer objects
    /// are known to exist.
    void refreshFromStore();
    /// Sends the pending request to the current source if it went to a feed that is no longer the
    /// current source.
    void sourceChanged();
    /// Lists again if what is known is of an earlier era of the store.
    void eraBegan(Fleet::Era);
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
                                                          const Fleet::RelayQuestion &);
    /// Replaces a delta by the text that it yields, and keeps the text for the next one.
    [[nodiscard]] Core::ErrorOr<std::monostate> resolveDelta(Fleet::RelayedObject &);
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
    std::vector<Adapter::StoreObject> listedObjects_; ///< Pages so far of an incomplete list.
    Core::Instant listRequestedAt_;
    /// The texts of the configuration, to which a feed sends changes.
    std::map<std::string, std::string> knownTexts_;
    Fleet::Revision listRevision_ = 0; ///< Revision of the list's first page.
    Core::Duration initialWatchDelay_;
    std::uint64_t generation_ = 0; ///< Of the last request; responses to earlier ones are ignored.
    std::optional<Fleet::Source> pendingSource_; ///< Of the unanswered request, if there is one.
    bool isReachable_ = true;
};

} // namespace Chervilpin::SessionProxy
