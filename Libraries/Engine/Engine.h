#pragma once

#include <Core/Milliseconds.h>
#include <Engine/Actions.h>
#include <Engine/CallerMessages.h>
#include <Engine/NodeSettings.h>
#include <Peer/Message.h>
#include <Platform/Messages.h>
#include <Upstream/Messages.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Chervilpin::Engine {

/// How a database connection ended.
enum class ConnectionFailure {
    Refused, ///< It never opened.
    Broken,  ///< It was open and ended.
};

/// An operator's request over HTTP, free of any transport.
struct OperatorRequest
{
    RequestId id = 0;
    std::string method;
    std::string target;
    std::string authorization;
    std::string body;
};

/// One node of the fleet as a state machine: all decisions of a proxy, and no I/O.
///
/// Every input carries the time of the local clock, which must not go back. After each input the
/// harness takes the actions and carries them out. Two engines that are given the same settings,
/// seed and inputs return the same actions.
class Engine
{
public:
    Engine(NodeSettings, std::uint64_t seed, Core::Instant now);
    ~Engine();
    Engine(const Engine &) = delete;
    Engine &operator=(const Engine &) = delete;
    Engine(Engine &&) = delete;
    Engine &operator=(Engine &&) = delete;

    void callerRequest(CallerRequest, Core::Instant now);
    void operatorRequest(const OperatorRequest &, Core::Instant now);

    void connectionOpened(ConnectionId, Core::Instant now);
    void connectionEnded(ConnectionId, ConnectionFailure, Core::Instant now);
    void databaseAnswer(ConnectionId, Upstream::CorrelationId, Upstream::Answer, Core::Instant now);

    void platformReply(Platform::Reply, Core::Instant now);
    void peerMessage(const Peer::Incoming &, Core::Instant now);

    /// To be called every tickInterval or so; everything that waits for a time happens here.
    void tick(Core::Instant now);

    /// Takes no new requests, finishes the running ones, hands everything back, and asks for
    /// Stopped.
    void shutDown(Core::Instant now);

    /// Whether the balancer should send callers here.
    [[nodiscard]] bool isReady() const;

    /// The actions since the last call, in the order in which they must be carried out.
    [[nodiscard]] std::vector<Action> takeActions();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

/// How often tick() is to be called.
constexpr Core::Duration tickInterval{10};

} // namespace Chervilpin::Engine
