#include <Http/Connection.h>
#include <Http/Server.h>

#include <boost/asio/steady_timer.hpp>
#include <unordered_map>

namespace Chervilpin::Http {

using boost::asio::ip::tcp;
using Core::ErrorCode;
using Core::failure;

namespace {
/// How long accepting pauses when the process is out of descriptors.
constexpr std::chrono::milliseconds acceptRetryDelay{50};
} // namespace

struct Server::State : std::enable_shared_from_this<Server::State>
{
    State(boost::asio::io_context &context, ServerLimits serverLimits, Handler requestHandler)
        : acceptor(context)
        , acceptRetry(context)
        , limits(serverLimits)
        , handler(std::move(requestHandler))
    { }

    void accept()
    {
        acceptor.async_accept(
            [self = shared_from_this()](boost::system::error_code error, tcp::socket socket) {
                if (!self->acceptor.is_open())
                    return;
                if (error) {
                    self->acceptLater();
                    return;
                }
                self->add(std::move(socket));
                self->accept();
            });
    }

    void acceptLater()
    {
        acceptRetry.expires_after(acceptRetryDelay);
        acceptRetry.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (!error)
                self->accept();
        });
    }

    void add(tcp::socket socket)
    {
        auto connection = std::make_shared<Connection>(
            std::move(socket), limits, handler, [weak = weak_from_this()](Connection *closed) {
                if (const auto self = weak.lock())
                    self->connections.erase(closed);
            });
        const bool isFull = connections.size() >= limits.connections;
        connections.emplace(connection.get(), connection);
        if (isFull)
            connection->refuse();
        else
            connection->start();
    }

    tcp::acceptor acceptor;
    boost::asio::steady_timer acceptRetry;
    ServerLimits limits;
    Handler handler;
    std::unordered_map<Connection *, std::shared_ptr<Connection>> connections;
};

Core::ErrorOr<std::unique_ptr<Server>> Server::create(boost::asio::io_context &context,
                                                      std::string_view address, ServerLimits limits,
                                                      Handler handler)
{
    const tcp::endpoint endpoint = TRY(parseEndpoint(address));
    auto state = std::make_shared<State>(context, limits, std::move(handler));
    boost::system::error_code error;
    state->acceptor.open(endpoint.protocol(), error);
    if (!error)
        state->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        state->acceptor.bind(endpoint, error);
    if (!error)
        state->acceptor.listen(tcp::acceptor::max_listen_connections, error);
    if (error)
        return failure(ErrorCode::Unavailable,
                       "cannot listen on " + std::string(address) + ": " + error.message());
    state->accept();
    return std::unique_ptr<Server>(new Server(std::move(state)));
}

Server::Server(std::shared_ptr<State> state)
    : state_(std::move(state))
{ }

Server::~Server()
{
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
    state_->acceptRetry.cancel();
}

void Server::stopAccepting()
{
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
    state_->acceptRetry.cancel();
    const auto connections = state_->connections;
    for (const auto &[pointer, connection] : connections)
        connection->closeWhenIdle();
}

std::size_t Server::connectionCount() const
{
    return state_->connections.size();
}

std::uint16_t Server::port() const
{
    boost::system::error_code ignored;
    return state_->acceptor.local_endpoint(ignored).port();
}

} // namespace Chervilpin::Http
