#pragma once

#include <Core/Name.h>
#include <Core/Result.h>
#include <Peer/Message.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Chervilpin::Proxy {

/// Sends and receives the one-way messages between proxies over gRPC.
class PeerTransport
{
public:
    using Received = std::function<void(const Peer::Incoming &)>;

    /// How much was carried, for the control-cost measures.
    struct Traffic
    {
        std::uint64_t messagesSent = 0;
        std::uint64_t bytesSent = 0;
        std::uint64_t messagesReceived = 0;
        std::uint64_t bytesReceived = 0;
    };

    /// Listens on an `IP:port`. The callback runs on the Asio context.
    static Core::ErrorOr<std::unique_ptr<PeerTransport>> create(boost::asio::io_context &,
                                                                const std::string &listenAddress,
                                                                Core::NodeName self,
                                                                Peer::Incarnation, Received);
    ~PeerTransport();
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;
    PeerTransport(PeerTransport &&) = delete;
    PeerTransport &operator=(PeerTransport &&) = delete;

    /// Sends without telling whether it arrived. A peer that can't be reached loses the message.
    void send(const std::string &address, const Peer::Outgoing &);

    [[nodiscard]] Traffic traffic() const;

private:
    struct State;
    explicit PeerTransport(std::unique_ptr<State>);
    std::unique_ptr<State> state_;
};

} // namespace Chervilpin::Proxy
