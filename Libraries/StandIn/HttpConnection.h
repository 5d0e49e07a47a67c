#pragma once

#include <StandIn/HttpServer.h>

#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

namespace Chervilpin::StandIn {

/// One caller's connection: reads requests one at a time and writes their answers.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(boost::asio::ip::tcp::socket socket, const HttpServer::Handler &handler)
        : socket_(std::move(socket))
        , handler_(handler)
    { }

    void readRequest();
    void write(HttpResponse);
    void goSilent();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    void handleRead(boost::system::error_code);
    void handleWritten(boost::system::error_code);
    void discard();

    boost::asio::ip::tcp::socket socket_;
    const HttpServer::Handler &handler_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    Response response_;
    std::array<char, 4096> discarded_{};
    bool isReading_ = false;
    bool isSilent_ = false;
};

} // namespace Chervilpin::StandIn
