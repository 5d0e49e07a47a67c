#include <Services/SessionProxy/Listening.h>

#include <string>

namespace Chervilpin::SessionProxy {

namespace asio = boost::asio;

Core::ErrorOr<std::monostate> listenOn(asio::ip::tcp::acceptor &acceptor,
                                       const asio::ip::tcp::endpoint &endpoint)
{
    boost::system::error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return Core::failure(Core::ErrorCode::Unavailable,
                             endpoint.address().to_string() + ":" + std::to_string(endpoint.port())
                                 + " can't be bound: " + error.message());
    return std::monostate();
}

} // namespace Chervilpin::SessionProxy
