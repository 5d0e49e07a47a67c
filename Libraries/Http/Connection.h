#pragma once

#include <Http/Server.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>

namespace Chervilpin::Http {

/// One accepted connection of a Server: reads a request, hands it over, writes the response,
/// repeats.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    /// Told once when the connection is finished.
    using Closed = std::function<void(Connection *)>;

    Connection(boost::asio::ip::tcp::socket, const ServerLimits &, const Handler &, Closed);

    void start();
    /// Closes at once if idle, otherwise after the running request's response.
    void closeWhenIdle();
    /// Answers the connection's first request with 503 and closes, because there are too many.
    void refuse();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using WireResponse = boost::beast::http::response<boost::beast::http::string_body>;

    enum class AfterResponse {
        KeepOpen,
        Close,
    };

    void waitForRequest();
    void readHeader();
    void readBody();
    void startRequestTimer();
    void dispatch();
    void respond(Response, AfterResponse);
    void respondToReadError(boost::beast::error_code);
    void write(AfterResponse);
    void close();

    boost::beast::tcp_stream stream_;
    const ServerLimits &limits_;
    const Handler &handler_;
    Closed closed_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    std::optional<WireResponse> response_;
    boost::asio::steady_timer requestTimer_;
    bool isReading_ = false;
    bool isTimedOut_ = false;
    bool isIdle_ = true;
    bool isClosing_ = false;
    bool isClosed_ = false;
    unsigned httpVersion_ = 11;
};

} // namespace Chervilpin::Http
