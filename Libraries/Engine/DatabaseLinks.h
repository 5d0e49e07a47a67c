#pragma once

#include <Engine/Node.h>
#include <Failover/Actions.h>
#include <Failover/GroupFailover.h>

#include <functional>
#include <map>
#include <vector>

namespace Chervilpin::Engine {

/// Opens, probes and closes the connections to databases.
///
/// Pooled connections are decided by each database's Borrow::ConnectionPool. Fresh ones are opened
/// for a single request of the failover module, out of the reserve that the shares leave free.
class DatabaseLinks
{
public:
    /// How many connections to a database this node may have now.
    using Share = std::function<std::uint32_t(const Core::DatabaseName &)>;
    /// What the failover module is to be told.
    using Observer = std::function<void(const Failover::Observation &)>;

    /// What a connection's end leaves behind.
    struct End
    {
        std::vector<Outstanding> unanswered;
        /// Requests of the failover module that were waiting for the connection to open.
        std::vector<Failover::RequestToken> unsent;
    };

    DatabaseLinks(Node &node, Share share, Observer observer);

    void opened(ConnectionId, Core::Instant now);
    /// Removes a connection that ended, or that the engine gives up.
    [[nodiscard]] End ended(ConnectionId, Core::Instant now);
    /// To be called with each matched answer, after which a fresh connection is closed.
    void answered(const Outstanding &, Core::Instant now);

    /// Sends a request of the failover module.
    /// False if it can't be sent now, which is to be reported as no answer.
    [[nodiscard]] bool sendControl(const Failover::SendToDatabase &, Core::Instant now);

    /// Opens, probes and closes what the pools ask for.
    void maintain(Core::Instant now);
    /// Connections that owe an answer for too long, also to a probe. To be ended by the caller.
    [[nodiscard]] std::vector<ConnectionId> findSilent(Core::Instant now);
    /// Closes everything to a database that is no longer configured.
    [[nodiscard]] std::vector<ConnectionId> connectionsOf(const Core::DatabaseName &) const;
    /// Lends no more connections and closes what is idle.
    void leave();

private:
    void maintainDatabase(const Core::GroupName &, DatabaseRuntime &, Core::Instant now);
    void open(const Core::GroupName &, const DatabaseRuntime &, Borrow::Generation);
    void heartbeat(ConnectionId, Core::Instant now);
    ConnectionId openFresh(const Core::GroupName &, const Configuration::Database &);
    [[nodiscard]] std::size_t freshCount(const Core::DatabaseName &) const;

    Node &node_;
    Share share_;
    Observer observer_;
    std::map<ConnectionId, Failover::SendToDatabase> waitingForOpen_;
};

/// Connections to each database that the shares leave free for the failover module's own requests.
constexpr std::uint32_t controlConnectionReserve = 3;

} // namespace Chervilpin::Engine
