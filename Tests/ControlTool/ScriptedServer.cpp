#include <Tests/ControlTool/ScriptedServer.h>

#include <boost/asio/ip/address_v4.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace Chervilpin::Testing {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr int httpVersion = 11;

} // namespace

ScriptedServer::ScriptedServer(std::vector<ScriptedAnswer> script)
    : script_(std::move(script))
    , acceptor_(context_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    , thread_([this] { serve(); })
{ }

ScriptedServer::~ScriptedServer()
{
    finish();
}

std::string ScriptedServer::address() const
{
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void ScriptedServer::finish()
{
    if (!thread_.joinable())
        return;
    // A connection without a request ends a server that still waits for one.
    tcp::socket last(context_);
    boost::system::error_code ignored;
    last.connect(acceptor_.local_endpoint(), ignored);
    last.close(ignored);
    thread_.join();
}

void ScriptedServer::serve()
{
    for (const ScriptedAnswer &answer : script_) {
        tcp::socket socket(context_);
        boost::system::error_code problem;
        acceptor_.accept(socket, problem);
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> request;
        http::read(socket, buffer, request, problem);
        if (problem)
            return;
        bodies_.push_back(request.body());
        if (answer.status == 0)
            continue;
        http::response<http::string_body> response(http::int_to_status(answer.status), httpVersion);
        response.body() = answer.body;
        response.prepare_payload();
        http::write(socket, response, problem);
    }
}

} // namespace Chervilpin::Testing
