#pragma once

#include <Core/Result.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string_view>

namespace Chervilpin::SessionProxy {

/// Accepts TCP connections on one address; tries again after a failure to accept one.
class Listener
{
public:
    using Handler = std::function<void(boost::asio::ip::tcp::socket)>;

    /// Listens on \a address, an `IP:port`. Fails if it can't be bound.
    static Core::ErrorOr<std::unique_ptr<Listener>>
    create(boost::asio::io_context &, std::string_view address, Handler accepted);

private:
    Listener(boost::asio::io_context &, Handler accepted);
    void acceptNext();

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retryTimer_;
    Handler accepted_;
};

} // namespace Chervilpin::SessionProxy
