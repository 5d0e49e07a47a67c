#pragma once

#include <Core/Result.h>
#include <FleetWire/ForwardCodec.h>
#include <Services/SessionProxy/Listener.h>
#include <Services/SessionProxy/StreamConnection.h>
#include <Sessions/SessionEngine.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Chervilpin::SessionProxy {

/// Returns the address on which a proxy receives forwarded statements: the port after that of its
/// \a peerAddress. Fails if \a peerAddress is not an `IP:port`.
[[nodiscard]] Core::ErrorOr<std::string> forwardAddressOf(std::string_view peerAddress);

/// The outgoing links, on which this proxy forwards statements to poolers, and the incoming ones,
/// on which other proxies forward theirs to this one. All decisions are made by the SessionEngine.
class ForwardLinks
{
public:
    struct Handlers
    {
        std::function<Sessions::SessionId()> newSession;
        /// Called after each batch of frames.
        std::function<void()> batchEnded;
    };

    /// Listens on \a address, an `IP:port`. Fails if it can't be bound.
    static Core::ErrorOr<std::unique_ptr<ForwardLinks>> create(boost::asio::io_context &,
                                                               std::string_view address,
                                                               Sessions::SessionEngine &, Handlers);

    // Actions of the SessionEngine.
    void perform(const Sessions::OpenLink &);
    void perform(const Sessions::CloseLink &);
    void perform(const Sessions::PingLink &);
    void perform(const Sessions::ForwardStatement &);
    void perform(const Sessions::CloseChannel &);
    void perform(const Sessions::AnswerForwarded &);
    /// Closes the channel of a session that the engine has ended. Ignores sessions that don't
    /// belong to another proxy's channel.
    void endSession(Sessions::SessionId);

private:
    using LinkId = std::uint64_t;

    /// Identifies an operation that another proxy has forwarded to this one.
    struct Channel
    {
        LinkId link = 0;
        Sessions::ConnectionId id = 0;
    };

    /// A link that another proxy opened.
    struct Incoming
    {
        std::shared_ptr<FrameConnection> connection;
        std::unordered_map<Sessions::ConnectionId, Sessions::SessionId> sessions; ///< By channel.
    };

    ForwardLinks(boost::asio::io_context &, Sessions::SessionEngine &, Handlers);
    void handleAccepted(boost::asio::ip::tcp::socket);
    void outgoingFrame(const Core::NodeName &, std::string_view content);
    void incomingFrame(LinkId, std::string_view content);
    void handleStatement(LinkId, Incoming &, FleetWire::StatementFrame);
    void closeSession(Incoming &, Sessions::ConnectionId channel);
    void incomingClosed(LinkId);
    template<typename Frame>
    void sendTo(const Core::NodeName &, const Frame &);

    boost::asio::io_context &context_;
    Sessions::SessionEngine &sessions_;
    Handlers handlers_;
    std::unique_ptr<Listener> listener_;
    std::map<Core::NodeName, std::shared_ptr<FrameConnection>> outgoing_;
    std::unordered_map<LinkId, Incoming> incoming_;
    std::unordered_map<Sessions::SessionId, Channel> channels_;
    LinkId nextLink_ = 1;
    std::uint64_t nextPing_ = 1;
};

} // namespace Chervilpin::SessionProxy
