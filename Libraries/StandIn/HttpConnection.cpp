#include <StandIn/HttpConnection.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <sstream>
#include <utility>

namespace Chervilpin::StandIn {

namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t maximumBodyBytes = 1'048'576;

/// Fills in path and parameters; false if the target makes no sense.
bool readTarget(std::string_view target, HttpRequest &request)
{
    const auto url = boost::urls::parse_origin_form(target);
    if (!url)
        return false;
    for (const auto &segment : url->segments())
        request.path.emplace_back(segment);
    for (const auto &parameter : url->params())
        request.parameters.emplace_back(parameter.key, parameter.value);
    return true;
}

std::string headersOf(const http::request<http::string_body> &message)
{
    std::ostringstream text;
    text << message.base();
    return text.str();
}

HttpResponse failureResponse(unsigned status, std::string_view message)
{
    return {status, R"({"error":")" + std::string(message) + "\"}", 0};
}

} // namespace

void HttpConnection::readRequest()
{
    if (isSilent_)
        return;
    parser_.emplace();
    parser_->body_limit(maximumBodyBytes);
    isReading_ = true;
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                         self->handleRead(error);
                     });
}

void HttpConnection::handleRead(boost::system::error_code error)
{
    isReading_ = false;
    if (isSilent_)
        return discard();
    if (error == http::error::body_limit) {
        // The rest of the body is not read, so nothing more can be told apart on this connection.
        parser_->get().keep_alive(false);
        return write(failureResponse(413, "a body has at most a megabyte"));
    }
    if (error)
        return;
    auto &message = parser_->get();
    HttpRequest request;
    request.method = message.method_string();
    request.dataCentre = message["Data-Centre"];
    request.ifVersion = message["If-Version"];
    request.allHeaders = headersOf(message);
    request.body = std::move(message.body());
    if (!readTarget(message.target(), request))
        return write(failureResponse(400, "the path can't be read"));
    handler_(std::make_shared<HttpExchange>(shared_from_this(), std::move(request)));
}

void HttpConnection::write(HttpResponse response)
{
    if (isSilent_)
        return;
    response_ = Response(http::int_to_status(response.status), 11);
    response_.set(http::field::content_type, "application/json");
    if (response.revision != 0)
        response_.set("Store-Revision", std::to_string(response.revision));
    response_.keep_alive(parser_->get().keep_alive());
    response_.body() = std::move(response.body);
    response_.prepare_payload();
    http::async_write(socket_, response_,
                      [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                          self->handleWritten(error);
                      });
}

void HttpConnection::handleWritten(boost::system::error_code error)
{
    if (error)
        return;
    if (response_.keep_alive())
        return readRequest();
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
    // Closing with unread bytes would reset the connection and could destroy the answer.
    discard();
}

void HttpConnection::goSilent()
{
    if (std::exchange(isSilent_, true))
        return;
    // A read that is under way goes on discarding once it is cancelled.
    boost::system::error_code error;
    socket_.cancel(error);
    if (!isReading_)
        discard();
}

void HttpConnection::discard()
{
    socket_.async_read_some(
        boost::asio::buffer(discarded_),
        [self = shared_from_this()](boost::system::error_code error, std::size_t) {
            if (!error)
                self->discard();
        });
}

} // namespace Chervilpin::StandIn
