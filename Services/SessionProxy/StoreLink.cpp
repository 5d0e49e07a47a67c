#include <Services/SessionProxy/StoreLink.h>

#include <Core/SteadyClock.h>

#include <chrono>
#include <iterator>

namespace Chervilpin::SessionProxy {

using Fleet::StoreFeed;

StoreLink::StoreLink(boost::asio::io_context &context, Http::Client &client,
                     Adapter::StoreKind kind, Core::Duration wait, Handlers handlers)
    : client_(client)
    , kind_(kind)
    , feed_(wait)
    , handlers_(std::move(handlers))
    , timer_(context)
{ }

void StoreLink::start()
{
    call();
}

void StoreLink::refresh()
{
    feed_.restart();
    call();
}

void StoreLink::call()
{
    const StoreFeed::Call next = feed_.next();
    const auto *list = std::get_if<StoreFeed::List>(&next);
    Http::Request request;
    if (list)
        request = Adapter::makeList(kind_, list->after);
    else
        request = Adapter::makeWatch(kind_, std::get<StoreFeed::Watch>(next).since,
                                     std::get<StoreFeed::Watch>(next).wait);
    const Core::Instant askedAt = Core::SteadyClock::now();
    const std::uint64_t generation = ++generation_;
    client_.send(std::move(request), feed_.timeout(),
                 [this, generation, askedAt, next](const Core::ErrorOr<Http::Response> &response) {
                     if (generation == generation_)
                         answered(response, askedAt, next);
                 });
}

void StoreLink::answered(const Core::ErrorOr<Http::Response> &response, Core::Instant askedAt,
                         const StoreFeed::Call &asked)
{
    auto page = Adapter::readPage(response);
    if (page) {
        noteReachable(true, {});
        takePage(std::move(*page), askedAt, asked);
        callAfter(feed_.pause(askedAt, Core::SteadyClock::now()));
        return;
    }
    pages_.clear();
    if (page.error().code == Core::ErrorCode::NotFound) {
        feed_.restart();
        call();
        return;
    }
    feed_.failed();
    noteReachable(false, page.error().message);
    callAfter(feed_.delay());
}

void StoreLink::callAfter(Core::Duration delay)
{
    if (delay == Core::Duration()) {
        call();
        return;
    }
    timer_.expires_after(std::chrono::milliseconds(delay.milliseconds()));
    timer_.async_wait([this, generation = generation_](boost::system::error_code error) {
        if (!error && generation == generation_)
            call();
    });
}

void StoreLink::takePage(Adapter::StorePage page, Core::Instant askedAt,
                         const StoreFeed::Call &asked)
{
    const auto *list = std::get_if<StoreFeed::List>(&asked);
    if (!list) {
        feed_.changed(page.revision, !page.objects.empty());
        const Core::Instant confirmedAt =
            feed_.confirmedAt(askedAt, !page.objects.empty(), Core::SteadyClock::now());
        handlers_.changed(std::move(page.objects), confirmedAt);
        return;
    }
    if (list->after.empty()) {
        pages_.clear();
        listAskedAt_ = askedAt;
    }
    std::ranges::move(page.objects, std::back_inserter(pages_));
    const std::string lastName = pages_.empty() ? std::string() : pages_.back().name;
    if (feed_.listed(lastName, page.hasMore, page.revision) == StoreFeed::Position::Complete)
        handlers_.listed(std::exchange(pages_, {}), listAskedAt_);
}

void StoreLink::noteReachable(bool isReachable, const std::string &why)
{
    if (isReachable == isReachable_)
        return;
    isReachable_ = isReachable;
    handlers_.reachable(isReachable, why);
}

} // namespace Chervilpin::SessionProxy
