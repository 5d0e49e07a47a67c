#pragma once

#include <FleetWire/FrameBuffer.h>

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <platform/LineBuffer.h>
#include <string>
#include <string_view>

namespace Chervilpin::SessionProxy {

/// A TCP connection that carries messages; \a Buffer splits the received bytes into messages. Not
/// thread-safe: all connections must be used on the same thread.
template<typename Buffer>
class StreamConnection : public std::enable_shared_from_this<StreamConnection<Buffer>>
{
public:
    struct Handlers
    {
        /// Called for each message; may close the connection.
        std::function<void(std::string_view)> message;
        /// Called at most once: when the peer has closed, the connection has failed, or a message
        /// or the output that the peer hasn't read is too long.
        std::function<void()> closed;
        /// Called after each batch of messages.
        std::function<void()> batchEnded;
    };

    StreamConnection(boost::asio::ip::tcp::socket, Handlers);

    /// Starts to read from a socket that is connected already.
    void start();
    /// Connects, starts to read and calls \a opened; calls `closed` on failure.
    void connect(const boost::asio::ip::tcp::endpoint &, std::function<void()> opened);
    void send(std::string_view);
    /// Stops reading until resume(): what the peer sends then waits on its side.
    void pause() { isPaused_ = true; }
    /// Goes on reading, from the context.
    void resume();
    /// Closes once all pending output has been written, without calling `closed`.
    void finish();
    /// Closes at once with a TCP reset, which discards data in transit; doesn't call `closed`.
    void reset();

private:
    void waitForBytes();
    void readBytes();
    void readOn();
    void takeMessages();
    void flush();
    void fail();
    void close();

    boost::asio::ip::tcp::socket socket_;
    Handlers handlers_;
    Buffer buffer_;
    std::string output_;
    bool isWaitingToRead_ = false;
    bool isWaitingToWrite_ = false;
    bool isConnecting_ = false;
    bool isOutgoing_ = false;
    bool isFinishing_ = false;
    bool isClosed_ = false;
    bool isPaused_ = false;
};

/// To a caller or to a database.
using LineConnection = StreamConnection<Adapter::LineBuffer>;
/// To another proxy.
using FrameConnection = StreamConnection<FleetWire::FrameBuffer>;

extern template class StreamConnection<Adapter::LineBuffer>;
extern template class StreamConnection<FleetWire::FrameBuffer>;

} // namespace Chervilpin::SessionProxy
