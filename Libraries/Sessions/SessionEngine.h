#pragma once

#include <Core/Milliseconds.h>
#include <Sessions/Actions.h>
#include <Sessions/ConnectionLimits.h>
#include <Sessions/Database.h>
#include <Sessions/EvacuationTable.h>
#include <Sessions/Placement.h>
#include <Sessions/PoolerTable.h>
#include <Sessions/RegionMap.h>
#include <Sessions/RoutingTable.h>
#include <Sessions/Session.h>
#include <Sessions/WaitEstimate.h>

#include <functional>
#include <map>
#include <queue>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Chervilpin::Sessions {

/// Lease of a group's primary, given by the fleet: which database this proxy may use as the
/// primary, and until when.
struct PrimaryLease
{
    Core::GroupName group;
    std::uint64_t revision = 0; ///< Of the record of the primary; a higher one supersedes it.
    Core::DatabaseName database;
    bool isActive = false;
    Core::Instant validUntil;
};

/// Runs the sessions of a proxy's callers over its database connections, without I/O.
///
/// A statement goes through these steps: authenticate (when the session is opened), admit (the
/// team's rate limit), queue, place (choose a database), assign (a connection, on which the
/// session's state is set up), execute, confirm (the lease of the primary still holds), answer.
class SessionEngine
{
public:
    /// \a self and \a dataCentre are the proxy's own.
    SessionEngine(Core::NodeName self, Core::DataCentreName dataCentre, Core::Instant now);

    // Control plane.
    void configure(RoutingTablePointer, Core::Instant now);
    void directoryChanged(std::span<const DatabaseEntry>, Core::Instant now);
    void setPrimaryLease(const PrimaryLease &, Core::Instant now);
    void setMemberCount(std::size_t, Core::Instant now);
    /// Sets the proxies that may be poolers, including this one.
    void setPoolMembers(std::vector<PoolerCandidate>, Core::Instant now);
    /// Sets the round-trip times to the data centres.
    void setDistances(std::map<Core::DataCentreName, Core::Duration> roundTrips)
    {
        roundTrips_ = std::move(roundTrips);
    }
    /// What a read that leaves the data centre may cost, beside its time.
    void setCrossingCost(Core::Duration cost) { crossingCost_ = cost; }
    void setRegions(RegionMap regions) { regions_ = std::move(regions); }
    /// How long a primary is used after the evacuation of its data centre was learned of.
    void setEvacuationGracePeriod(Core::Duration gracePeriod)
    {
        evacuations_.setGracePeriod(gracePeriod);
    }
    /// Sets the data centres that are being evacuated.
    void evacuationsChanged(std::span<const Core::DataCentreName>, Core::Instant now);
    /// Whether the caller has sent so many statements without waiting for answers that no more
    /// should be read from it until some are answered.
    [[nodiscard]] bool isSaturated(SessionId) const;
    /// Queries the status of a database as soon as a connection is available. Emits no ReportStatus
    /// if the database does not reply.
    void queryStatus(const Core::DatabaseName &, Core::Instant now);
    /// Closes each session once it is idle. Open transactions are aborted at \a transactionsUntil.
    void shutDown(Core::Instant transactionsUntil, Core::Instant now);
    [[nodiscard]] bool isConfigured() const { return table_->version != 0; }
    /// Whether statements can be served: the configuration and the directory are known.
    [[nodiscard]] bool isReady() const { return isConfigured() && isDirectoryKnown_; }

    // Callers.
    void sessionOpened(SessionId, std::string_view databaseName, std::string_view key,
                       Core::Instant now);
    void statement(SessionId, Statement, Core::Instant now);
    void sessionClosed(SessionId, Core::Instant now);
    /// The answers to RequestAdmission. Ignored if the session is gone.
    void admitted(SessionId, Core::Instant now);
    void refused(SessionId, const RateRefusal &, Core::Instant now);

    // Databases.
    void connectionOpened(ConnectionId, std::optional<Core::LogMark>, Core::Instant now);
    /// The connection was closed or could not be opened. \a reason is the failure that the database
    /// reported, if any.
    void connectionEnded(ConnectionId, std::optional<Failure> reason, Core::Instant now);
    void reply(ConnectionId, DatabaseReply, Core::Instant now);

    // Links to poolers, and messages received over them.
    void linkOpened(const Core::NodeName &, Core::Instant now);
    void linkLost(const Core::NodeName &, Core::Instant now);
    void linkHeard(const Core::NodeName &, Core::Instant now);
    void forwardedReply(ConnectionId channel, ForwardedReply, Core::Instant now);
    /// The pooler closed the channel.
    void channelClosed(ConnectionId, Core::Instant now);
    /// Runs a statement forwarded by another proxy. \a session identifies the channel, until
    /// sessionClosed().
    void forwardedStatement(SessionId session, ForwardedStatement, Core::Instant now);

    /// The latest time at which advance() has to be called.
    [[nodiscard]] Core::Instant nextDeadline();
    void advance(Core::Instant now);
    [[nodiscard]] std::vector<Action> takeActions();

    /// Whether log lines of Importance::Sampled would currently be written.
    enum class Sampling {
        Open,
        Closed,
    };
    void setSampling(Sampling sampling) { sampling_ = sampling; }
    /// Number of log lines skipped because sampling was closed.
    [[nodiscard]] std::uint64_t sampledLinesSkipped() const { return sampledLinesSkipped_; }

    [[nodiscard]] std::size_t sessionCount() const { return sessions_.size(); }
    [[nodiscard]] std::size_t connectionCount() const { return connections_.size(); }

private:
    // Statements of callers.
    void start(Session &, Statement, Core::Instant now);
    void refuseUnservable(Session &, const Statement &, std::string_view reason, Core::Instant now);
    void startNext(Session &, Core::Instant now);
    void answerLocally(Session &, const Statement &, Core::Instant now);
    void begin(Session &, const Statement &, Core::Instant now);
    void endFailedTransaction(Session &, const Statement &, Core::Instant now);
    void rollBackTransaction(Session &, Core::Instant now);
    void returnAdmission(const Session &);
    void startOperation(Session &, Statement, Core::Instant now);
    [[nodiscard]] bool resolveRoute(Session &, Core::Instant now);
    void enqueue(Session &, Statement, Core::Instant now);

    // The queue (SessionEngineQueue.cpp).
    void insertByOrder(Group &, const Session &);
    /// Whether a replica of the group has not refused the session's statement yet.
    [[nodiscard]] static bool hasUntriedReplica(const Session &, const Group &);
    /// The load of the database that a queued statement of another proxy waits for.
    [[nodiscard]] WaitEstimate::SlotLoad loadAhead(const Session &, const Group &);
    /// The load that another proxy gets to know with the answer to its statement.
    [[nodiscard]] std::optional<PoolerLoad> poolerLoad(const Session &);
    /// Refuses a queued statement of another proxy that is expected not to start in time.
    void refuseIfUnmeetable(Session &, Group &, Core::Instant now);
    void refuseForLackOfRoom(Session &, Core::Duration retryAfter, Core::Instant now);
    void runPinned(Session &, Statement, Core::Instant now);

    // Placement and sending.
    /// Whether a statement that is let through to an unreachable primary counts as its next probe.
    enum class Probing {
        Check,
        Take,
    };
    void dispatch(Group &, Core::Instant now);
    /// Returns why no database can serve the statement in time, if so: none is in its regions, or
    /// the primary has been unusable for at least primaryOutageThreshold and no replica may serve
    /// it.
    [[nodiscard]] std::optional<std::string_view>
    unservableReason(const Session &, const Statement &, Group &, Probing, Core::Instant now);
    [[nodiscard]] bool place(Session &, Group &, Core::Instant now);
    /// Chooses a database for the session's statement; returns its index in the group.
    [[nodiscard]] std::optional<std::size_t>
    chooseDatabase(Session &, Group &, const Placement::Requirement &, Core::Instant now);
    void estimateTime(Placement::Candidate &, const Database &, Core::Instant now) const;
    [[nodiscard]] Placement::Requirement needOf(const Session &, const Statement &, const Group &,
                                                Core::Instant now) const;
    [[nodiscard]] std::vector<Placement::Candidate>
    candidates(const Session &, const Group &, const Placement::Requirement &, Core::Instant now);
    /// Tries to reach an unresponsive database again.
    void probeReach(const Session &, Database &, Core::Instant now);
    /// Tries to connect to a primary that this proxy knows no path to, as long as callers ask for
    /// it.
    void probePrimary(Group &, Core::Instant now);
    /// A statement that was placed on the database could not be sent yet.
    void noteUnsent(Database &, Core::Instant now);
    [[nodiscard]] static bool isEligibleReplica(const Database &replica,
                                                const Placement::Requirement &, Core::Instant now);
    [[nodiscard]] Connection *findIdle(const Database &, const Core::TeamName &,
                                       const SessionValues &);
    [[nodiscard]] double evictionRate(const Database &, Core::Instant now);
    [[nodiscard]] const Connection *findEvictionCandidate(const Database &) const;
    [[nodiscard]] bool isAnyInUseForStatement(const Database &, const Core::TeamName &) const;
    [[nodiscard]] bool isOpening(const Database &, const Core::TeamName &) const;
    void openFor(Database &, const Core::TeamName &, Core::Duration waited, Core::Instant now);
    [[nodiscard]] ConnectionLimits connectionLimits(const Database &, Core::Instant now);
    [[nodiscard]] std::optional<GroupLimits> limitsOf(const Database &) const;
    void assign(Session &, Connection &, Core::Instant now);
    void proceed(Session &, Core::Instant now);
    void send(Connection &, ReplyPurpose, Statement, std::optional<Core::LogMark>,
              Core::Instant now);

    // Restrictions on databases.
    [[nodiscard]] bool isInAllowedRegion(const Session &, const Core::DataCentreName &) const;
    /// Whether the database may not be used because of an evacuation or of its region.
    [[nodiscard]] bool isRestricted(const Session &, const Database &, bool isPrimary,
                                    Core::Instant now) const;
    /// Whether no database that could run the statement is in an allowed region.
    [[nodiscard]] bool isOutsideAllowedRegions(const Session &, const Placement::Requirement &,
                                               const Group &);
    void reviewEvacuations(Core::Instant now);
    /// Statements per second that its pooler may send to a cold database; 0 if it isn't cold.
    [[nodiscard]] double coldRateOf(const Database &, Core::Instant now) const;
    [[nodiscard]] bool isCold(const Database &, Core::Instant now) const;
    /// Whether this proxy itself may send a statement to a cold database now.
    [[nodiscard]] bool mayStartOnCold(Database &, Core::Instant now);
    void countColdStart(Database &, Core::Instant now);

    // Forwarding to poolers and on behalf of other proxies.
    /// Returns the proxy to forward the session's statements for this database to, or null.
    [[nodiscard]] const PoolerCandidate *poolerOf(const Session &, const Database &,
                                                  Core::Instant now);
    [[nodiscard]] bool isPooled(const Database &, Core::Instant now) const;
    void openLinkTo(const PoolerCandidate &, Core::Instant now);
    void assignChannel(Session &, Database &, const PoolerCandidate &, Core::Instant now);
    void forward(Session &, Connection &, Core::Instant now);
    void forwardingRefused(Connection &, const ForwardedReply &, Core::Instant now);
    void refuseForwarded(SessionId, ForwardedProgress, std::string why);
    [[nodiscard]] std::optional<std::string> refusalReason(const ForwardedTarget &, const Group &,
                                                           Core::Instant now);
    [[nodiscard]] bool placeForwarded(Session &, Core::Instant now);
    void reviewLinks(Core::Instant now);
    void dispatchAll(Core::Instant now);

    // Answers.
    void setupReplied(Connection &, const DatabaseReply &, Core::Instant now);
    void beginReplied(Connection &, const DatabaseReply &, Core::Instant now);
    void callerReplied(Connection &, DatabaseReply &, const Connection::PendingReply &,
                       Core::Instant now);
    void cleanupReplied(Connection &, const DatabaseReply &, Core::Instant now);
    void updateFromReply(Connection &, const DatabaseReply &, const Connection::PendingReply &,
                         Core::Instant now);
    [[nodiscard]] bool retry(Session &, Failure, Core::Instant now);
    void requeue(Session &, Core::Instant now);
    void finish(Session &, DatabaseReply, Core::Instant now);
    void fail(Session &, Failure, std::string text, Core::Instant now);
    void answer(Session &, DatabaseReply, Core::Instant now);
    void answerForwarded(Session &, DatabaseReply, Core::Instant now);
    void logEnded(const Session &, std::string name, const CountOutcome &, const std::string &text);
    void operationEnded(Session &, Core::Instant now);
    void handleConnectionLoss(Session &, const char *why, Core::Instant now);

    // Connections.
    void release(Connection &, Core::Instant now);
    void recycle(Connection &, Core::Instant now);
    void closeConnection(ConnectionId, Core::Instant now);
    void removeConnection(ConnectionId);
    void failLostTransaction(Session &);
    void terminateSession(Session &, Failure, std::string text, Core::Instant now);
    void closeSession(Session &, std::optional<Failure>, std::string text);

    // Timers and health.
    void wakeAt(SessionId, Core::Instant);
    [[nodiscard]] std::optional<Core::Instant> nextDeadlineOf(const Session &) const;
    void review(Session &, Core::Instant now);
    void reviewConnections(Core::Instant now);
    void reviewGroup(Group &, Core::Instant now);
    void reviewHealth(Group &, Core::Instant now);
    void releaseOldPrimary(Group &, Core::Instant now);
    void closeActiveConnections(const Core::DatabaseName &, const char *why, Core::Instant now);
    void closeIdleConnections(Core::Instant now);
    void serveStatusQueries(Core::Instant now);
    void recordConnectionFailure(Database &, Core::Instant now);
    void recordConnectionLimit(Database &, Core::Instant now);
    [[nodiscard]] bool mayCommitWrites(const Session &) const;
    void scheduleReview(Core::Instant at);

    [[nodiscard]] Session *findSession(SessionId);
    [[nodiscard]] Connection *findConnection(ConnectionId);
    [[nodiscard]] Database *findDatabase(const Core::DatabaseName &);
    [[nodiscard]] Group &groupOf(const Session &);
    void log(Importance, std::string name, std::vector<std::pair<std::string, std::string>> fields);

    struct Wakeup
    {
        Core::Instant at;
        SessionId session = 0;
        auto operator<=>(const Wakeup &) const = default;
    };

    Core::DataCentreName dataCentre_;
    std::map<Core::DataCentreName, Core::Duration> roundTrips_;
    Core::Duration crossingCost_;
    PoolerTable poolers_;
    EvacuationTable evacuations_;
    RegionMap regions_;
    bool isAnyRegionLimited_ = false; ///< Whether table_ limits a route or team to regions.
    RoutingTablePointer table_;       ///< Empty, with version 0, until a configuration is known.
    std::unordered_map<SessionId, Session> sessions_;
    std::unordered_map<ConnectionId, Connection> connections_;
    std::map<Core::DatabaseName, Database> databases_;
    std::map<Core::GroupName, Group> groups_;
    std::vector<Action> actions_;
    std::priority_queue<Wakeup, std::vector<Wakeup>, std::greater<>> wakeups_;
    std::vector<Core::DatabaseName> statusQueries_;
    ConnectionId nextConnection_ = 1;
    Sampling sampling_ = Sampling::Open;
    std::uint64_t sampledLinesSkipped_ = 0;
    std::size_t memberCount_ = 1;
    Core::Instant memberCountUpdatedAt_; ///< When the fleet last had at least memberCount_ members.
    Core::Instant reviewAt_;
    bool isReviewScheduled_ = false;
    bool isStopping_ = false;
    bool isDirectoryKnown_ = false; ///< Whether the directory was listed at least once.
    Core::Instant transactionDeadline_;
};

} // namespace Chervilpin::Sessions
