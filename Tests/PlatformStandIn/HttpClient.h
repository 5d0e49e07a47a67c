#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Chervilpin::PlatformStandIn {

struct HttpCall
{
    std::string method;
    std::string target;
    std::string ifVersion;
    std::string body;
    std::string dataCentre;
};

struct HttpReply
{
    unsigned status = 0;
    std::string body;
    std::string revision;
};

/// One connection of a caller, driven by the same io_context as the server.
class HttpClient
{
public:
    HttpClient(boost::asio::io_context &context, std::uint16_t port)
        : context_(context)
        , state_(std::make_shared<State>(context))
    {
        state_->socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    }

    /// Sends a request and starts to wait for its answer.
    void send(const HttpCall &call)
    {
        namespace http = boost::beast::http;
        http::request<http::string_body> request;
        request.version(11);
        request.method_string(call.method);
        request.target(call.target);
        if (!call.ifVersion.empty())
            request.set("If-Version", call.ifVersion);
        if (!call.dataCentre.empty())
            request.set("Data-Centre", call.dataCentre);
        request.body() = call.body;
        request.prepare_payload();
        http::write(state_->socket, request);
        state_->reply.reset();
        state_->parser.emplace();
        state_->parser->body_limit(boost::none);
        auto &state = *state_;
        http::async_read(state.socket, state.buffer, *state.parser,
                         [kept = state_](auto error, auto) {
                             if (error)
                                 return;
                             const auto &message = kept->parser->get();
                             kept->reply = HttpReply{message.result_int(), message.body(),
                                                     std::string(message["Store-Revision"])};
                         });
    }

    /// Runs everything until the answer to the last request is there.
    HttpReply wait()
    {
        while (!state_->reply)
            context_.run_one();
        return *state_->reply;
    }

    HttpReply call(const HttpCall &call)
    {
        send(call);
        return wait();
    }

    ~HttpClient()
    {
        boost::system::error_code error;
        state_->socket.close(error);
    }
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    [[nodiscard]] bool isAnswered() const { return state_->reply.has_value(); }

private:
    /// Outlives the client while a read is under way, which may end after it.
    struct State
    {
        explicit State(boost::asio::io_context &context)
            : socket(context)
        { }

        boost::asio::ip::tcp::socket socket;
        boost::beast::flat_buffer buffer;
        std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser;
        std::optional<HttpReply> reply;
    };

    boost::asio::io_context &context_;
    std::shared_ptr<State> state_;
};

} // namespace Chervilpin::PlatformStandIn
