#include "Fetch.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace Chervilpin::Audit {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

Core::ErrorOr<std::string> fetch(std::string_view address, std::string_view path)
{
    const std::string host(address.substr(0, address.rfind(':')));
    const std::string port(address.substr(address.rfind(':') + 1));
    boost::asio::io_context context;
    boost::system::error_code error;
    tcp::resolver resolver(context);
    const auto endpoints = resolver.resolve(
        host, port, tcp::resolver::numeric_host | tcp::resolver::numeric_service, error);
    tcp::socket socket(context);
    if (!error)
        boost::asio::connect(socket, endpoints, error);
    http::request<http::string_body> request(http::verb::get, std::string(path), 11);
    request.set(http::field::host, std::string(address));
    if (!error)
        http::write(socket, request, error);
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    if (!error)
        http::read(socket, buffer, parser, error);
    if (error)
        return Core::failure(Core::ErrorCode::Unavailable,
                             std::string(address) + ": " + error.message());
    if (parser.get().result() != http::status::ok)
        return Core::failure(Core::ErrorCode::NotFound,
                             std::string(address) + std::string(path) + ": not served");
    return std::move(parser.get().body());
}

} // namespace Chervilpin::Audit
