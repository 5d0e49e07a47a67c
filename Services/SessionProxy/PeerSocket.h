#pragma once

#include <Core/Result.h>

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <string_view>

namespace Chervilpin::SessionProxy {

/// Sends and receives UDP datagrams to and from other proxies. A datagram that can't be sent at
/// once is dropped.
class PeerSocket
{
public:
    using Handler = std::function<void(std::string_view datagram)>;

    /// Fails if \a address, an `IP:port`, can't be bound.
    static Core::ErrorOr<std::unique_ptr<PeerSocket>> create(boost::asio::io_context &,
                                                             std::string_view address, Handler);

    void send(std::string_view address, std::string_view datagram);

private:
    PeerSocket(boost::asio::ip::udp::socket, Handler);
    void waitForDatagrams();
    void receive();

    boost::asio::ip::udp::socket socket_;
    Handler handler_;
};

} // namespace Chervilpin::SessionProxy
