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
        , socket_(context)
    {
        socket_.connect({boost::asio::ip::make_address("127.0.0.1"), port});
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
        http::write(socket_, request);
        reply_.reset();
        parser_.emplace();
        parser_->body_limit(boost::none);
        http::async_read(socket_, buffer_, *parser_, [this](auto error, std::size_t) {
            if (error)
                return;
            const auto &message = parser_->get();
            reply_ = HttpReply{message.result_int(), message.body(),
                               std::string(message["Store-Revision"])};
        });
    }

    /// Runs everything until the answer to the last request is there.
    HttpReply wait()
    {
        while (!reply_)
            context_.run_one();
        return *reply_;
    }

    HttpReply call(const HttpCall &call)
    {
        send(call);
        return wait();
    }

    [[nodiscard]] bool isAnswered() const { return reply_.has_value(); }

private:
    boost::asio::io_context &context_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
    std::optional<HttpReply> reply_;
};

} // namespace Chervilpin::PlatformStandIn
