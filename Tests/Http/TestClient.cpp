#include <Http/Client.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <optional>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using boost::asio::ip::tcp;

namespace {

constexpr Core::Duration timeout{400};
/// Parts follow each other well within the timeout, all of them together take longer than it.
constexpr std::chrono::milliseconds pause{120};
constexpr int partCount = 6;

/// Answers one request with parts that follow each other after a pause.
class SlowServer
{
public:
    SlowServer(boost::asio::io_context &context, int partsSent)
        : acceptor_(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , socket_(context)
        , timer_(context)
        , partsSent_(partsSent)
    {
        acceptor_.async_accept(socket_, [this](boost::system::error_code error) {
            if (!error)
                send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(partCount)
                     + "\r\n\r\n");
        });
    }

    [[nodiscard]] tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

private:
    void send(std::string part)
    {
        part_ = std::move(part);
        boost::asio::async_write(socket_, boost::asio::buffer(part_),
                                 [this](boost::system::error_code error, std::size_t) {
                                     if (!error && partsSent_-- > 0)
                                         sendAfterPause();
                                 });
    }

    void sendAfterPause()
    {
        timer_.expires_after(pause);
        timer_.async_wait([this](boost::system::error_code error) {
            if (!error)
                send("x");
        });
    }

    tcp::acceptor acceptor_;
    tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::string part_;
    int partsSent_;
};

Core::ErrorOr<Http::Response> askFor(int partsSent)
{
    boost::asio::io_context context{1};
    SlowServer server(context, partsSent);
    Http::Client client(context, server.endpoint());
    std::optional<Core::ErrorOr<Http::Response>> result;
    client.send({"GET", "/", {}, {}}, timeout,
                [&](Core::ErrorOr<Http::Response> response) { result = std::move(response); });
    while (!result)
        context.run_one();
    return std::move(*result);
}

/// Accepts one connection, and reads from it only when it is told to.
class StalledServer
{
public:
    explicit StalledServer(boost::asio::io_context &context)
        : acceptor_(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , socket_(context)
    {
        acceptor_.async_accept(socket_, [](boost::system::error_code) {});
    }

    [[nodiscard]] tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

    /// Reads until the connection ends, and returns how many bytes arrived.
    std::size_t readAll(boost::system::error_code &end)
    {
        std::size_t total = 0;
        std::array<char, 65536> part{};
        socket_.non_blocking(false);
        while (!end)
            total += socket_.read_some(boost::asio::buffer(part), end);
        return total;
    }

private:
    tcp::acceptor acceptor_;
    tcp::socket socket_;
};

/// Sends a request that the server doesn't read until the client has given it up.
void sendToStalledServer(std::size_t bodyBytes, std::size_t &received,
                         boost::system::error_code &end)
{
    boost::asio::io_context context{1};
    StalledServer server(context);
    Http::Client client(context, server.endpoint(), Http::Client::Unacknowledged::Discard);
    bool isEnded = false;
    client.send({"POST", "/", {}, std::string(bodyBytes, 'x')}, timeout,
                [&](const Core::ErrorOr<Http::Response> &) { isEnded = true; });
    while (!isEnded)
        context.run_one();
    received = server.readAll(end);
}

} // namespace

TEST_GROUP(Client){};

/// An order that had been given up during a cut reached the platform after a later one, since the
/// system goes on sending what was written to a closed connection
/// (docs/incidents/2026-12-05-late-order.md).
TEST(Client, ARequestThatWasGivenUpIsNotDeliveredLater)
{
    constexpr std::size_t bodyBytes = std::size_t{32} * 1024 * 1024;
    std::size_t received = 0;
    boost::system::error_code end;
    sendToStalledServer(bodyBytes, received, end);
    CHECK(received < bodyBytes);
    CHECK(end == boost::asio::error::connection_reset);
}

/// As above, where the whole request was handed to the system at once.
TEST(Client, TheConnectionOfARequestThatWasGivenUpIsReset)
{
    std::size_t received = 0;
    boost::system::error_code end;
    sendToStalledServer(10, received, end);
    CHECK(end == boost::asio::error::connection_reset);
}

/// After all proxies of a large fleet have restarted, each reads the whole configuration over a
/// link that all share. Guards against reads that time out together and begin again.
TEST(Client, AResponseThatGoesOnArrivingDoesNotTimeOut)
{
    const auto response = askFor(partCount);
    CHECK(response.has_value());
    STRCMP_EQUAL("xxxxxx", response->body.c_str());
}

TEST(Client, AResponseThatStopsArrivingTimesOut)
{
    const auto response = askFor(partCount / 2);
    CHECK(!response.has_value());
    CHECK(response.error().code == Core::ErrorCode::Timeout);
}
