#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <platform/LineBuffer.h>
#include <string>
#include <string_view>

namespace Chervilpin::SessionProxy {

/// A connection that carries lines, to a caller or to a database. Runs on one thread.
class LineConnection : public std::enable_shared_from_this<LineConnection>
{
public:
    struct Handlers
    {
        /// Called for each line without its end; may close the connection.
        std::function<void(std::string_view)> line;
        /// Called once when the other end closed, or sent what can't be a line.
        std::function<void()> closed;
        /// Called after each batch of lines.
        std::function<void()> batchEnded;
    };

    LineConnection(boost::asio::ip::tcp::socket, Handlers);

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
    void takeLines();
    void flush();
    void fail();
    void close();

    boost::asio::ip::tcp::socket socket_;
    Handlers handlers_;
    Adapter::LineBuffer buffer_;
    std::string output_;
    bool isWaitingToWrite_ = false;
    bool isConnecting_ = false;
    bool isFinishing_ = false;
    bool isClosed_ = false;
};

} // namespace Chervilpin::SessionProxy
