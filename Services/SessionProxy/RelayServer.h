#pragma once

#include <Core/Result.h>
#include <Fleet/RelayDesk.h>
#include <Http/Server.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string_view>

namespace Chervilpin::SessionProxy {

/// Takes the questions of other proxies over HTTP and sends what a RelayDesk answers.
class RelayServer
{
public:
    static constexpr std::string_view path = "/relay";

    /// Listens on \a address, an `IP:port`; \a asked is called after each question. Fails if the
    /// address can't be bound.
    static Core::ErrorOr<std::unique_ptr<RelayServer>> create(boost::asio::io_context &,
                                                              std::string_view address,
                                                              Fleet::RelayDesk &,
                                                              std::function<void()> asked);

    /// Sends the answers that are ready.
    void sendReplies();

private:
    RelayServer(Fleet::RelayDesk &, std::function<void()> asked);
    void ask(const Http::Request &, const Http::Responder &);

    Fleet::RelayDesk &desk_;
    std::function<void()> asked_;
    std::unique_ptr<Http::Server> server_;
    std::map<Fleet::RelayDesk::Ticket, Http::Responder> responders_;
    Fleet::RelayDesk::Ticket nextTicket_ = 1;
};

} // namespace Chervilpin::SessionProxy
