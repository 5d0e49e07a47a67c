#include <Http/Server.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using boost::asio::ip::tcp;

namespace {

enum class AfterSending {
    KeepOpen,
    HalfClose, ///< The sending side is shut down; answers can still be read.
};

/// A server that answers every request with its body's length, and clients on the same context.
struct ServerRig
{
    explicit ServerRig(Http::ServerLimits limits = {})
    {
        auto created = Http::Server::create(
            context, "127.0.0.1:0", limits,
            [this](const Http::Request &request, const Http::Responder &responder) {
                ++requests;
                Http::Response response;
                response.body = std::to_string(request.body.size());
                responder(std::move(response));
            });
        CHECK(created.has_value());
        server = std::move(*created);
    }

    /// Sends bytes as they are and returns all that comes back until the server closes.
    std::string exchange(const std::string &bytes, AfterSending after)
    {
        tcp::socket socket(context);
        std::string received;
        bool isEnded = false;
        socket.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), server->port()));
        boost::asio::async_write(socket, boost::asio::buffer(bytes),
                                 [&](boost::system::error_code, std::size_t) {
                                     boost::system::error_code ignored;
                                     if (after == AfterSending::HalfClose)
                                         socket.shutdown(tcp::socket::shutdown_send, ignored);
                                 });
        boost::asio::async_read(socket, boost::asio::dynamic_buffer(received),
                                [&](boost::system::error_code, std::size_t) { isEnded = true; });
        while (!isEnded)
            context.run_one();
        return received;
    }

    boost::asio::io_context context{1};
    std::unique_ptr<Http::Server> server;
    int requests = 0;
};

std::string statusLine(const std::string &answer)
{
    return answer.substr(0, answer.find('\r'));
}

} // namespace

TEST_GROUP(Server){};

TEST(Server, EachBadInputHasItsExactAnswer)
{
    const std::string post = "POST / HTTP/1.1\r\nHost: h\r\n";
    struct Row
    {
        const char *what;
        std::string bytes;
        AfterSending after;
        const char *status;
    };
    const Row rows[] = {
        {"garbage", "\x16\x03\x01 no http\r\n\r\n", AfterSending::KeepOpen,
         "HTTP/1.1 400 Bad Request"},
        {"header flood", "GET / HTTP/1.1\r\nA: " + std::string(40'000, 'x') + "\r\n\r\n",
         AfterSending::KeepOpen, "HTTP/1.1 431 Request Header Fields Too Large"},
        {"announced body too large", post + "Content-Length: 9999999\r\n\r\n",
         AfterSending::KeepOpen, "HTTP/1.1 413 Payload Too Large"},
        {"negative length", post + "Content-Length: -1\r\n\r\n", AfterSending::KeepOpen,
         "HTTP/1.1 400 Bad Request"},
        {"slow sender", post + "Content-Length: 5\r\n\r\nab", AfterSending::KeepOpen,
         "HTTP/1.1 408 Request Timeout"},
        {"half-closed within the body", post + "Content-Length: 5\r\n\r\nab",
         AfterSending::HalfClose, ""},
        {"half-closed after the request", post + "Content-Length: 2\r\n\r\nab",
         AfterSending::HalfClose, "HTTP/1.1 200 OK"},
        {"nothing at all", "", AfterSending::HalfClose, ""},
    };
    for (const Row &row : rows) {
        Http::ServerLimits limits;
        limits.requestTimeout = Core::Duration(50);
        ServerRig rig(limits);
        const std::string answer = rig.exchange(row.bytes, row.after);
        STRCMP_EQUAL_TEXT(row.status, statusLine(answer).c_str(), row.what);
        while (rig.server->connectionCount() > 0)
            rig.context.run_one();
    }
}

TEST(Server, PipelinedRequestsAreAnsweredInOrder)
{
    ServerRig rig;
    const std::string two = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na"
                            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
                            "Connection: close\r\n\r\nab";
    const std::string answer = rig.exchange(two, AfterSending::KeepOpen);
    LONGS_EQUAL(2, rig.requests);
    CHECK(answer.find("\r\n\r\n1HTTP") != std::string::npos);
    CHECK(answer.ends_with("\r\n\r\n2"));
}

TEST(Server, ConnectionsBeyondTheLimitAreToldSo)
{
    Http::ServerLimits limits;
    limits.connections = 0;
    ServerRig rig(limits);
    STRCMP_EQUAL("HTTP/1.1 503 Service Unavailable",
                 statusLine(rig.exchange("", AfterSending::KeepOpen)).c_str());
}

TEST(Server, AddressesThatAreNoIpAndPortAreRefused)
{
    for (const char *address : {"", "1.2.3.4", "host:1", "1.2.3.4:", "1.2.3.4:70000", "1.2.3.4:x"})
        CHECK_TEXT(!Http::parseEndpoint(address).has_value(), address);
    CHECK(Http::parseEndpoint("127.0.0.1:80").has_value());
}
