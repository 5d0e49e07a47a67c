#pragma once

#include <FleetWire/FrameBuffer.h>

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <platform/LineBuffer.h>
#include <string>
#include <string_view>

namespace Chervilpin::SessionProxy {

/// A connection that carries messages, which a \a Buffer cuts from the bytes. Runs on one thread.
template<typename Buffer>
class StreamConnection : public std::enable_shared_from_this<StreamConnection<Buffer>>
{
public:
    struct Handlers
    {
        /// Called for each message; may close the connection.
        std::function<void(std::string_view)> message;
        /// Called once when the other end closed, or sent what can't be a message.
        std::function<void()> closed;
        /// Called after each batch of messages.
        std::function<void()> batchEnded;
    };

    StreamConnection(boost::asio::ip::tcp::socket, Handlers);

    /// Starts to read an open connection.
    void start();
    /// Opens the connection, then starts to read.
    void connect(const boost::asio::ip::tcp::endpoint &, std::function<void()> opened);
    void send(std::string_view);
    /// Closes after what was sent has left, without calling `closed`.
    void finish();
    /// Closes at once with a reset, so that nothing under way arrives; doesn't call `closed`.
    void reset();

private:
    void waitForBytes();
    void readBytes();
    void takeMessages();
    void flush();
    void fail();
    void close();

    boost::asio::ip::tcp::socket socket_;
    Handlers handlers_;
    Buffer buffer_;
    std::string output_;
    bool isWaitingToWrite_ = false;
    bool isConnecting_ = false;
    bool isFinishing_ = false;
    bool isClosed_ = false;
};

/// To a caller or to a database.
using LineConnection = StreamConnection<Adapter::LineBuffer>;
/// To another proxy.
using FrameConnection = StreamConnection<FleetWire::FrameBuffer>;

extern template class StreamConnection<Adapter::LineBuffer>;
extern template class StreamConnection<FleetWire::FrameBuffer>;

} // namespace Chervilpin::SessionProxy
