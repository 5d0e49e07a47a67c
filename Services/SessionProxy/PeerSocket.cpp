#include <Services/SessionProxy/PeerSocket.h>

#include <Http/Server.h>
#include <Observe/Log.h>

#include <array>

namespace Chervilpin::SessionProxy {

namespace asio = boost::asio;
using boost::system::error_code;
using Core::ErrorCode;

namespace {
constexpr std::size_t maximumDatagramBytes = std::size_t{64} * 1024;
} // namespace

PeerSocket::PeerSocket(asio::ip::udp::socket socket, Handler handler)
    : socket_(std::move(socket))
    , handler_(std::move(handler))
{ }

Core::ErrorOr<std::unique_ptr<PeerSocket>>
PeerSocket::create(asio::io_context &context, std::string_view address, Handler handler)
{
    const auto endpoint = TRY(Http::parseEndpoint(address));
    asio::ip::udp::socket socket(context);
    error_code error;
    socket.open(asio::ip::udp::v4(), error);
    if (!error)
        socket.bind({endpoint.address(), endpoint.port()}, error);
    if (!error)
        socket.non_blocking(true, error);
    if (error)
        return Core::failure(ErrorCode::Unavailable,
                             "can't bind UDP address " + std::string(address) + ": "
                                 + error.message());
    std::unique_ptr<PeerSocket> peers(new PeerSocket(std::move(socket), std::move(handler)));
    peers->waitForDatagrams();
    return peers;
}

void PeerSocket::waitForDatagrams()
{
    socket_.async_wait(asio::socket_base::wait_read, [this](error_code error) {
        if (error)
            return;
        receive();
        waitForDatagrams();
    });
}

void PeerSocket::receive()
{
    static std::array<char, maximumDatagramBytes> buffer;
    asio::ip::udp::endpoint sender;
    for (;;) {
        error_code error;
        const std::size_t count = socket_.receive_from(asio::buffer(buffer), sender, 0, error);
        if (error)
            return;
        handler_(std::string_view(buffer.data(), count));
    }
}

void PeerSocket::send(std::string_view address, std::string_view datagram)
{
    const auto endpoint = Http::parseEndpoint(address);
    if (!endpoint)
        return;
    error_code error;
    socket_.send_to(asio::buffer(datagram), {endpoint->address(), endpoint->port()}, 0, error);
    if (error)
        Observe::log(Observe::Severity::Debug, "datagram_not_sent",
                     {{"to", std::string(address)}, {"why", error.message()}});
}

} // namespace Chervilpin::SessionProxy
