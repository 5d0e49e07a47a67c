#include <Utilities/chervilpin-load/Balancer.h>

#include <Http/Server.h>

#include <chrono>

namespace Chervilpin::Load {

namespace {

constexpr std::chrono::milliseconds pollInterval{50};
constexpr Core::Duration pollTimeout{200};
constexpr unsigned statusOk = 200;

Core::ErrorOr<std::unique_ptr<Http::Client>> createClient(boost::asio::io_context &context,
                                                          const std::string &address)
{
    const auto endpoint = TRY(Http::parseEndpoint(address));
    if (!endpoint.address().is_loopback())
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "load goes to loopback addresses only, not to " + address);
    return std::make_unique<Http::Client>(context, endpoint);
}

} // namespace

Core::ErrorOr<std::unique_ptr<Balancer>> Balancer::create(boost::asio::io_context &context,
                                                          const std::vector<std::string> &proxies,
                                                          const std::vector<std::string> &admins)
{
    if (!admins.empty() && admins.size() != proxies.size())
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "there must be one --admin for each --proxy, or none");
    std::unique_ptr<Balancer> balancer(new Balancer(context));
    for (std::size_t index = 0; index < proxies.size(); ++index) {
        Proxy proxy;
        proxy.callers = TRY(createClient(context, proxies[index]));
        if (!admins.empty())
            proxy.admin = TRY(createClient(context, admins[index]));
        balancer->proxies_.push_back(std::move(proxy));
    }
    return balancer;
}

Balancer::Balancer(boost::asio::io_context &context)
    : timer_(context)
{ }

void Balancer::start()
{
    if (proxies_.front().admin)
        poll();
}

void Balancer::stop()
{
    isStopped_ = true;
    timer_.cancel();
}

void Balancer::poll()
{
    for (Proxy &proxy : proxies_) {
        proxy.admin->send({"GET", "/readyz", {}, {}}, pollTimeout,
                          [&proxy](const Core::ErrorOr<Http::Response> &response) {
                              proxy.isReady = response && response->status == statusOk;
                          });
    }
    timer_.expires_after(pollInterval);
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error && !isStopped_)
            poll();
    });
}

Http::Client &Balancer::choose(Core::Random &random)
{
    const std::size_t first = random.below(proxies_.size());
    for (std::size_t step = 0; step < proxies_.size(); ++step) {
        Proxy &proxy = proxies_[(first + step) % proxies_.size()];
        if (proxy.isReady)
            return *proxy.callers;
    }
    return *proxies_[first].callers;
}

} // namespace Chervilpin::Load
