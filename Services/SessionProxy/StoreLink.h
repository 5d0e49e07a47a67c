#pragma once

#include <Core/Milliseconds.h>
#include <Fleet/StoreFeed.h>
#include <Http/Client.h>

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <platform/Store.h>
#include <string>
#include <vector>

namespace Chervilpin::SessionProxy {

/// Follows one kind of objects in the store over HTTP.
class StoreLink
{
public:
    struct Handlers
    {
        /// The complete list, and when it was asked for.
        std::function<void(std::vector<Adapter::StoreObject>, Core::Instant askedAt)> listed;
        /// The changes since, perhaps none, and as of when there are no others.
        std::function<void(std::vector<Adapter::StoreObject>, Core::Instant confirmedAt)> changed;
        /// Contact was lost or regained.
        std::function<void(bool isReachable, const std::string &why)> reachable;
    };

    StoreLink(boost::asio::io_context &, Http::Client &, Adapter::StoreKind, Core::Duration wait,
              Handlers);

    void start();
    /// Lists again at once, because something newer is known to exist.
    void refresh();
    void setProbing(Fleet::StoreFeed::Probing probing) { feed_.setProbing(probing); }

private:
    void call();
    void callAfter(Core::Duration);
    void answered(const Core::ErrorOr<Http::Response> &, Core::Instant askedAt,
                  const Fleet::StoreFeed::Call &);
    void takePage(Adapter::StorePage, Core::Instant askedAt, const Fleet::StoreFeed::Call &);
    void noteReachable(bool isReachable, const std::string &why);

    Http::Client &client_;
    Adapter::StoreKind kind_;
    Fleet::StoreFeed feed_;
    Handlers handlers_;
    boost::asio::steady_timer timer_;
    std::vector<Adapter::StoreObject> pages_; ///< Of a list that is not complete yet.
    Core::Instant listAskedAt_;
    std::uint64_t generation_ = 0; ///< Of the call whose answer counts.
    bool isReachable_ = true;
};

} // namespace Chervilpin::SessionProxy
