#include <Http/Connection.h>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace Chervilpin::Http {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

template<int Option>
using TcpOption = boost::asio::detail::socket_option::integer<IPPROTO_TCP, Option>;
using KeepAliveIdle = TcpOption<TCP_KEEPIDLE>;
using KeepAliveInterval = TcpOption<TCP_KEEPINTVL>;
using KeepAliveCount = TcpOption<TCP_KEEPCNT>;

constexpr int keepAliveIdleSeconds = 120;
constexpr int keepAliveIntervalSeconds = 20;
constexpr int keepAliveProbes = 3;

std::chrono::milliseconds toChrono(Core::Duration duration)
{
    return std::chrono::milliseconds(duration.milliseconds());
}

Request toRequest(http::request<http::string_body> message)
{
    Request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message)
        request.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    request.body = std::move(message.body());
    return request;
}

Response errorResponse(unsigned status, std::string_view reason)
{
    Response response;
    response.status = status;
    response.body = R"({"outcome":"not_run","reason":")" + std::string(reason) + R"("})";
    return response;
}

} // namespace

Connection::Connection(boost::asio::ip::tcp::socket socket, const ServerLimits &limits,
                       const Handler &handler, Closed closed)
    : stream_(std::move(socket))
    , limits_(limits)
    , handler_(handler)
    , closed_(std::move(closed))
    , requestTimer_(stream_.get_executor())
{
    using boost::asio::ip::tcp;
    beast::error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
    // A caller that vanished while idle is found by the kernel, without a timer of our own each.
    stream_.socket().set_option(tcp::socket::keep_alive(true), ignored);
    stream_.socket().set_option(KeepAliveIdle(keepAliveIdleSeconds), ignored);
    stream_.socket().set_option(KeepAliveInterval(keepAliveIntervalSeconds), ignored);
    stream_.socket().set_option(KeepAliveCount(keepAliveProbes), ignored);
}

void Connection::start()
{
    waitForRequest();
}

void Connection::closeWhenIdle()
{
    isClosing_ = true;
    if (isIdle_)
        close();
}

void Connection::refuse()
{
    isIdle_ = false;
    respond(errorResponse(503, "too_many_connections"), AfterResponse::Close);
}

void Connection::waitForRequest()
{
    isIdle_ = true;
    if (isClosing_) {
        close();
        return;
    }
    if (buffer_.size() > 0) {
        readHeader();
        return;
    }
    // The buffer is given back between requests; most callers are idle at any time.
    buffer_ = beast::flat_buffer();
    stream_.socket().async_wait(boost::asio::ip::tcp::socket::wait_read,
                                [self = shared_from_this()](beast::error_code error) {
                                    if (error)
                                        self->close();
                                    else
                                        self->readHeader();
                                });
}

void Connection::readHeader()
{
    isIdle_ = false;
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits_.headerBytes));
    parser_->body_limit(limits_.bodyBytes);
    buffer_.max_size(limits_.headerBytes + limits_.bodyBytes);
    startRequestTimer();
    http::async_read_header(stream_, buffer_, *parser_,
                            [self = shared_from_this()](beast::error_code error, std::size_t) {
                                if (error)
                                    self->respondToReadError(error);
                                else
                                    self->readBody();
                            });
}

void Connection::startRequestTimer()
{
    // NOTE: The stream's own timeout would close the socket, and leave nothing to answer 408 on.
    isReading_ = true;
    requestTimer_.expires_after(toChrono(limits_.requestTimeout));
    requestTimer_.async_wait([weak = weak_from_this()](beast::error_code error) {
        const auto self = weak.lock();
        if (error || !self || !self->isReading_)
            return;
        self->isTimedOut_ = true;
        beast::error_code ignored;
        self->stream_.socket().cancel(ignored);
    });
}

void Connection::readBody()
{
    http::async_read(stream_, buffer_, *parser_,
                     [self = shared_from_this()](beast::error_code error, std::size_t) {
                         if (error)
                             self->respondToReadError(error);
                         else
                             self->dispatch();
                     });
}

void Connection::dispatch()
{
    // A request may take up to its own deadline; the read timeout ends here.
    isReading_ = false;
    requestTimer_.cancel();
    stream_.expires_never();
    auto message = parser_->release();
    parser_.reset();
    httpVersion_ = message.version();
    const auto after = message.keep_alive() ? AfterResponse::KeepOpen : AfterResponse::Close;
    handler_(toRequest(std::move(message)), [self = shared_from_this(), after](Response response) {
        self->respond(std::move(response), after);
    });
}

void Connection::respondToReadError(beast::error_code error)
{
    isReading_ = false;
    requestTimer_.cancel();
    if (isTimedOut_) {
        respond(errorResponse(408, "request_timeout"), AfterResponse::Close);
        return;
    }
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        respond(errorResponse(431, "header_too_large"), AfterResponse::Close);
        return;
    }
    if (error == http::error::body_limit) {
        respond(errorResponse(413, "body_too_large"), AfterResponse::Close);
        return;
    }
    const bool isTransportError = error == http::error::end_of_stream
        || error == http::error::partial_message
        || error.category() == boost::system::system_category();
    if (isTransportError) {
        close();
        return;
    }
    respond(errorResponse(400, "malformed_http"), AfterResponse::Close);
}

void Connection::respond(Response response, AfterResponse after)
{
    parser_.reset();
    response_.emplace(static_cast<http::status>(response.status), httpVersion_);
    response_->set(http::field::content_type, response.contentType);
    for (const auto &field : response.fields)
        response_->set(field.name, field.value);
    response_->body() = std::move(response.body);
    response_->keep_alive(after == AfterResponse::KeepOpen && !isClosing_);
    response_->prepare_payload();
    write(isClosing_ ? AfterResponse::Close : after);
}

void Connection::write(AfterResponse after)
{
    stream_.expires_after(toChrono(limits_.requestTimeout));
    http::async_write(stream_, *response_,
                      [self = shared_from_this(), after](beast::error_code error, std::size_t) {
                          self->response_.reset();
                          if (error || after == AfterResponse::Close)
                              self->close();
                          else
                              self->waitForRequest();
                      });
}

void Connection::close()
{
    if (isClosed_)
        return;
    isClosed_ = true;
    beast::error_code ignored;
    stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    stream_.close();
    closed_(this);
}

} // namespace Chervilpin::Http
