#pragma once

#include <Core/Milliseconds.h>
#include <Core/Result.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string_view>
#include <vector>

namespace Chervilpin::Load {

/// Connections that are opened and then say nothing, to measure what idle callers cost a proxy.
class IdleConnections
{
public:
    static Core::ErrorOr<std::unique_ptr<IdleConnections>>
    create(boost::asio::io_context &, std::string_view proxy, std::size_t count);

    /// Opens them, and closes all of them after \a length.
    void start(Core::Duration length);

private:
    IdleConnections(boost::asio::io_context &, boost::asio::ip::tcp::endpoint, std::size_t count);
    void openNext();

    boost::asio::io_context &context_;
    boost::asio::ip::tcp::endpoint endpoint_;
    std::size_t count_;
    boost::asio::steady_timer end_;
    std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> sockets_;
    bool isEnded_ = false;
};

} // namespace Chervilpin::Load
