#include <Services/SessionProxy/StoreSources.h>

#include <Core/SteadyClock.h>
#include <Core/Verify.h>
#include <Http/Server.h>
#include <Observe/Log.h>

#include <algorithm>

namespace Chervilpin::SessionProxy {

using Observe::Severity;

StoreSources::StoreSources(boost::asio::io_context &context, Http::Client &store,
                           Core::NodeName self, Core::DataCentreName dataCentre,
                           std::function<void()> sourceChanged)
    : context_(context)
    , store_(store)
    , selector_(std::move(self), std::move(dataCentre))
    , sourceChanged_(std::move(sourceChanged))
{ }

void StoreSources::setMembers(std::span<const Fleet::MemberRecord> members,
                              Fleet::SourceSelector::Leading leading)
{
    const Fleet::Source before = current();
    const bool wasFeed = isFeed();
    selector_.setMembers(withUsableAddress(members), leading);
    std::erase_if(feeds_, [&](const auto &entry) {
        return std::ranges::find(selector_.feeds(), entry.first, &Fleet::Source::address)
            == selector_.feeds().end();
    });
    const Fleet::Source after = current();
    if (before == after && wasFeed == isFeed())
        return;
    Observe::log(Severity::Info, "store_source",
                 {{"source", after.isStore() ? "store" : after.feed.value()},
                  {"is_feed", isFeed() ? "yes" : "no"},
                  {"why", "members"},
                  {"members", std::to_string(members.size())}});
    sourceChanged_();
}

std::vector<Fleet::MemberRecord>
StoreSources::withUsableAddress(std::span<const Fleet::MemberRecord> members)
{
    std::vector<Fleet::MemberRecord> result;
    for (const auto &member : members) {
        if (Http::parseEndpoint(member.address))
            result.push_back(member);
        else
            Observe::log(Severity::Warning, "member_address_unusable",
                         {{"node", member.node.value()}, {"address", member.address}});
    }
    return result;
}

Fleet::Source StoreSources::current() const
{
    return selector_.current(Core::SteadyClock::now());
}

Http::Client &StoreSources::clientOf(const Fleet::Source &source)
{
    if (source.isStore())
        return store_;
    auto &client = feeds_[source.address];
    if (client)
        return *client;
    const auto endpoint = Http::parseEndpoint(source.address);
    VERIFY(endpoint.has_value());
    client = std::make_unique<Http::Client>(context_, *endpoint);
    return *client;
}

Fleet::NextTry StoreSources::failed(const Fleet::Source &source, Fleet::SourceFailure failure,
                                    const std::string &why)
{
    const Fleet::Source before = current();
    const auto next = selector_.failed(source, failure, Core::SteadyClock::now());
    const Fleet::Source after = current();
    if (before == after)
        return next;
    Observe::log(Severity::Warning, "store_source",
                 {{"source", after.isStore() ? "store" : after.feed.value()},
                  {"is_feed", isFeed() ? "yes" : "no"},
                  {"why", why},
                  {"left", source.feed.value()}});
    sourceChanged_();
    return next;
}

} // namespace Chervilpin::SessionProxy
