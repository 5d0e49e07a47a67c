#pragma once

#include <Core/Milliseconds.h>
#include <Core/Result.h>
#include <Http/Messages.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace Chervilpin::Http {

/// What a server accepts from the other end before it gives up on a connection.
struct ServerLimits
{
    std::size_t headerBytes = std::size_t{16} * 1024; ///< More is answered with 431.
    std::size_t bodyBytes = std::size_t{256} * 1024;  ///< More is answered with 413.
    std::size_t connections = 20'000;                 ///< More are answered with 503 and closed.
    Core::Duration requestTimeout{10'000}; ///< From the first byte of a request to its last.
};

/// Gives a request its response. May be called later, but from the server's thread, and once.
using Responder = std::function<void(Response)>;

/// Called for each complete request.
using Handler = std::function<void(Request, Responder)>;

/// An HTTP/1.1 server with keep-alive on one Asio context, which must run on a single thread.
///
/// A connection between requests holds no buffer, so that idle callers cost little.
class Server
{
public:
    /// Listens on \a address, an `IP:port`. Fails if it can't be bound.
    static Core::ErrorOr<std::unique_ptr<Server>>
    create(boost::asio::io_context &, std::string_view address, ServerLimits, Handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;
    Server(Server &&) = delete;
    Server &operator=(Server &&) = delete;

    /// Takes no new connections, and closes each open one after its running request.
    void stopAccepting();

    [[nodiscard]] std::size_t connectionCount() const;
    [[nodiscard]] std::uint16_t port() const;

private:
    struct State;
    explicit Server(std::shared_ptr<State>);

    std::shared_ptr<State> state_;
};

/// Splits `IP:port`; fails on host names and on ports outside 0 to 65535.
Core::ErrorOr<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address);

} // namespace Chervilpin::Http
