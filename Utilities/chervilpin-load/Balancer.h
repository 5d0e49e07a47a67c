#pragma once

#include <Core/Random.h>
#include <Core/Result.h>
#include <Http/Client.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

namespace Chervilpin::Load {

/// Chooses a proxy for each request, as the platform's balancer would: only among those that said
/// lately that they are ready. Without admin addresses all count as ready.
class Balancer
{
public:
    static Core::ErrorOr<std::unique_ptr<Balancer>> create(boost::asio::io_context &,
                                                           const std::vector<std::string> &proxies,
                                                           const std::vector<std::string> &admins);

    /// Starts asking for readiness; goes on until stop().
    void start();
    void stop();

    [[nodiscard]] Http::Client &choose(Core::Random &);

private:
    struct Proxy
    {
        std::unique_ptr<Http::Client> callers;
        std::unique_ptr<Http::Client> admin;
        bool isReady = true;
    };

    explicit Balancer(boost::asio::io_context &);
    void poll();

    boost::asio::steady_timer timer_;
    std::vector<Proxy> proxies_;
    bool isStopped_ = false;
};

} // namespace Chervilpin::Load
