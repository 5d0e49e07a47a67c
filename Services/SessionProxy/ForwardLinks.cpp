#include <Services/SessionProxy/ForwardLinks.h>

#include <Core/Overloaded.h>
#include <Core/SteadyClock.h>
#include <Http/Server.h>
#include <Observe/Log.h>

namespace Chervilpin::SessionProxy {

namespace asio = boost::asio;
using Observe::Severity;

Core::ErrorOr<std::string> forwardAddressOf(std::string_view peerAddress)
{
    const auto endpoint = TRY(Http::parseEndpoint(peerAddress));
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port() + 1);
}

ForwardLinks::ForwardLinks(asio::io_context &context, Sessions::SessionEngine &sessions,
                           Handlers handlers)
    : context_(context)
    , sessions_(sessions)
    , handlers_(std::move(handlers))
{ }

Core::ErrorOr<std::unique_ptr<ForwardLinks>> ForwardLinks::create(asio::io_context &context,
                                                                  std::string_view address,
                                                                  Sessions::SessionEngine &sessions,
                                                                  Handlers handlers)
{
    std::unique_ptr<ForwardLinks> links(new ForwardLinks(context, sessions, std::move(handlers)));
    links->listener_ =
        TRY(Listener::create(context, address, [self = links.get()](asio::ip::tcp::socket socket) {
            self->handleAccepted(std::move(socket));
        }));
    return links;
}

void ForwardLinks::handleAccepted(asio::ip::tcp::socket socket)
{
    const LinkId id = nextLink_++;
    FrameConnection::Handlers handlers;
    handlers.message = [this, id](std::string_view content) {
        incomingFrame(id, content);
    };
    handlers.closed = [this, id] {
        incomingClosed(id);
    };
    handlers.batchEnded = handlers_.batchEnded;
    const auto connection =
        std::make_shared<FrameConnection>(std::move(socket), std::move(handlers));
    incoming_[id].connection = connection;
    connection->start();
}

void ForwardLinks::perform(const Sessions::OpenLink &open)
{
    const auto endpoint = Http::parseEndpoint(open.address);
    if (!endpoint) {
        Observe::log(Severity::Warning, "address_unusable",
                     {{"node", open.node.value()}, {"address", open.address}});
        sessions_.linkLost(open.node, Core::SteadyClock::now());
        return;
    }
    FrameConnection::Handlers handlers;
    handlers.message = [this, node = open.node](std::string_view content) {
        outgoingFrame(node, content);
    };
    handlers.closed = [this, node = open.node] {
        outgoing_.erase(node);
        sessions_.linkLost(node, Core::SteadyClock::now());
    };
    handlers.batchEnded = handlers_.batchEnded;
    const auto connection =
        std::make_shared<FrameConnection>(asio::ip::tcp::socket(context_), std::move(handlers));
    outgoing_[open.node] = connection;
    connection->connect(*endpoint, [this, node = open.node] {
        sessions_.linkOpened(node, Core::SteadyClock::now());
        handlers_.batchEnded();
    });
}

void ForwardLinks::perform(const Sessions::CloseLink &close)
{
    const auto found = outgoing_.find(close.node);
    if (found == outgoing_.end())
        return;
    found->second->reset();
    outgoing_.erase(found);
}

template<typename Frame>
void ForwardLinks::sendTo(const Core::NodeName &node, const Frame &frame)
{
    const auto found = outgoing_.find(node);
    if (found == outgoing_.end())
        return;
    // A failure to send removes the link from the map, so keep the connection alive.
    const auto connection = found->second;
    connection->send(FleetWire::toFrame(FleetWire::encode(frame)));
}

void ForwardLinks::perform(const Sessions::PingLink &ping)
{
    sendTo(ping.node, FleetWire::PingFrame{nextPing_++});
}

void ForwardLinks::perform(const Sessions::ForwardStatement &forward)
{
    sendTo(forward.node, FleetWire::StatementFrame{forward.channel, forward.statement});
}

void ForwardLinks::perform(const Sessions::CloseChannel &close)
{
    sendTo(close.node, FleetWire::CloseFrame{close.channel});
}

void ForwardLinks::perform(const Sessions::AnswerForwarded &answer)
{
    const auto found = channels_.find(answer.session);
    if (found == channels_.end())
        return;
    const Channel channel = found->second;
    Incoming &link = incoming_.at(channel.link);
    const auto connection = link.connection;
    // The other proxy also considers the channel closed after such an answer.
    const bool isLast = answer.answer.reply.state == Sessions::TransactionState::None
        || answer.answer.progress != Sessions::ForwardedProgress::Sent;
    if (isLast)
        closeSession(link, channel.id);
    connection->send(
        FleetWire::toFrame(FleetWire::encode(FleetWire::ReplyFrame{channel.id, answer.answer})));
}

void ForwardLinks::endSession(Sessions::SessionId session)
{
    const auto found = channels_.find(session);
    if (found == channels_.end())
        return;
    const Channel channel = found->second;
    Incoming &link = incoming_.at(channel.link);
    const auto connection = link.connection;
    closeSession(link, channel.id);
    connection->send(FleetWire::toFrame(FleetWire::encode(FleetWire::CloseFrame{channel.id})));
}

void ForwardLinks::outgoingFrame(const Core::NodeName &node, std::string_view content)
{
    const Core::Instant now = Core::SteadyClock::now();
    auto frame = FleetWire::decodeFrame(content);
    if (!frame) {
        Observe::log(Severity::Warning, "frame_unreadable",
                     {{"node", node.value()}, {"why", frame.error().message}});
        return;
    }
    sessions_.linkHeard(node, now);
    if (auto *reply = std::get_if<FleetWire::ReplyFrame>(&*frame))
        sessions_.forwardedReply(reply->channel, std::move(reply->answer), now);
    else if (const auto *close = std::get_if<FleetWire::CloseFrame>(&*frame))
        sessions_.channelClosed(close->channel, now);
}

void ForwardLinks::incomingFrame(LinkId id, std::string_view content)
{
    const auto found = incoming_.find(id);
    if (found == incoming_.end())
        return;
    auto frame = FleetWire::decodeFrame(content);
    if (!frame) {
        Observe::log(Severity::Warning, "frame_unreadable", {{"why", frame.error().message}});
        return;
    }
    Incoming &link = found->second;
    if (auto *statement = std::get_if<FleetWire::StatementFrame>(&*frame)) {
        handleStatement(id, link, std::move(*statement));
    } else if (const auto *close = std::get_if<FleetWire::CloseFrame>(&*frame)) {
        closeSession(link, close->channel);
    } else if (const auto *ping = std::get_if<FleetWire::PingFrame>(&*frame)) {
        const auto connection = link.connection;
        connection->send(FleetWire::toFrame(FleetWire::encode(FleetWire::PongFrame{ping->number})));
    }
}

void ForwardLinks::handleStatement(LinkId id, Incoming &link, FleetWire::StatementFrame frame)
{
    auto session = link.sessions.find(frame.channel);
    if (session == link.sessions.end()) {
        session = link.sessions.emplace(frame.channel, handlers_.newSession()).first;
        channels_[session->second] = {id, frame.channel};
    }
    sessions_.forwardedStatement(session->second, std::move(frame.statement),
                                 Core::SteadyClock::now());
}

void ForwardLinks::closeSession(Incoming &link, Sessions::ConnectionId channel)
{
    const auto found = link.sessions.find(channel);
    if (found == link.sessions.end())
        return;
    const Sessions::SessionId session = found->second;
    link.sessions.erase(found);
    channels_.erase(session);
    sessions_.sessionClosed(session, Core::SteadyClock::now());
}

void ForwardLinks::incomingClosed(LinkId id)
{
    const auto found = incoming_.find(id);
    if (found == incoming_.end())
        return;
    const auto link = std::move(found->second);
    incoming_.erase(found);
    const Core::Instant now = Core::SteadyClock::now();
    for (const auto &[channel, session] : link.sessions) {
        channels_.erase(session);
        sessions_.sessionClosed(session, now);
    }
}

} // namespace Chervilpin::SessionProxy
