#pragma once

#include <boost/json/value.hpp>
#include <chrono>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace Chervilpin::Control {

struct Request
{
    std::string method; ///< Such as `GET`.
    std::string target;
    std::string body;
};

struct Response
{
    unsigned status = 0;
    boost::json::value body;
};

enum class FailureKind {
    NotSent,    ///< No server was reached, so nothing was changed.
    AnswerLost, ///< It was sent, and no usable answer came.
};

struct Failure
{
    FailureKind kind = FailureKind::NotSent;
    std::string message;
};

/// Talks HTTP/1.1 to the operator port of a proxy.
class Client
{
public:
    /// \a servers are IP:port; the next is tried when one can't be reached. \a firstPause is before
    /// the second try of a request whose outcome is unknown, and doubles with each.
    Client(std::vector<std::string> servers, std::string credential,
           std::chrono::milliseconds timeout, std::chrono::milliseconds firstPause);

    /// Sends once to the first server that can be reached.
    [[nodiscard]] tl::expected<Response, Failure> send(const Request &) const;
    /// Sends again, with pauses, while the outcome is unknown. Only for requests with a nonce.
    [[nodiscard]] tl::expected<Response, Failure> sendUntilKnown(const Request &) const;

private:
    [[nodiscard]] tl::expected<Response, Failure> sendTo(const std::string &server,
                                                         const Request &) const;

    std::vector<std::string> servers_;
    std::string credential_;
    std::chrono::milliseconds timeout_;
    std::chrono::milliseconds firstPause_;
};

} // namespace Chervilpin::Control
