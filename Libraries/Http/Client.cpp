#include <Http/Client.h>

#include <Core/SteadyClock.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <netinet/tcp.h>
#include <optional>
#include <vector>

namespace Chervilpin::Http {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using Core::ErrorCode;
using Core::failure;

namespace {
/// Idle connections that are kept for later calls.
constexpr std::size_t maximumIdleConnections = 16;
/// The largest response body; the platform's values are up to a megabyte and lists are longer.
constexpr std::size_t maximumResponseBytes = std::size_t{64} * 1024 * 1024;
} // namespace

struct Client::State
{
    State(boost::asio::io_context &asioContext, boost::asio::ip::tcp::endpoint serverEndpoint,
          Unacknowledged policy)
        : context(asioContext)
        , endpoint(std::move(serverEndpoint))
        , unacknowledged(policy)
    { }

    boost::asio::io_context &context;
    boost::asio::ip::tcp::endpoint endpoint;
    Unacknowledged unacknowledged;
    std::vector<std::unique_ptr<beast::tcp_stream>> idle;
};

namespace {

/// One request on one connection.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    using Release = std::function<void(std::unique_ptr<beast::tcp_stream>)>;
    /// Called when a connection failed; others that were kept may be as silent.
    using Distrust = std::function<void()>;

    Exchange(std::unique_ptr<beast::tcp_stream> stream, Request request, Core::Duration timeout,
             Client::Unacknowledged unacknowledged, Client::Completion completion, Release release,
             Distrust distrust)
        : stream_(std::move(stream))
        , timeout_(timeout)
        , giveUpAt_(Core::SteadyClock::now() + timeout)
        , unacknowledged_(unacknowledged)
        , completion_(std::move(completion))
        , release_(std::move(release))
        , distrust_(std::move(distrust))
    {
        message_.method_string(request.method);
        message_.target(request.target);
        message_.version(11);
        for (const auto &field : request.fields)
            message_.set(field.name, field.value);
        message_.body() = std::move(request.body);
        message_.keep_alive(true);
    }

    void start(const boost::asio::ip::tcp::endpoint &endpoint)
    {
        message_.set(http::field::host, endpoint.address().to_string());
        message_.prepare_payload();
        stream_->expires_after(std::chrono::milliseconds(timeout_.milliseconds()));
        if (stream_->socket().is_open()) {
            write();
            return;
        }
        stream_->async_connect(endpoint, [self = shared_from_this()](beast::error_code error) {
            if (error) {
                self->fail(ErrorCode::Unavailable, error);
                return;
            }
            self->setOptions();
            self->write();
        });
    }

private:
    void setOptions()
    {
        auto &socket = stream_->socket();
        beast::error_code ignored;
        socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        // The system would go on sending what a closed connection has not delivered. The stream
        // closes the socket by itself when the timeout is over, so this is set beforehand.
        socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        if (unacknowledged_ == Client::Unacknowledged::Retransmit)
            return;
        const auto limit = static_cast<unsigned>(timeout_.milliseconds());
        (void)::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit,
                           sizeof(limit));
    }

    void write()
    {
        // The stream's timer doesn't advance while the machine is suspended.
        if (Core::SteadyClock::now() >= giveUpAt_) {
            fail(ErrorCode::Unavailable, beast::error::timeout);
            return;
        }
        http::async_write(*stream_, message_,
                          [self = shared_from_this()](beast::error_code error, std::size_t) {
                              if (error)
                                  self->fail(ErrorCode::Timeout, error);
                              else
                                  self->read();
                          });
    }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(maximumResponseBytes);
        readMore();
    }

    void readMore()
    {
        http::async_read_some(*stream_, buffer_, *parser_,
                              [self = shared_from_this()](beast::error_code error, std::size_t) {
                                  if (error)
                                      self->fail(ErrorCode::Timeout, error);
                                  else if (self->parser_->is_done())
                                      self->finish();
                                  else
                                      self->continueReading();
                              });
    }

    void continueReading()
    {
        // A long response over a slow link takes longer than the timeout, and a retry would make
        // the link slower still.
        stream_->expires_after(std::chrono::milliseconds(timeout_.milliseconds()));
        readMore();
    }

    void finish()
    {
        auto message = parser_->release();
        Response response;
        response.status = message.result_int();
        for (const auto &field : message)
            response.fields.push_back(
                {std::string(field.name_string()), std::string(field.value())});
        response.body = std::move(message.body());
        if (message.keep_alive()) {
            stream_->expires_never();
            release_(std::move(stream_));
        }
        completion_(std::move(response));
    }

    void fail(ErrorCode code, beast::error_code error)
    {
        stream_->close();
        distrust_();
        completion_(failure(code, error.message()));
    }

    std::unique_ptr<beast::tcp_stream> stream_;
    Core::Duration timeout_;
    Core::Instant giveUpAt_; ///< Nothing is sent at or after this.
    Client::Unacknowledged unacknowledged_;
    http::request<http::string_body> message_;
    beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::string_body>> parser_;
    Client::Completion completion_;
    Release release_;
    Distrust distrust_;
};

/// Whether the server has neither closed the idle connection nor sent anything on it.
bool isUsable(beast::tcp_stream &stream)
{
    beast::error_code error;
    stream.socket().non_blocking(true, error);
    char byte = 0;
    stream.socket().receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek,
                            error);
    return error == boost::asio::error::would_block;
}

} // namespace

Client::Client(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint endpoint,
               Unacknowledged unacknowledged)
    : state_(std::make_shared<State>(context, std::move(endpoint), unacknowledged))
{ }

Client::~Client() = default;

void Client::send(Request request, Core::Duration timeout, Completion completion)
{
    std::unique_ptr<beast::tcp_stream> stream;
    while (!stream && !state_->idle.empty()) {
        auto candidate = std::move(state_->idle.back());
        state_->idle.pop_back();
        if (isUsable(*candidate))
            stream = std::move(candidate);
    }
    if (!stream)
        stream = std::make_unique<beast::tcp_stream>(state_->context);
    auto release = [weak = std::weak_ptr<State>(state_)](std::unique_ptr<beast::tcp_stream> kept) {
        const auto state = weak.lock();
        if (state && state->idle.size() < maximumIdleConnections)
            state->idle.push_back(std::move(kept));
    };
    auto distrust = [weak = std::weak_ptr<State>(state_)] {
        if (const auto state = weak.lock())
            state->idle.clear();
    };
    std::make_shared<Exchange>(std::move(stream), std::move(request), timeout,
                               state_->unacknowledged, std::move(completion), std::move(release),
                               std::move(distrust))
        ->start(state_->endpoint);
}

} // namespace Chervilpin::Http
