#include <StandIn/HttpServer.h>

#include <StandIn/HttpConnection.h>

#include <charconv>
#include <utility>

namespace Chervilpin::StandIn {

namespace {

using boost::asio::ip::tcp;

Core::ErrorOr<tcp::endpoint> endpointOf(std::string_view address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return Core::failure(Core::ErrorCode::InvalidArgument, "an address is IP:PORT");
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(std::string(address.substr(0, colon)), error);
    std::uint16_t port = 0;
    const auto digits = address.substr(colon + 1);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error || parsed.ec != std::errc())
        return Core::failure(Core::ErrorCode::InvalidArgument, "an address is IP:PORT");
    return tcp::endpoint(ip, port);
}

} // namespace

std::string HttpRequest::parameter(std::string_view name) const
{
    for (const auto &[key, value] : parameters) {
        if (key == name)
            return value;
    }
    return {};
}

void HttpExchange::answer(HttpResponse response)
{
    if (std::exchange(isOver_, true))
        return;
    connection_->write(std::move(response));
}

void HttpExchange::goSilent()
{
    if (std::exchange(isOver_, true))
        return;
    connection_->goSilent();
}

HttpServer::HttpServer(tcp::acceptor acceptor, Handler handler)
    : acceptor_(std::move(acceptor))
    , handler_(std::move(handler))
{ }

Core::ErrorOr<std::unique_ptr<HttpServer>>
HttpServer::create(boost::asio::io_context &context, std::string_view address, Handler handler)
{
    const auto endpoint = TRY(endpointOf(address));
    tcp::acceptor acceptor(context);
    boost::system::error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return Core::failure(Core::ErrorCode::Unavailable,
                             "can't listen on " + std::string(address) + ": " + error.message());
    std::unique_ptr<HttpServer> server(new HttpServer(std::move(acceptor), std::move(handler)));
    server->accept();
    return server;
}

std::uint16_t HttpServer::port() const
{
    boost::system::error_code error;
    return acceptor_.local_endpoint(error).port();
}

void HttpServer::accept()
{
    acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (!error) {
            socket.set_option(tcp::no_delay(true), error);
            auto connection = std::make_shared<HttpConnection>(std::move(socket), handler_);
            std::erase_if(connections_, [](const auto &known) { return known.expired(); });
            connections_.push_back(connection);
            connection->readRequest();
        }
        accept();
    });
}

void HttpServer::silenceOthers(const HttpExchange &exchange)
{
    for (const auto &known : connections_) {
        const auto connection = known.lock();
        if (connection && connection.get() != exchange.connection())
            connection->goSilent();
    }
}

} // namespace Chervilpin::StandIn
