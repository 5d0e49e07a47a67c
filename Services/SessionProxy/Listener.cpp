#include <Services/SessionProxy/Listener.h>

#include <Http/Server.h>
#include <Observe/Log.h>
#include <Services/SessionProxy/NodeTiming.h>

#include <chrono>
#include <string>

namespace Chervilpin::SessionProxy {

namespace asio = boost::asio;
using boost::system::error_code;

Listener::Listener(asio::io_context &context, Handler accepted)
    : acceptor_(context)
    , retryTimer_(context)
    , accepted_(std::move(accepted))
{ }

Core::ErrorOr<std::unique_ptr<Listener>>
Listener::create(asio::io_context &context, std::string_view address, Handler accepted)
{
    const auto endpoint = TRY(Http::parseEndpoint(address));
    std::unique_ptr<Listener> listener(new Listener(context, std::move(accepted)));
    asio::ip::tcp::acceptor &acceptor = listener->acceptor_;
    error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return Core::failure(Core::ErrorCode::Unavailable,
                             "can't listen on TCP address " + std::string(address) + ": "
                                 + error.message());
    listener->acceptNext();
    return listener;
}

void Listener::acceptNext()
{
    acceptor_.async_accept([this](error_code error, asio::ip::tcp::socket socket) {
        if (!error) {
            accepted_(std::move(socket));
            acceptNext();
            return;
        }
        Observe::log(Observe::Severity::Warning, "accept_failed", {{"why", error.message()}});
        retryTimer_.expires_after(std::chrono::milliseconds(acceptRetryDelay.milliseconds()));
        retryTimer_.async_wait([this](error_code) { acceptNext(); });
    });
}

} // namespace Chervilpin::SessionProxy
