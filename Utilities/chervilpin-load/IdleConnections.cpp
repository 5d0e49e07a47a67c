#include <Utilities/chervilpin-load/IdleConnections.h>

#include <Http/Server.h>

#include <chrono>

namespace Chervilpin::Load {

Core::ErrorOr<std::unique_ptr<IdleConnections>>
IdleConnections::create(boost::asio::io_context &context, std::string_view proxy, std::size_t count)
{
    const auto endpoint = TRY(Http::parseEndpoint(proxy));
    if (!endpoint.address().is_loopback())
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "load goes to loopback addresses only");
    return std::unique_ptr<IdleConnections>(new IdleConnections(context, endpoint, count));
}

IdleConnections::IdleConnections(boost::asio::io_context &context,
                                 boost::asio::ip::tcp::endpoint endpoint, std::size_t count)
    : context_(context)
    , endpoint_(std::move(endpoint))
    , count_(count)
    , end_(context)
{ }

void IdleConnections::start(Core::Duration length)
{
    end_.expires_after(std::chrono::milliseconds(length.milliseconds()));
    end_.async_wait([this](boost::system::error_code) {
        isEnded_ = true;
        sockets_.clear();
    });
    openNext();
}

void IdleConnections::openNext()
{
    if (isEnded_ || sockets_.size() >= count_)
        return;
    auto &socket = sockets_.emplace_back(std::make_unique<boost::asio::ip::tcp::socket>(context_));
    socket->async_connect(endpoint_, [this](boost::system::error_code error) {
        if (!error)
            openNext();
    });
}

} // namespace Chervilpin::Load
