#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Core/Random.h>
#include <Failover/Actions.h>
#include <Failover/FailureDetector.h>
#include <Failover/PeerMessages.h>
#include <Failover/PendingRequests.h>
#include <Failover/Policy.h>
#include <Failover/PrimaryTracker.h>
#include <Failover/PromotionCoordinator.h>
#include <Failover/ReplicationReconciler.h>
#include <Failover/Settings.h>
#include <Failover/SuspicionPoll.h>
#include <Failover/TermReservation.h>
#include <Upstream/Messages.h>

#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace Chervilpin::Failover {

/// Reports what the engine observed about a database, apart from answers to this module's own
/// requests.
struct Observation
{
    /// A request that a live database answers immediately was sent, such as an idle heartbeat.
    struct Pinged
    { };
    /// An answer of any kind arrived.
    struct Answered
    {
        Upstream::Status status;
    };
    /// The connection broke or was closed.
    struct Ended
    { };
    /// A connection attempt was refused.
    struct Refused
    { };

    Core::DatabaseName database;
    ConnectionId connection = 0; ///< The engine's connection id, from 1; 0 if there is none.
    std::variant<Pinged, Answered, Ended, Refused> what;
};

/// Why a request got no answer.
enum class RequestFailure {
    Refused, ///< The connection attempt was refused.
    Lost,    ///< The connection broke or the request timed out.
};

/// One node's knowledge of a group and the terms it holds for it.
struct GroupView
{
    Core::Term term = 0; ///< 0 until a primary is known.
    Core::DatabaseName primary;
    Core::HalfName owner;
    /// The owner in the highest granted term, according to the term object as last read. If it
    /// differs from `owner`, an ownership change is in progress or was left unfinished.
    std::optional<Core::HalfName> grantedOwner;
    Core::Term highestTermSeen = 0;
    bool isWatcher = false; ///< Whether this node pings the databases and may promote.
    std::size_t watcherRank = 0;
    bool isPromoting = false;
    bool isPlatformUnavailable = false;
    std::optional<Core::Term> reservedTerm;
    std::optional<Core::Term> ownershipTerm; ///< The term granted for requestOwnership().
};

/// Failover of one group on one node: monitors the databases, confirms the loss of the primary with
/// peers, promotes a database in the order of the reserved terms, and learns of promotions by
/// others.
class GroupFailover
{
public:
    GroupFailover(ThisNode, Group, GroupNumber, FailoverPolicy, Core::Random, Core::Instant now);

    void setNodes(const std::vector<PeerNode> &live);
    void release() { reservation_.release(); }

    void observed(const Observation &, Core::Instant now);
    [[nodiscard]] Health health(const Core::DatabaseName &, Core::Instant now) const;

    void answered(RequestToken, const Upstream::Answer &, Core::Instant now);
    void requestFailed(RequestToken, RequestFailure, Core::Instant now);
    void replied(const Platform::ReplyBody &, Core::Instant now);
    void received(const Core::NodeName &from, const PeerMessage &, Core::Instant now);
    [[nodiscard]] std::optional<Platform::CallBody> tick(Core::Instant now);

    void requestOwnership(const Core::HalfName &);
    void dropOwnershipRequest() { reservation_.dropOwnershipRequest(); }
    /// Fences with the term granted for the ownership change and promotes a database, preferably
    /// the current primary.
    void startHandover(Core::Instant now);

    [[nodiscard]] const Group &group() const { return group_; }
    [[nodiscard]] GroupView view() const;
    [[nodiscard]] const std::optional<TermObject> &object() const { return reservation_.object(); }
    [[nodiscard]] const std::vector<PeerNode> &liveNodes() const { return live_; }

    /// Returns and clears the actions collected since the last call.
    [[nodiscard]] Actions takeActions();

private:
    struct WatchedDatabase
    {
        Database database;
        FailureDetector detector;
        std::optional<Upstream::Status> status;
        std::optional<Core::Instant> pingedAt;
    };

    WatchedDatabase *find(const Core::DatabaseName &);
    [[nodiscard]] const WatchedDatabase *find(const Core::DatabaseName &) const;
    [[nodiscard]] bool isWatcher() const;
    [[nodiscard]] std::size_t watcherRank() const;

    // Sending.
    void send(const Core::DatabaseName &, const Upstream::RequestBody &, ConnectionChoice,
              Core::Instant);
    void send(const PromotionCoordinator::Requests &, Core::Instant);
    void sendToPeer(const Core::NodeName &, const PeerMessage &);
    void logEvent(std::string_view event, std::vector<EventField> = {});
    void ping(Core::Instant now);

    // Learning.
    void recordStatus(WatchedDatabase &, const Upstream::Status &, Core::Instant now);
    void learn(const KnownPrimary &, std::size_t peerCount, Core::Instant now);
    void learnFromDatabase(const WatchedDatabase &, Core::Instant now);
    void resolveOwner(Core::Instant now);
    void learnFromObject(Core::Instant now);
    void announceToPeers(std::size_t fanOut);
    void queryPeerState(Core::Instant now);

    // Deciding.
    [[nodiscard]] bool reachesMajority(Core::Instant now) const;
    [[nodiscard]] bool reachesOtherDataCentre(Core::Instant now) const;
    [[nodiscard]] bool isPossiblyIsolated(Core::Instant now) const;
    [[nodiscard]] bool isPrimaryLost(Core::Instant now) const;
    [[nodiscard]] bool needsTakeover(Core::Instant now) const;
    void considerPrimaryLoss(Core::Instant now);
    void considerTakeover(Core::Instant now);
    void promoteAfterRankDelay(Core::Instant eligibleSince, Core::Instant now);
    void startPromotion(Core::Term, const Core::DatabaseName &preferred, Core::Instant now);
    void advancePromotion(Core::Instant now);
    void finishPromotion(Core::Instant now);
    void reportTimings(Core::Instant now);
    void reconcileReplication(Core::Instant now);

    ThisNode self_;
    Group group_;
    FailoverPolicy policy_;
    PendingRequests pendingRequests_;
    ReplicationReconciler replicationReconciler_;
    Core::Random random_;
    std::vector<PeerNode> live_;
    std::vector<PeerNode> watchers_;
    std::vector<WatchedDatabase> databases_;
    TermReservation reservation_;
    SuspicionPoll suspicionPoll_;
    PrimaryTracker primaryTracker_;
    std::optional<Core::Instant> confirmedAt_;
    std::optional<PromotionCoordinator> promotion_;
    bool isAnnounced_ = false; ///< Whether the promotion's success was announced.
    bool hasLoggedMissingTerm_ = false;
    FailoverTimings timings_;
    bool hasReportedTimings_ = true;
    std::optional<Core::Instant> stateQueriedAt_;
    Actions actions_;
};

} // namespace Chervilpin::Failover
