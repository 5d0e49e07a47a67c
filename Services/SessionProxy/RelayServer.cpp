#include <Services/SessionProxy/RelayServer.h>

#include <Core/SteadyClock.h>
#include <FleetWire/RelayCodec.h>
#include <Observe/Log.h>

namespace Chervilpin::SessionProxy {

RelayServer::RelayServer(Fleet::RelayResponder &relayResponder,
                         std::function<void()> requestReceived)
    : relayResponder_(relayResponder)
    , requestReceived_(std::move(requestReceived))
{ }

Core::ErrorOr<std::unique_ptr<RelayServer>>
RelayServer::create(boost::asio::io_context &context, std::string_view address,
                    Fleet::RelayResponder &relayResponder, std::function<void()> requestReceived)
{
    std::unique_ptr<RelayServer> relay(new RelayServer(relayResponder, std::move(requestReceived)));
    relay->server_ = TRY(Http::Server::create(
        context, address, Http::ServerLimits(),
        [self = relay.get()](const Http::Request &request, const Http::Responder &responder) {
            self->handleQuestion(request, responder);
        }));
    return relay;
}

void RelayServer::handleQuestion(const Http::Request &request, const Http::Responder &responder)
{
    const auto question = FleetWire::decodeRelayQuestion(request.body);
    if (request.target != path || !question) {
        constexpr unsigned badRequest = 400;
        Observe::log(
            Observe::Severity::Warning, "relay_question_refused",
            {{"why", question ? "no such path: " + request.target : question.error().message}});
        Http::Response response;
        response.status = badRequest;
        responder(std::move(response));
        return;
    }
    const Fleet::RelayResponder::RequestId requestId = nextRequestId_++;
    responders_.emplace(requestId, responder);
    relayResponder_.ask(requestId, *question, Core::SteadyClock::now());
    requestReceived_();
}

void RelayServer::sendReplies()
{
    for (const auto &reply : relayResponder_.takeReplies()) {
        auto found = responders_.extract(reply.requestId);
        if (found.empty())
            continue;
        Http::Response response;
        response.contentType = "application/x-protobuf";
        response.body = FleetWire::encode(reply.answer);
        found.mapped()(std::move(response));
    }
}

} // namespace Chervilpin::SessionProxy
