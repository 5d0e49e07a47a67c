#pragma once

#include <Fleet/SourceSelector.h>
#include <Http/Client.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Chervilpin::SessionProxy {

/// The HTTP clients for the store and the feeds, and the selector that chooses among them. All
/// links of a proxy use the same source.
class StoreSources
{
public:
    /// Calls \a sourceChanged when the current source changes, or when this proxy becomes or stops
    /// being a feed.
    StoreSources(boost::asio::io_context &, Http::Client &store, Core::NodeName,
                 Core::DataCentreName, std::function<void()> sourceChanged);

    void setMembers(std::span<const Fleet::MemberRecord>, Fleet::SourceSelector::Leading);
    [[nodiscard]] Fleet::Source current() const;
    [[nodiscard]] bool isFeed() const { return selector_.isFeed(); }
    /// Returns whether this proxy should follow feeds, even if it uses the store for now.
    [[nodiscard]] bool hasFeeds() const { return !selector_.feeds().empty(); }
    [[nodiscard]] Http::Client &clientOf(const Fleet::Source &);

    void answered(const Fleet::Source &source) { selector_.answered(source); }
    Fleet::NextTry failed(const Fleet::Source &, Fleet::SourceFailure, const std::string &why);

private:
    [[nodiscard]] static std::vector<Fleet::MemberRecord>
        withUsableAddress(std::span<const Fleet::MemberRecord>);

    boost::asio::io_context &context_;
    Http::Client &store_;
    Fleet::SourceSelector selector_;
    std::function<void()> sourceChanged_;
    std::map<std::string, std::unique_ptr<Http::Client>, std::less<>> feeds_; ///< By address.
};

} // namespace Chervilpin::SessionProxy
