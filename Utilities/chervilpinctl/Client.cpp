#include <Utilities/chervilpinctl/Client.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/parse.hpp>
#include <charconv>
#include <thread>

namespace Chervilpin::Control {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr int httpVersion = 11;
constexpr int attempts = 4;
constexpr unsigned gatewayTimeout = 504;
constexpr std::uint64_t maxAnswerBytes = 64UL * 1024 * 1024;

tl::unexpected<Failure> failure(FailureKind kind, std::string message)
{
    return tl::unexpected<Failure>(Failure{kind, std::move(message)});
}

tl::expected<asio::ip::tcp::endpoint, Failure> parseServer(const std::string &server)
{
    const std::size_t colon = server.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string::npos)
        std::from_chars(server.data() + colon + 1, server.data() + server.size(), port);
    boost::system::error_code problem;
    const auto address = asio::ip::make_address(server.substr(0, colon), problem);
    if (problem || port == 0)
        return failure(FailureKind::NotSent, server + " is not an IP number with a port");
    return asio::ip::tcp::endpoint(address, port);
}

/// One connection for one request; each step ends by itself or at the timeout.
class Exchange
{
public:
    explicit Exchange(std::chrono::milliseconds timeout)
        : stream_(context_)
        , timeout_(timeout)
    { }

    boost::system::error_code connect(const asio::ip::tcp::endpoint &endpoint)
    {
        stream_.expires_after(timeout_);
        stream_.async_connect(endpoint, [this](boost::system::error_code e) { problem_ = e; });
        return finish();
    }

    boost::system::error_code write(http::request<http::string_body> &request)
    {
        stream_.expires_after(timeout_);
        http::async_write(stream_, request,
                          [this](boost::system::error_code e, std::size_t) { problem_ = e; });
        return finish();
    }

    boost::system::error_code read(http::response_parser<http::string_body> &parser)
    {
        stream_.expires_after(timeout_);
        http::async_read(stream_, buffer_, parser,
                         [this](boost::system::error_code e, std::size_t) { problem_ = e; });
        return finish();
    }

private:
    boost::system::error_code finish()
    {
        context_.restart();
        context_.run();
        return problem_;
    }

    asio::io_context context_;
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    std::chrono::milliseconds timeout_;
    boost::system::error_code problem_;
};

} // namespace

Client::Client(std::vector<std::string> servers, std::string credential,
               std::chrono::milliseconds timeout, std::chrono::milliseconds firstPause)
    : servers_(std::move(servers))
    , credential_(std::move(credential))
    , timeout_(timeout)
    , firstPause_(firstPause)
{ }

tl::expected<Response, Failure> Client::send(const Request &request) const
{
    tl::expected<Response, Failure> last = failure(FailureKind::NotSent, "no server was given");
    for (const std::string &server : servers_) {
        last = sendTo(server, request);
        const bool canTryNext = !last && last.error().kind == FailureKind::NotSent;
        if (!canTryNext)
            return last;
    }
    return last;
}

tl::expected<Response, Failure> Client::sendUntilKnown(const Request &request) const
{
    bool mayHaveTakenEffect = false;
    auto pause = firstPause_;
    auto last = send(request);
    for (int attempt = 1; attempt < attempts; ++attempt) {
        const bool isUnknown =
            last ? last->status == gatewayTimeout : last.error().kind == FailureKind::AnswerLost;
        mayHaveTakenEffect = mayHaveTakenEffect || isUnknown;
        const bool isSettled = last ? !isUnknown : !mayHaveTakenEffect;
        if (isSettled)
            return last;
        std::this_thread::sleep_for(pause);
        pause *= 2;
        last = send(request);
    }
    if (!last && mayHaveTakenEffect)
        return failure(FailureKind::AnswerLost, last.error().message);
    return last;
}

tl::expected<Response, Failure> Client::sendTo(const std::string &server,
                                               const Request &request) const
{
    const auto endpoint = parseServer(server);
    if (!endpoint)
        return tl::unexpected(endpoint.error());
    Exchange exchange(timeout_);
    if (const auto problem = exchange.connect(*endpoint))
        return failure(FailureKind::NotSent, server + ": " + problem.message());

    http::request<http::string_body> message;
    message.version(httpVersion);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, server);
    message.set(http::field::authorization, "Bearer " + credential_);
    message.set(http::field::content_type, "application/json");
    message.keep_alive(false);
    message.body() = request.body;
    message.prepare_payload();
    if (const auto problem = exchange.write(message))
        return failure(FailureKind::AnswerLost, server + ": " + problem.message());

    http::response_parser<http::string_body> parser;
    parser.body_limit(maxAnswerBytes);
    if (const auto problem = exchange.read(parser))
        return failure(FailureKind::AnswerLost, server + ": " + problem.message());
    const auto answer = parser.release();
    boost::system::error_code problem;
    auto body = boost::json::parse(answer.body(), problem);
    if (problem)
        return failure(FailureKind::AnswerLost, server + ": the answer isn't JSON");
    return Response{answer.result_int(), std::move(body)};
}

} // namespace Chervilpin::Control
