#include <Services/Proxy/ActionRunner.h>

#include <Answer/AnswerWriter.h>
#include <Core/SteadyClock.h>
#include <Observe/Log.h>

#include <boost/asio/post.hpp>
#include <random>

namespace Chervilpin::Proxy {

namespace {

constexpr std::string_view jsonContentType = "application/json";

std::uint64_t entropy()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

Observe::Severity toSeverity(Engine::EventLevel level)
{
    switch (level) {
    case Engine::EventLevel::Debug:
        return Observe::Severity::Debug;
    case Engine::EventLevel::Info:
        return Observe::Severity::Info;
    case Engine::EventLevel::Warning:
        return Observe::Severity::Warning;
    }
    return Observe::Severity::Info;
}

Http::Response toResponse(const Engine::CallerAnswer &answer)
{
    Answer::AnswerText text = Answer::writeAnswer(answer);
    Http::Response response;
    response.status = text.httpStatus;
    response.body = std::move(text.body);
    if (!text.session.empty())
        response.fields.push_back({"Chervilpin-Session", std::move(text.session)});
    if (text.retryAfterSeconds > 0)
        response.fields.push_back({"Retry-After", std::to_string(text.retryAfterSeconds)});
    return response;
}

} // namespace

Core::ErrorOr<std::unique_ptr<ActionRunner>>
ActionRunner::create(boost::asio::io_context &context, const Settings::DaemonSettings &settings,
                     Observe::Metrics &metrics, std::function<void()> stopped)
{
    const auto platform = TRY(Http::parseEndpoint(settings.platformAddress));
    std::unique_ptr<ActionRunner> runner(
        new ActionRunner(context, settings, platform, metrics, std::move(stopped)));
    runner->peers_ = TRY(PeerTransport::create(
        context, settings.peerListen, settings.node.name, settings.node.incarnation,
        [raw = runner.get()](const Peer::Incoming &message) {
            raw->engine_.peerMessage(message, Core::SteadyClock::now());
            raw->runActions();
        }));
    runner->runActions();
    return runner;
}

ActionRunner::ActionRunner(boost::asio::io_context &context,
                           const Settings::DaemonSettings &settings,
                           boost::asio::ip::tcp::endpoint platform, Observe::Metrics &metrics,
                           std::function<void()> stopped)
    : context_(context)
    , settings_(settings)
    , metrics_(metrics)
    , stopped_(std::move(stopped))
    , engine_(settings.node, entropy(), Core::SteadyClock::now())
    , platform_(context, std::move(platform), settings.node.dataCentre)
    , spans_(settings.spanFile, "chervilpind", settings.node.name.view())
{ }

void ActionRunner::callerRequest(Engine::CallerRequest request, Http::Responder responder)
{
    request.id = nextRequestId_++;
    waitingCallers_.emplace(
        request.id, WaitingCaller{std::move(responder), Core::SteadyClock::nowMicroseconds()});
    engine_.callerRequest(std::move(request), Core::SteadyClock::now());
    runActions();
}

void ActionRunner::operatorRequest(Engine::OperatorRequest request, Http::Responder responder)
{
    request.id = nextRequestId_++;
    waitingOperators_.emplace(request.id, std::move(responder));
    engine_.operatorRequest(request, Core::SteadyClock::now());
    runActions();
}

void ActionRunner::tick()
{
    engine_.tick(Core::SteadyClock::now());
    runActions();
}

void ActionRunner::shutDown()
{
    engine_.shutDown(Core::SteadyClock::now());
    runActions();
}

void ActionRunner::updateMetrics()
{
    const auto traffic = peers_->traffic();
    metrics_.set("chervilpin_peer_sent_bytes", "", static_cast<std::int64_t>(traffic.bytesSent));
    metrics_.set("chervilpin_peer_received_bytes", "",
                 static_cast<std::int64_t>(traffic.bytesReceived));
    metrics_.set("chervilpin_peer_sent_messages", "",
                 static_cast<std::int64_t>(traffic.messagesSent));
    metrics_.set("chervilpin_platform_calls", "", static_cast<std::int64_t>(platform_.callCount()));
    metrics_.set("chervilpin_database_connections", "",
                 static_cast<std::int64_t>(connections_.size()));
}

void ActionRunner::runActions()
{
    // An action can lead to an input within it; the outer loop carries out what that asks for.
    if (isRunningActions_)
        return;
    isRunningActions_ = true;
    for (auto actions = engine_.takeActions(); !actions.empty(); actions = engine_.takeActions()) {
        for (auto &action : actions)
            std::visit([this](auto &body) { run(body); }, action);
    }
    isRunningActions_ = false;
}

void ActionRunner::run(Engine::AnswerCaller &action)
{
    const auto waiting = waitingCallers_.find(action.answer.id);
    if (waiting == waitingCallers_.end())
        return;
    const auto elapsed = Core::SteadyClock::nowMicroseconds() - waiting->second.startMicroseconds;
    const std::string labels = "outcome=\"" + std::string(Core::toString(action.answer.outcome))
        + "\",reason=\"" + Engine::toString(action.answer.reason) + "\"";
    metrics_.add("chervilpin_requests_total", labels);
    metrics_.record("chervilpin_request_microseconds", "", static_cast<std::uint64_t>(elapsed));
    const auto responder = std::move(waiting->second.responder);
    waitingCallers_.erase(waiting);
    responder(toResponse(action.answer));
}

void ActionRunner::run(Engine::AnswerOperator &action)
{
    const auto waiting = waitingOperators_.find(action.id);
    if (waiting == waitingOperators_.end())
        return;
    const auto responder = std::move(waiting->second);
    waitingOperators_.erase(waiting);
    Http::Response response;
    response.status = action.httpStatus;
    response.contentType = jsonContentType;
    response.body = std::move(action.body);
    responder(std::move(response));
}

void ActionRunner::run(Engine::OpenConnection &action)
{
    DatabaseConnection::Events events;
    events.opened = [this, id = action.id] {
        engine_.connectionOpened(id, Core::SteadyClock::now());
        runActions();
    };
    events.answered = [this, id = action.id](Upstream::CorrelationId correlation,
                                             Upstream::Answer answer) {
        engine_.databaseAnswer(id, correlation, std::move(answer), Core::SteadyClock::now());
        runActions();
    };
    events.ended = [this, id = action.id](ConnectionEnd end, const std::string &) {
        connectionEnded(id, end);
    };
    const DatabaseConnection::Identity identity{settings_.node.name, settings_.node.dataCentre,
                                                action.group};
    connections_.emplace(action.id,
                         std::make_unique<DatabaseConnection>(context_, action.address, identity,
                                                              std::move(events)));
}

void ActionRunner::connectionEnded(Engine::ConnectionId id, ConnectionEnd end)
{
    connections_.erase(id);
    const auto failure = end == ConnectionEnd::Refused ? Engine::ConnectionFailure::Refused
                                                       : Engine::ConnectionFailure::Broken;
    engine_.connectionEnded(id, failure, Core::SteadyClock::now());
    runActions();
}

void ActionRunner::run(Engine::CloseConnection &action)
{
    connections_.erase(action.id);
}

void ActionRunner::run(Engine::SendToDatabase &action)
{
    const auto connection = connections_.find(action.connection);
    // A connection that just broke is reported by its own event, which is on its way.
    if (connection != connections_.end())
        connection->second->send(action.correlation, action.body);
}

void ActionRunner::run(Engine::CallPlatform &action)
{
    platform_.call(action.call, [this](Platform::Reply reply) {
        engine_.platformReply(std::move(reply), Core::SteadyClock::now());
        runActions();
    });
}

void ActionRunner::run(Engine::SendToPeer &action)
{
    peers_->send(action.address, action.message);
}

void ActionRunner::run(Engine::LogEvent &action)
{
    std::vector<Observe::LogField> fields;
    for (auto &field : action.fields)
        fields.push_back({std::move(field.key), std::move(field.value)});
    Observe::log(toSeverity(action.level), action.name, fields);
}

void ActionRunner::run(Engine::RecordTrace &action)
{
    constexpr std::int64_t microsecondsPerMillisecond = 1000;
    std::vector<Observe::Span> spans;
    for (auto &hop : action.hops) {
        Observe::Span span;
        span.context = {action.traceId, std::move(hop.spanId), true};
        span.parentSpanId = std::move(hop.parentSpanId);
        span.name = std::move(hop.name);
        span.startMicroseconds = hop.start.millisecondsSinceOrigin() * microsecondsPerMillisecond;
        span.endMicroseconds = hop.end.millisecondsSinceOrigin() * microsecondsPerMillisecond;
        span.outcome = std::move(hop.outcome);
        spans.push_back(std::move(span));
    }
    spans_.write(spans);
}

void ActionRunner::run(Engine::Count &action)
{
    metrics_.add(action.name, action.labels, action.amount);
}

void ActionRunner::run(Engine::Stopped &)
{
    stopped_();
}

} // namespace Chervilpin::Proxy
