#pragma once

#include <Core/Result.h>

#include <boost/asio/ip/tcp.hpp>
#include <variant>

namespace Chervilpin::SessionProxy {

/// Opens the acceptor and listens. Fails if the endpoint can't be bound.
[[nodiscard]] Core::ErrorOr<std::monostate> listenOn(boost::asio::ip::tcp::acceptor &,
                                                     const boost::asio::ip::tcp::endpoint &);

} // namespace Chervilpin::SessionProxy
