#pragma once

#include <Fleet/SourceSelector.h>
#include <Http/Client.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Chervilpin::SessionProxy {

/// The connections to the store and to the feeds, and the plan that chooses among them. All that a
/// proxy follows comes from the same source.
class StoreSources
{
public:
    /// \a sourceChanged is called when another source than before is to be asked.
    StoreSources(boost::asio::io_context &, Http::Client &store, Core::NodeName,
                 Core::DataCentreName, std::function<void()> sourceChanged);

    void setMembers(std::span<const Fleet::MemberRecord>, Fleet::SourceSelector::Leading);
    [[nodiscard]] Fleet::Source current() const;
    [[nodiscard]] bool isFeed() const { return selector_.isFeed(); }
    /// Whether this proxy is to follow feeds, though it may ask the store for a while.
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
