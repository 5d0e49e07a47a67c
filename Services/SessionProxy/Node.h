#pragma once

#include <Core/Milliseconds.h>
#include <Core/Pace.h>
#include <Core/Result.h>
#include <Fleet/ConfigurationCatchUp.h>
#include <Fleet/FleetEngine.h>
#include <Fleet/RelayResponder.h>
#include <Http/Client.h>
#include <Http/Server.h>
#include <Observe/Metrics.h>
#include <Rates/RateLimiter.h>
#include <Services/SessionProxy/ForwardLinks.h>
#include <Services/SessionProxy/Listener.h>
#include <Services/SessionProxy/PeerSocket.h>
#include <Services/SessionProxy/RelayServer.h>
#include <Services/SessionProxy/SessionProxySettings.h>
#include <Services/SessionProxy/StoreLink.h>
#include <Services/SessionProxy/StoreSources.h>
#include <Services/SessionProxy/StreamConnection.h>
#include <Sessions/DirectoryView.h>
#include <Sessions/SessionEngine.h>
#include <Sessions/ShutdownSequence.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <platform/SessionCodec.h>
#include <set>
#include <string>
#include <unordered_map>

namespace Chervilpin::SessionProxy {

/// One proxy process: the session, fleet and rate limiting engines, and their sockets and timers.
///
/// Every input ends in pump(), which performs the actions of the engines and sets the timer to the
/// earliest of their deadlines.
class Node
{
public:
    Node(boost::asio::io_context &, SessionProxySettings, std::function<void()> stopped);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;
    Node(Node &&) = delete;
    Node &operator=(Node &&) = delete;

    /// Opens all listeners and starts to follow the store. Fails if an address is invalid or can't
    /// be bound.
    Core::ErrorOr<std::monostate> start();
    /// Begins a graceful shutdown and returns; `stopped` is called when it has ended.
    void stop();
    /// Applies the settings that can change at run time; ignores all others.
    void reload(const SessionProxySettings &);

private:
    struct Caller
    {
        std::shared_ptr<LineConnection> connection;
        bool isConnected = false; ///< The caller has sent its CONNECT message.
    };

    struct DatabaseConnection
    {
        std::shared_ptr<LineConnection> connection;
        Adapter::ReplyReader reader;
        bool isReady = false; ///< The database accepted the session.
    };

    // Callers.
    void handleAccepted(boost::asio::ip::tcp::socket);
    void handleCallerLine(Sessions::SessionId, std::string_view line);
    void handleCallerClosed(Sessions::SessionId);

    // Databases.
    void openDatabase(const Sessions::OpenConnection &);
    void handleDatabaseLine(Sessions::ConnectionId, std::string_view line);
    void handleDatabaseClosed(Sessions::ConnectionId, std::optional<Sessions::Failure>);

    // Platform and peers.
    void startStoreLinks();
    /// Starts the links other than that of the records.
    void startOtherLinks();
    [[nodiscard]] std::vector<StoreLink *> otherLinks() const;
    [[nodiscard]] std::unique_ptr<StoreLink>
    makeStoreLink(Fleet::ObjectKind, std::function<void(const StoreUpdate &)> onUpdate);
    void storeEraBegan(Fleet::Era);
    void checkEraOfPeers();
    void relayToPeers(Fleet::ObjectKind, const StoreUpdate &);
    void storeReachabilityChanged(Fleet::ObjectKind, bool isReachable, const std::string &why);
    void recordsReachabilityChanged(bool isReachable);
    void updateFeedRole();
    void checkConfigurationVersion(Core::Instant now);
    void handleConfigurationList(const std::vector<Adapter::StoreObject> &);
    void handleDirectoryList(const std::vector<Adapter::StoreObject> &);
    void handleDirectoryChanges(const std::vector<Adapter::StoreObject> &);
    void handleEvacuations(const StoreUpdate &);
    [[nodiscard]] std::optional<Sessions::DatabaseEntry>
    readEntry(const Adapter::StoreObject &object);
    void applyDirectory(Core::Instant now);
    void handlePeerDatagram(std::string_view);
    void handleMembersChanged(const Fleet::MembersChanged &, Core::Instant now);
    void handleRecords(const StoreUpdate &);
    void answerReady(const Http::Request &, const Http::Responder &) const;
    void answerMetrics(const Http::Responder &);

    // Actions.
    void pump();
    void perform(Sessions::Action &);
    void perform(const Fleet::Action &);
    void writeRecord(const Fleet::WriteRecord &);
    void requestPromotion(const Fleet::OrderPromotion &);
    void recordOutcome(const Sessions::CountOutcome &);
    void writeLogLine(const Sessions::LogLine &);
    [[nodiscard]] bool processRateLimiter(Core::Instant now);
    void synchroniseEngines(Core::Instant now);
    void armTimer();
    void advanceShutdown(Core::Instant now);

    boost::asio::io_context &context_;
    SessionProxySettings settings_;
    std::function<void()> stopped_;
    Sessions::SessionEngine sessions_;
    Core::Incarnation incarnation_;
    Fleet::FleetEngine fleet_;
    Rates::RateLimiter rates_;
    /// Answers other proxies of the data centre that follow the store through this one.
    Fleet::RelayResponder relayResponder_;
    Observe::Metrics metrics_;
    boost::asio::steady_timer timer_;
    std::optional<Http::Client> store_;
    std::optional<Http::Client> promotions_;
    std::unique_ptr<Http::Server> readyServer_;
    std::unique_ptr<Http::Server> metricsServer_;
    std::unique_ptr<PeerSocket> peers_;
    std::unique_ptr<RelayServer> relayServer_;
    std::unique_ptr<ForwardLinks> forwardLinks_;
    std::unique_ptr<Listener> callerListener_;
    std::unique_ptr<StoreSources> sources_;
    std::unique_ptr<StoreLink> recordsLink_;
    std::unique_ptr<StoreLink> configurationLink_;
    std::unique_ptr<StoreLink> directoryLink_;
    std::unique_ptr<StoreLink> evacuationsLink_; ///< Null if evacuations are not followed.
    std::unordered_map<Sessions::SessionId, Caller> callers_;
    std::unordered_map<Sessions::ConnectionId, DatabaseConnection> databases_;
    Sessions::DirectoryView directory_;
    std::set<Core::DataCentreName> evacuated_; ///< The data centres that are being evacuated.
    std::set<std::string> reportedUnreadableEntries_; ///< Names; each is logged once.
    Sessions::SessionId nextSession_ = 1;
    std::uint64_t configurationVersion_ = 0;
    std::optional<Fleet::Era> storeEra_; ///< The newest era that the store answered with.
    Fleet::Era eraOfPeers_ = 0;          ///< The newest era for which the records were refreshed.
    Fleet::ConfigurationCatchUp catchUp_;
    Core::Instant timerDueAt_;
    Core::Instant nextEngineSyncAt_;
    Core::Pace sampledLinePace_; ///< Limits log lines of successful requests.
    Core::Pace failureLinePace_; ///< Limits all other log lines.
    std::uint64_t rateLimitedLineCount_ = 0;
    /// Set once the process has been told to stop.
    std::optional<Sessions::ShutdownSequence> shutdownSequence_;
    bool isPumping_ = false;
    bool isTimerArmed_ = false;
};

} // namespace Chervilpin::SessionProxy
