#pragma once

#include <Core/Result.h>

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Chervilpin::StandIn {

class HttpConnection;

struct HttpRequest
{
    std::string method;
    std::vector<std::string> path; ///< Decoded segments.
    std::vector<std::pair<std::string, std::string>> parameters;
    std::string dataCentre; ///< The Data-Centre header.
    std::string ifVersion;  ///< The If-Version header.
    std::string allHeaders; ///< As sent, for the search for secrets.
    std::string body;

    /// The value of a query parameter, or nothing.
    [[nodiscard]] std::string parameter(std::string_view name) const;
};

struct HttpResponse
{
    unsigned status = 200;
    std::string body = "{}";
    std::uint64_t revision = 0; ///< Sent as Store-Revision unless 0.
};

/// One request that waits for its answer.
class HttpExchange
{
public:
    HttpExchange(std::shared_ptr<HttpConnection> connection, HttpRequest request)
        : connection_(std::move(connection))
        , request_(std::move(request))
    { }

    [[nodiscard]] const HttpRequest &request() const { return request_; }
    /// Sends the answer; only the first call has an effect.
    void answer(HttpResponse);
    /// Leaves the connection open, unanswered and deaf for good.
    void goSilent();
    [[nodiscard]] const HttpConnection *connection() const { return connection_.get(); }

private:
    std::shared_ptr<HttpConnection> connection_;
    HttpRequest request_;
    bool isOver_ = false;
};

/// A small HTTP/1.1 server with keep-alive, on the thread that runs the io_context.
class HttpServer
{
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    /// Fails with Unavailable if the address, `IP:PORT`, can't be listened on.
    [[nodiscard]] static Core::ErrorOr<std::unique_ptr<HttpServer>>
    create(boost::asio::io_context &, std::string_view address, Handler);

    /// The port listened on, which the system chooses if the address says 0.
    [[nodiscard]] std::uint16_t port() const;

    /// Makes all connections deaf and mute for good, but for that of the given exchange.
    void silenceOthers(const HttpExchange &);

private:
    HttpServer(boost::asio::ip::tcp::acceptor, Handler);
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    Handler handler_;
    std::vector<std::weak_ptr<HttpConnection>> connections_;
};

} // namespace Chervilpin::StandIn
