#include <Services/SessionProxy/Node.h>

#include <Core/Overloaded.h>
#include <Core/SteadyClock.h>
#include <Fleet/RelayTiming.h>
#include <FleetWire/PeerMessageCodec.h>
#include <Services/SessionProxy/NodeTiming.h>

#include <algorithm>
#include <chrono>

namespace Chervilpin::SessionProxy {

namespace asio = boost::asio;
using boost::system::error_code;
using Observe::Severity;

namespace {

std::vector<Observe::LogField>
toFields(const std::vector<std::pair<std::string, std::string>> &pairs)
{
    std::vector<Observe::LogField> fields;
    fields.reserve(pairs.size());
    for (const auto &[key, value] : pairs)
        fields.push_back({key, value});
    return fields;
}

} // namespace

Node::Node(asio::io_context &context, SessionProxySettings settings, std::function<void()> stopped)
    : context_(context)
    , settings_(std::move(settings))
    , stopped_(std::move(stopped))
    , sessions_(settings_.node, settings_.dataCentre, Core::SteadyClock::now())
    , incarnation_(Core::newIncarnation())
    , fleet_({settings_.node, incarnation_, settings_.dataCentre, settings_.peerListen,
              settings_.capacity},
             Core::SteadyClock::now())
    , rates_({settings_.node, settings_.dataCentre, settings_.peerListen}, incarnation_)
    , timer_(context)
{
    sessions_.setCrossingCost(settings_.crossingCost);
    sessions_.setRegions(Sessions::RegionMap(settings_.regions));
    sessions_.setEvacuationGracePeriod(Fleet::evacuationGracePeriod(settings_.evacuationBound));
}

Node::~Node() = default;

Core::ErrorOr<std::monostate> Node::start()
{
    store_.emplace(context_, TRY(Http::parseEndpoint(settings_.storeAddress)));
    promotions_.emplace(context_, TRY(Http::parseEndpoint(settings_.promotionAddress)),
                        Http::Client::Unacknowledged::Discard);
    readyServer_ = TRY(Http::Server::create(
        context_, settings_.readyListen, Http::ServerLimits(),
        [this](const Http::Request &request, const Http::Responder &responder) {
            answerReady(request, responder);
        }));
    metricsServer_ =
        TRY(Http::Server::create(context_, settings_.metricsListen, Http::ServerLimits(),
                                 [this](const Http::Request &, const Http::Responder &responder) {
                                     answerMetrics(responder);
                                 }));
    peers_ = TRY(PeerSocket::create(context_, settings_.peerListen,
                                    [this](std::string_view text) { handlePeerDatagram(text); }));
    relayServer_ = TRY(
        RelayServer::create(context_, settings_.peerListen, relayResponder_, [this] { pump(); }));
    forwardLinks_ =
        TRY(ForwardLinks::create(context_, TRY(forwardAddressOf(settings_.peerListen)), sessions_,
                                 {[this] { return nextSession_++; },
                                  [this] {
                                      pump();
                                  }}));
    callerListener_ = TRY(
        Listener::create(context_, settings_.callerListen, [this](asio::ip::tcp::socket socket) {
            handleAccepted(std::move(socket));
        }));
    startStoreLinks();
    Observe::log(Severity::Info, "started",
                 {{"callers", settings_.callerListen},
                  {"peers", settings_.peerListen},
                  {"store", settings_.storeAddress}});
    pump();
    return std::monostate();
}

void Node::stop()
{
    if (shutdownSequence_)
        return;
    const Core::Instant now = Core::SteadyClock::now();
    shutdownSequence_.emplace(now, settings_.stopGrace);
    Observe::log(Severity::Info, "stopping",
                 {{"sessions", std::to_string(sessions_.sessionCount())},
                  {"grace_ms", std::to_string(settings_.stopGrace.milliseconds())}});
    sessions_.shutDown(now + settings_.stopGrace / 2 - transactionEndMargin, now);
    updateFeedRole();
    pump();
}

void Node::reload(const SessionProxySettings &settings)
{
    settings_.stopGrace = settings.stopGrace;
    settings_.maximumSessions = settings.maximumSessions;
    settings_.sampledLinesPerSecond = settings.sampledLinesPerSecond;
    Observe::log(Severity::Info, "reloaded", {{"node", settings_.node.value()}});
}

void Node::pump()
{
    if (isPumping_)
        return;
    isPumping_ = true;
    const Core::Instant now = Core::SteadyClock::now();
    synchroniseEngines(now);
    const double sampled = settings_.sampledLinesPerSecond;
    sessions_.setSampling(sampledLinePace_.isReady(sampled, sampled, now)
                              ? Sessions::SessionEngine::Sampling::Open
                              : Sessions::SessionEngine::Sampling::Closed);
    const auto expiry = directory_.nextExpiry();
    if (expiry && now >= *expiry)
        applyDirectory(now);
    sessions_.advance(now);
    fleet_.advance(now);
    rates_.advance(now);
    relayResponder_.advance(now);
    for (;;) {
        auto sessionActions = sessions_.takeActions();
        auto fleetActions = fleet_.takeActions();
        const bool hasHandledAny = processRateLimiter(now);
        if (sessionActions.empty() && fleetActions.empty() && !hasHandledAny)
            break;
        for (auto &action : sessionActions)
            perform(action);
        fleet_.advance(now);
        for (const auto &action : fleetActions)
            perform(action);
    }
    relayServer_->sendReplies();
    advanceShutdown(now);
    isPumping_ = false;
    armTimer();
}

void Node::perform(Sessions::Action &action)
{
    const Core::Instant now = Core::SteadyClock::now();
    std::visit(
        Core::Overloaded{
            [&](const Sessions::AcceptSession &accept) {
                const auto caller = callers_.find(accept.session);
                if (caller != callers_.end())
                    caller->second.connection->send(
                        Adapter::encodeReady(Sessions::TransactionState::None, {}));
            },
            [&](const Sessions::RequestAdmission &request) {
                rates_.requestAdmission(request.team, request.session, now);
            },
            [&](const Sessions::ReturnAdmission &unused) { rates_.refund(unused.team, now); },
            [&](const Sessions::AnswerSession &answer) {
                const auto caller = callers_.find(answer.session);
                if (caller == callers_.end())
                    return;
                // A failure to send removes the caller from the map, so keep the connection alive.
                const auto connection = caller->second.connection;
                connection->send(Adapter::encode(answer));
                if (!sessions_.isSaturated(answer.session))
                    connection->resume();
            },
            [&](const Sessions::EndSession &end) {
                forwardLinks_->endSession(end.session);
                const auto caller = callers_.find(end.session);
                if (caller == callers_.end())
                    return;
                const auto connection = caller->second.connection;
                if (end.failure)
                    connection->send(Adapter::encodeError(*end.failure, end.text));
                connection->finish();
                handleCallerClosed(end.session);
            },
            [&](const Sessions::OpenConnection &open) { openDatabase(open); },
            [&](const Sessions::CloseConnection &close) {
                const auto link = databases_.find(close.connection);
                if (link == databases_.end())
                    return;
                link->second.connection->reset();
                databases_.erase(link);
            },
            [&](const Sessions::SendStatement &send) {
                const auto link = databases_.find(send.connection);
                if (link != databases_.end())
                    link->second.connection->send(Adapter::encode(send));
            },
            [&](const Sessions::OpenLink &open) { forwardLinks_->perform(open); },
            [&](const Sessions::CloseLink &close) { forwardLinks_->perform(close); },
            [&](const Sessions::PingLink &ping) { forwardLinks_->perform(ping); },
            [&](const Sessions::ForwardStatement &forward) {
                metrics_.add("chervilpin_statements_forwarded_total", "");
                forwardLinks_->perform(forward);
            },
            [&](const Sessions::CloseChannel &close) { forwardLinks_->perform(close); },
            [&](const Sessions::AnswerForwarded &answer) { forwardLinks_->perform(answer); },
            [&](const Sessions::ReportHealth &report) {
                fleet_.primaryHealth(report.group, report.health, report.mark, now);
            },
            [&](const Sessions::ReportReleased &report) {
                fleet_.primaryReleased(report.group, report.revision, now);
            },
            [&](const Sessions::ReportStatus &report) {
                fleet_.statusAnswered(report.database, report.status, now);
            },
            [&](const Sessions::LogLine &line) { writeLogLine(line); },
            [&](const Sessions::CountOutcome &outcome) { recordOutcome(outcome); },
        },
        action);
}

void Node::perform(const Fleet::Action &action)
{
    const Core::Instant now = Core::SteadyClock::now();
    std::visit(Core::Overloaded{
                   [&](const Fleet::WriteRecord &write) { writeRecord(write); },
                   [&](const Fleet::DeleteRecord &record) {
                       store_->send(
                           Adapter::makeDelete(record), storeCallTimeout,
                           [key = record.key](const Core::ErrorOr<Http::Response> &response) {
                               Observe::log(Severity::Info, "record_deleted",
                                            {{"key", key},
                                             {"status",
                                              response ? std::to_string(response->status)
                                                       : response.error().message}});
                           });
                   },
                   [&](const Fleet::SendHeartbeat &send) {
                       peers_->send(send.address, FleetWire::encode(send.message));
                   },
                   [&](const Fleet::OrderPromotion &order) { requestPromotion(order); },
                   [&](const Fleet::QueryStatus &ask) { sessions_.queryStatus(ask.database, now); },
                   [&](const Fleet::PrimaryLease &lease) {
                       sessions_.setPrimaryLease({lease.group, lease.revision, lease.database,
                                                  lease.phase == Fleet::PrimaryPhase::Active,
                                                  lease.validUntil},
                                                 now);
                   },
                   [&](const Fleet::MembersChanged &change) { handleMembersChanged(change, now); },
                   [&](const Fleet::Event &event) {
                       Observe::log(Severity::Info, event.name, toFields(event.fields));
                   },
               },
               action);
}

void Node::writeRecord(const Fleet::WriteRecord &write)
{
    store_->send(Adapter::makeWrite(write), storeCallTimeout,
                 [this, id = write.id,
                  expected = write.expected](const Core::ErrorOr<Http::Response> &response) {
                     const auto result = Adapter::readWriteResult(response, expected);
                     fleet_.writeEnded(id, result.outcome, result.revision,
                                       Core::SteadyClock::now());
                     pump();
                 });
}

void Node::requestPromotion(const Fleet::OrderPromotion &order)
{
    metrics_.add("chervilpin_promotion_orders_total", "");
    const Core::Duration timeout = std::clamp(order.endsBy - Core::SteadyClock::now(),
                                              Core::Duration(1), promotionCallTimeout);
    promotions_->send(Adapter::makePromotion(order, settings_.node), timeout,
                      [this, id = order.id](const Core::ErrorOr<Http::Response> &response) {
                          fleet_.orderEnded(id, Adapter::readPromotionResult(response),
                                            Core::SteadyClock::now());
                          pump();
                      });
}

void Node::recordOutcome(const Sessions::CountOutcome &outcome)
{
    metrics_.add("chervilpin_statements_total",
                 "outcome=\"" + outcome.outcome + "\",on=\""
                     + (outcome.isOnReplica ? "replica" : "primary") + "\"");
    constexpr std::int64_t microseconds = 1'000;
    metrics_.add("chervilpin_statements_placed_total",
                 "reach=\"" + std::string(outcome.reach) + "\"");
    metrics_.record("chervilpin_statement_microseconds", "",
                    static_cast<std::uint64_t>(outcome.time.milliseconds() * microseconds));
    metrics_.record("chervilpin_queue_microseconds", "",
                    static_cast<std::uint64_t>(outcome.queued.milliseconds() * microseconds));
}

void Node::writeLogLine(const Sessions::LogLine &line)
{
    const Core::Instant now = Core::SteadyClock::now();
    const bool isSampled = line.importance == Sessions::Importance::Sampled;
    // Counted before the limit on lines, so that no decision is missing from the metrics.
    if (!isSampled)
        metrics_.add("chervilpin_events_total", "event=\"" + line.name + "\"");
    Core::Pace &pace = isSampled ? sampledLinePace_ : failureLinePace_;
    const double perSecond =
        isSampled ? settings_.sampledLinesPerSecond : settings_.failureLinesPerSecond;
    if (!pace.take(perSecond, perSecond, now)) {
        ++rateLimitedLineCount_;
        return;
    }
    Observe::log(Severity::Info, line.name, toFields(line.fields));
}

bool Node::processRateLimiter(Core::Instant now)
{
    const auto decisions = rates_.takeDecisions();
    for (const auto &decision : decisions) {
        if (decision.isGranted)
            sessions_.admitted(decision.ticket, now);
        else
            sessions_.refused(decision.ticket,
                              {decision.retryAfter, decision.ratePerSecond, decision.decidedBy,
                               decision.role == Rates::Role::Owner
                                   ? Sessions::RateDecider::Owner
                                   : Sessions::RateDecider::ShareHolder},
                              now);
    }
    for (const auto &event : rates_.takeEvents())
        writeLogLine({Sessions::Importance::Always,
                      "rate_owner_" + event.what,
                      {{"owner", event.node.value()},
                       {"team", event.team.value()},
                       {"role", event.role == Rates::Role::Owner ? "owner" : "holder"}}});
    for (const auto &event : rates_.takeShareEvents())
        writeLogLine({Sessions::Importance::Always,
                      "rate_share_changed",
                      {{"team", event.team.value()},
                       {"share", std::to_string(event.share)},
                       {"lender", event.lender.value()},
                       {"valid_ms", std::to_string(event.validFor.milliseconds())}}});
    const auto messages = rates_.takeMessages();
    for (const auto &outgoing : messages) {
        const bool isRequest = std::holds_alternative<Rates::TokenRequest>(outgoing.message);
        metrics_.add(
            isRequest ? "chervilpin_rate_asks_total" : "chervilpin_rate_share_messages_total", "");
        peers_->send(outgoing.address,
                     std::visit([](const auto &message) { return FleetWire::encode(message); },
                                outgoing.message));
    }
    return !decisions.empty() || !messages.empty();
}

void Node::synchroniseEngines(Core::Instant now)
{
    if (now < nextEngineSyncAt_)
        return;
    nextEngineSyncAt_ = now + engineSyncInterval;
    Observe::flushLog();
    fleet_.setConfigurationVersion(configurationVersion_);
    sessions_.setMemberCount(fleet_.memberCount(), now);
    sessions_.setDistances(fleet_.roundTrips());
    rates_.setFleetVisibility(fleet_.isInContact(now) ? Rates::FleetVisibility::Sufficient
                                                      : Rates::FleetVisibility::Insufficient);
    checkConfigurationVersion(now);
    checkEraOfPeers();
}

void Node::checkEraOfPeers()
{
    // A feed that is cut off from the store may lag behind the other proxies.
    const Fleet::Era newest = fleet_.newestEra();
    if (!storeEra_ || newest <= std::max(*storeEra_, eraOfPeers_))
        return;
    eraOfPeers_ = newest;
    recordsLink_->refreshFromStore();
}

void Node::checkConfigurationVersion(Core::Instant now)
{
    using Source = Fleet::ConfigurationCatchUp::Source;
    const std::uint64_t newest = fleet_.newestConfigurationOfPeers();
    const Source source = sources_->current().isStore() ? Source::Store : Source::Feed;
    if (!configurationLink_ || !catchUp_.isDue(configurationVersion_, newest, source, now))
        return;
    Observe::log(
        Severity::Info, "configuration_behind",
        {{"version", std::to_string(configurationVersion_)}, {"of_peers", std::to_string(newest)}});
    configurationLink_->refreshFromStore();
}

void Node::armTimer()
{
    const Core::Instant now = Core::SteadyClock::now();
    Core::Instant due = std::min(sessions_.nextDeadline(), fleet_.nextDeadline());
    due = std::min({due, nextEngineSyncAt_, rates_.nextDeadline(), relayResponder_.nextDeadline()});
    due = std::max(due, now + Core::Duration(1));
    if (isTimerArmed_ && timerDueAt_ <= due && timerDueAt_ > now)
        return;
    timerDueAt_ = due;
    isTimerArmed_ = true;
    timer_.expires_after(std::chrono::milliseconds((due - now).milliseconds()));
    timer_.async_wait([this](error_code error) {
        if (error)
            return;
        isTimerArmed_ = false;
        pump();
    });
}

void Node::advanceShutdown(Core::Instant now)
{
    if (!shutdownSequence_)
        return;
    nextEngineSyncAt_ = std::min(nextEngineSyncAt_, now + shutdownCheckInterval);
    switch (shutdownSequence_->advance(sessions_.sessionCount(), now)) {
    case Sessions::ShutdownSequence::Step::Wait:
        return;
    case Sessions::ShutdownSequence::Step::Leave:
        fleet_.leave(now);
        for (const auto &action : fleet_.takeActions())
            perform(action);
        return;
    case Sessions::ShutdownSequence::Step::Exit:
        Observe::log(Severity::Info, "stopped",
                     {{"sessions", std::to_string(sessions_.sessionCount())},
                      {"log_lines_dropped", std::to_string(Observe::droppedLogLines())}});
        stopped_();
        return;
    }
}

} // namespace Chervilpin::SessionProxy
