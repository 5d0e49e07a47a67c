#include <Services/SessionProxy/StreamConnection.h>

#include <array>
#include <boost/asio/post.hpp>
#include <utility>

namespace Chervilpin::SessionProxy {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Bytes per read; most messages are far shorter.
constexpr std::size_t readBufferBytes = std::size_t{16} * 1024;
/// A connection whose peer leaves more output than this unread is closed.
constexpr std::size_t maximumOutputBytes = std::size_t{4} * 1024 * 1024;

/// Shared by all connections, which are read one at a time on one thread.
std::array<char, readBufferBytes> &readBuffer()
{
    static std::array<char, readBufferBytes> buffer;
    return buffer;
}

} // namespace

template<typename Buffer>
StreamConnection<Buffer>::StreamConnection(asio::ip::tcp::socket socket, Handlers handlers)
    : socket_(std::move(socket))
    , handlers_(std::move(handlers))
{ }

template<typename Buffer>
void StreamConnection<Buffer>::start()
{
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    waitForBytes();
}

template<typename Buffer>
void StreamConnection<Buffer>::connect(const asio::ip::tcp::endpoint &endpoint,
                                       std::function<void()> opened)
{
    isConnecting_ = true;
    isOutgoing_ = true;
    socket_.async_connect(
        endpoint, [self = this->shared_from_this(), opened = std::move(opened)](error_code error) {
            self->isConnecting_ = false;
            if (self->isClosed_)
                return;
            if (error) {
                self->fail();
                return;
            }
            self->start();
            opened();
        });
}

template<typename Buffer>
void StreamConnection<Buffer>::waitForBytes()
{
    if (std::exchange(isWaitingToRead_, true))
        return;
    socket_.async_wait(asio::socket_base::wait_read,
                       [self = this->shared_from_this()](error_code error) {
                           self->isWaitingToRead_ = false;
                           if (error || self->isClosed_)
                               return;
                           self->readBytes();
                       });
}

template<typename Buffer>
void StreamConnection<Buffer>::readBytes()
{
    error_code error;
    const std::size_t count = socket_.read_some(asio::buffer(readBuffer()), error);
    if (error && error != asio::error::would_block) {
        fail();
        return;
    }
    buffer_.feed(std::span(readBuffer()).first(count));
    readOn();
}

template<typename Buffer>
void StreamConnection<Buffer>::readOn()
{
    takeMessages();
    if (isClosed_ || isPaused_)
        return;
    if (buffer_.isOverlong())
        fail();
    else
        waitForBytes();
}

template<typename Buffer>
void StreamConnection<Buffer>::takeMessages()
{
    while (!isClosed_ && !isFinishing_ && !isPaused_) {
        const auto message = buffer_.next();
        if (!message)
            break;
        handlers_.message(*message);
    }
    if (const auto batchEnded = handlers_.batchEnded)
        batchEnded();
}

template<typename Buffer>
void StreamConnection<Buffer>::send(std::string_view text)
{
    if (isClosed_)
        return;
    output_ += text;
    if (!isWaitingToWrite_ && !isConnecting_)
        flush();
    if (output_.size() > maximumOutputBytes)
        fail();
}

template<typename Buffer>
void StreamConnection<Buffer>::resume()
{
    if (!std::exchange(isPaused_, false))
        return;
    asio::post(socket_.get_executor(), [self = this->shared_from_this()] {
        if (!self->isClosed_ && !self->isPaused_)
            self->readOn();
    });
}

template<typename Buffer>
void StreamConnection<Buffer>::flush()
{
    error_code error;
    const std::size_t count = socket_.write_some(asio::buffer(output_), error);
    output_.erase(0, count);
    if (error && error != asio::error::would_block) {
        fail();
        return;
    }
    if (output_.empty()) {
        if (isFinishing_)
            close();
        return;
    }
    isWaitingToWrite_ = true;
    socket_.async_wait(asio::socket_base::wait_write,
                       [self = this->shared_from_this()](error_code waitError) {
                           self->isWaitingToWrite_ = false;
                           if (!waitError && !self->isClosed_)
                               self->flush();
                       });
}

template<typename Buffer>
void StreamConnection<Buffer>::finish()
{
    isFinishing_ = true;
    if (output_.empty())
        close();
}

template<typename Buffer>
void StreamConnection<Buffer>::reset()
{
    if (isClosed_)
        return;
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

template<typename Buffer>
void StreamConnection<Buffer>::fail()
{
    if (isClosed_)
        return;
    const auto closed = handlers_.closed;
    const auto batchEnded = handlers_.batchEnded;
    // A statement that was given up must not reach the other side later. A caller gets its answers.
    if (isOutgoing_)
        reset();
    else
        close();
    closed();
    batchEnded();
}

template<typename Buffer>
void StreamConnection<Buffer>::close()
{
    if (isClosed_)
        return;
    isClosed_ = true;
    error_code ignored;
    socket_.close(ignored);
}

template class StreamConnection<Adapter::LineBuffer>;
template class StreamConnection<FleetWire::FrameBuffer>;

} // namespace Chervilpin::SessionProxy
