#pragma once

#include <Core/Result.h>
#include <Fleet/RelayResponder.h>
#include <Http/Server.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string_view>

namespace Chervilpin::SessionProxy {

/// Receives questions of other proxies over HTTP and sends the answers of a RelayResponder.
class RelayServer
{
public:
    static constexpr std::string_view path = "/relay";

    /// Listens on \a address, an `IP:port`; \a requestReceived is called after each question. Fails
    /// if the address can't be bound.
    static Core::ErrorOr<std::unique_ptr<RelayServer>>
    create(boost::asio::io_context &, std::string_view address, Fleet::RelayResponder &,
           std::function<void()> requestReceived);

    /// Sends the answers that are ready.
    void sendReplies();

private:
    RelayServer(Fleet::RelayResponder &, std::function<void()> requestReceived);
    void handleQuestion(const Http::Request &, const Http::Responder &);

    Fleet::RelayResponder &relayResponder_;
    std::function<void()> requestReceived_;
    std::unique_ptr<Http::Server> server_;
    std::map<Fleet::RelayResponder::RequestId, Http::Responder> responders_;
    Fleet::RelayResponder::RequestId nextRequestId_ = 1;
};

} // namespace Chervilpin::SessionProxy
