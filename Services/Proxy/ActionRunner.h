#pragma once

#include <Core/Random.h>
#include <Engine/Engine.h>
#include <Http/Server.h>
#include <Observe/Metrics.h>
#include <Observe/SpanWriter.h>
#include <Services/Proxy/DatabaseConnection.h>
#include <Services/Proxy/PeerTransport.h>
#include <Services/Proxy/PlatformClient.h>
#include <Settings/DaemonSettings.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

namespace Chervilpin::Proxy {

/// Carries out the engine's actions on real transports, and gives the engine what comes back.
///
/// Runs on the Asio context's single thread.
class ActionRunner
{
public:
    static Core::ErrorOr<std::unique_ptr<ActionRunner>> create(boost::asio::io_context &,
                                                               const Settings::DaemonSettings &,
                                                               Observe::Metrics &,
                                                               std::function<void()> stopped);

    /// Hands a caller's request to the engine; the responder is called with its answer.
    void callerRequest(Engine::CallerRequest, Http::Responder);
    void operatorRequest(Engine::OperatorRequest, Http::Responder);
    void tick();
    void shutDown();

    [[nodiscard]] bool isReady() const { return engine_.isReady(); }
    /// Writes the transports' own figures into the metrics.
    void updateMetrics();

private:
    ActionRunner(boost::asio::io_context &, const Settings::DaemonSettings &,
                 boost::asio::ip::tcp::endpoint platform, Observe::Metrics &,
                 std::function<void()> stopped);

    void runActions();
    void run(Engine::AnswerCaller &);
    void run(Engine::AnswerOperator &);
    void run(Engine::OpenConnection &);
    void run(Engine::CloseConnection &);
    void run(Engine::SendToDatabase &);
    void run(Engine::CallPlatform &);
    void run(Engine::SendToPeer &);
    void run(Engine::LogEvent &);
    void run(Engine::RecordTrace &);
    void run(Engine::Count &);
    void run(Engine::Stopped &);

    void connectionEnded(Engine::ConnectionId, ConnectionEnd);

    struct WaitingCaller
    {
        Http::Responder responder;
        std::int64_t startMicroseconds = 0;
    };

    boost::asio::io_context &context_;
    const Settings::DaemonSettings &settings_;
    Observe::Metrics &metrics_;
    std::function<void()> stopped_;
    Engine::Engine engine_;
    PlatformClient platform_;
    std::unique_ptr<PeerTransport> peers_;
    Observe::SpanWriter spans_;
    Engine::RequestId nextRequestId_ = 1;
    std::unordered_map<Engine::RequestId, WaitingCaller> waitingCallers_;
    std::unordered_map<Engine::RequestId, Http::Responder> waitingOperators_;
    std::unordered_map<Engine::ConnectionId, std::unique_ptr<DatabaseConnection>> connections_;
    bool isRunningActions_ = false;
};

} // namespace Chervilpin::Proxy
