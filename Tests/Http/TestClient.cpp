#include <Http/Client.h>

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

} // namespace

TEST_GROUP(Client){};

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
