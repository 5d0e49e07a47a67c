#include <Http/Server.h>

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <string>

namespace Chervilpin::Http {

using Core::ErrorCode;
using Core::failure;

Core::ErrorOr<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return failure(ErrorCode::InvalidArgument,
                       "'" + std::string(address) + "' is not of the form IP:port");
    const std::string_view portText = address.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, problem] =
        std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (problem != std::errc() || end != portText.data() + portText.size())
        return failure(ErrorCode::InvalidArgument,
                       "'" + std::string(portText) + "' is not a port number");
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(std::string(address.substr(0, colon)), error);
    if (error)
        return failure(ErrorCode::InvalidArgument,
                       "'" + std::string(address.substr(0, colon)) + "' is not an IP number");
    return boost::asio::ip::tcp::endpoint(ip, port);
}

} // namespace Chervilpin::Http
