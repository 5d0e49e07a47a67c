#pragma once

#include <Core/Milliseconds.h>
#include <Core/Result.h>
#include <Http/Messages.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string_view>

namespace Chervilpin::Http {

/// An HTTP/1.1 client of one server, with as many kept connections as there are calls at once.
///
/// Errors: Unavailable if the server was never reached (nothing can have been done there), Timeout
/// if the request may have been received. Connections are reset instead of closed, so that no part
/// of a request that was given up is delivered later. Runs on one thread.
class Client
{
public:
    using Completion = std::function<void(Core::ErrorOr<Response>)>;

    /// What becomes of a request that the server's machine doesn't acknowledge while this process
    /// is suspended or has ended, so that it can't reset the connection in time.
    enum class Unacknowledged {
        Retransmit, ///< The system goes on sending it.
        Discard,    ///< The system resets the connection after the timeout of the call.
    };

    Client(boost::asio::io_context &, boost::asio::ip::tcp::endpoint,
           Unacknowledged = Unacknowledged::Retransmit);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;
    Client(Client &&) = delete;
    Client &operator=(Client &&) = delete;

    /// Sends one request. The completion is called once, from the context. The timeout counts until
    /// the response begins, and then between any two parts of it.
    void send(Request, Core::Duration timeout, Completion);

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace Chervilpin::Http
