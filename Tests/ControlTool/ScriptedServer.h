#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <thread>
#include <vector>

namespace Chervilpin::Testing {

/// What the server does with one request.
struct ScriptedAnswer
{
    unsigned status = 200; ///< 0: it reads the request and closes the connection.
    std::string body;
};

/// An HTTP server on loopback that answers one connection after another by a script.
class ScriptedServer
{
public:
    explicit ScriptedServer(std::vector<ScriptedAnswer> script);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    [[nodiscard]] std::string address() const;
    /// The bodies received. Only after finish().
    [[nodiscard]] const std::vector<std::string> &bodies() const { return bodies_; }
    /// Ends the server even if the script isn't at its end.
    void finish();

private:
    void serve();

    std::vector<ScriptedAnswer> script_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::string> bodies_;
    std::thread thread_;
};

} // namespace Chervilpin::Testing
