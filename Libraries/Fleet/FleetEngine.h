#pragma once

#include <Core/Milliseconds.h>
#include <Fleet/Actions.h>
#include <Fleet/DistanceTable.h>
#include <Fleet/FleetView.h>
#include <Fleet/PeerTable.h>
#include <Fleet/PromotionPlan.h>
#include <Sessions/RoutingTable.h>

#include <map>
#include <set>
#include <span>
#include <vector>

namespace Chervilpin::Fleet {

struct FleetSettings
{
    Core::NodeName node;
    Core::Incarnation incarnation = 0;
    Core::DataCentreName dataCentre;
    std::string address;   ///< IP:port at which it receives messages of other proxies.
    unsigned capacity = 0; ///< CPU capacity of the VM, in thousandths of a core.
};

/// The fleet state machine of one proxy, without I/O: membership, leadership, the leases to use
/// primaries, and, while it is the leader, the replacement of primaries.
///
/// Safety: a database is ordered to take over only after each member has adopted a record that ends
/// the use of the old primary, or leaseDuration after that record was written. A member's lease
/// ends no later than leaseDuration after the time at which the confirmation was requested. Times
/// are of the boot-time clock, which advances while a VM is suspended.
class FleetEngine
{
public:
    FleetEngine(FleetSettings, Core::Instant now);

    /// Applies the complete list of records that the store returned, as of the position \a listed,
    /// for a request made at \a askedAt.
    void recordsListed(std::span<const StoredObject>, Revision listed, Core::Instant askedAt,
                       Core::Instant now);
    /// Applies the changes since the last list or change; empty if nothing changed.
    void recordsChanged(std::span<const StoredObject>, Core::Instant askedAt, Core::Instant now);
    void writeEnded(CallId, WriteOutcome, Revision, Core::Instant now);
    void orderEnded(CallId, OrderOutcome, Core::Instant now);
    void statusAnswered(const Core::DatabaseName &, const Sessions::DatabaseStatus &,
                        Core::Instant now);
    void heartbeat(const Heartbeat &, Core::Instant now);
    void directoryChanged(std::span<const Sessions::DatabaseEntry>, Core::Instant now);

    /// Sets the number of replicas of each group that have a commit when it is acknowledged; 0 for
    /// groups that are not named. No database is ordered to take over before this is known.
    void setSynchronousReplicas(std::map<Core::GroupName, std::uint32_t>);

    /// Sets the data centres that the operators are evacuating.
    void evacuationsChanged(std::span<const Core::DataCentreName>, Core::Instant now);

    /// Contact with the store was lost or regained.
    void storeReachable(bool isReachable, Core::Instant now);

    /// The health and log position of a group's primary as seen by the statements of this proxy.
    void primaryHealth(const Core::GroupName &, Health, Core::LogMark, Core::Instant now);
    /// No statement is in flight any more under a record older than this revision.
    void primaryReleased(const Core::GroupName &, Revision, Core::Instant now);
    void setConfigurationVersion(std::uint64_t version) { configurationVersion_ = version; }
    /// Leaves the fleet: sends a last heartbeat to the contacts, and deletes the member record of
    /// this proxy and, if it leads, the leader record.
    void leave(Core::Instant now);

    [[nodiscard]] Core::Instant nextDeadline() const;
    void advance(Core::Instant now);
    [[nodiscard]] std::vector<Action> takeActions();

    /// The number of members, including retired ones, that share the capacity of the databases.
    /// The round-trip times to the data centres of proxies that this one exchanges heartbeats with.
    [[nodiscard]] DistanceTable::RoundTrips roundTrips() const { return distances_.roundTrips(); }
    [[nodiscard]] std::size_t memberCount() const;
    /// Whether this proxy has enough contact to know that it is still a member.
    [[nodiscard]] bool isInContact(Core::Instant now) const;
    /// The highest configuration version that another proxy has in force.
    [[nodiscard]] std::uint64_t newestConfigurationOfPeers() const;
    [[nodiscard]] bool isLeader() const;
    /// The newest era of the store of which a record is known, possibly from another proxy.
    [[nodiscard]] Era newestEra() const { return view_.newestEra(); }

private:
    struct GroupState
    {
        Health health = Health::Unknown;
        Core::LogMark mark;
        Revision released = 0;          ///< The newest revision reported by primaryReleased().
        Revision publishedRevision = 0; ///< Of the last PrimaryLease action.
        Core::Instant confirmedAt; ///< As of when the record was last confirmed; the lease's start.
        bool isConfirmed = false;
        /// While the primary is being replaced: the revision of the record that named it as Active,
        /// and the time since when this proxy knows that no lease to it is granted any more.
        Revision replaces = 0;
        Core::Instant replacingSince;
        /// The lease held when the store began a new era, and the record of it. While it is valid,
        /// no other database can have been ordered to take over.
        Core::Instant earlierLeaseUntil;
        Revision earlierLeaseRevision = 0;
        Core::Instant restoredAt; ///< When a plan last ended with the old primary restored.
        std::optional<Core::Instant> leavingSince; ///< When the primary was first seen draining.
        /// Since when the primary's data centre is being evacuated.
        std::optional<Core::Instant> evacuatingSince;
        std::vector<Sessions::DatabaseEntry> databases;
    };

    enum class Reply {
        Wanted,
        NotWanted,
    };

    enum class Detail {
        InProgress, ///< Only the groups that Heartbeat::primaries always reports.
        Newer,      ///< Also the records above the receiver's newest one.
        All,        ///< All groups; the receiver is asked to report all as well.
    };

    /// A member that is marked as retired.
    struct Retirement
    {
        Core::Incarnation incarnation = 0;
        Core::Instant since; ///< When this proxy learned of it.
        Core::Instant removalRequestedAt;
    };

    /// Which reports beyond the usual ones are exchanged with one other proxy.
    struct ReportState
    {
        Core::Instant fullReportsUntil; ///< It asked for reports of all groups until then.
        /// When records were last reported to it because its own differed.
        Core::Instant differenceReportedAt;
    };

    void rememberLease(const Core::GroupName &);
    void confirm(Core::Instant askedAt, Core::Instant now);
    void confirmGroup(const Core::GroupName &, Core::Instant confirmedAt, Core::Instant now);
    void publishPrimary(const Core::GroupName &, GroupState &, Core::Instant now);
    static void updateReplacement(GroupState &, const PrimaryRecord &, Core::Instant now);
    void publishChangedPrimaries(Core::Instant now);
    void mergeReports(const Heartbeat &, Core::Instant now);

    void write(CallId, Record, Revision expected);
    void registerSelf(Core::Instant now);
    void updateMajority(Core::Instant now);
    void reviewMembership(Core::Instant now);
    void reviewLeadership(Core::Instant now);
    void claimLeadership(Core::Instant now);
    void queueOrder(OrderPromotion, Core::Instant now);
    void claimForOrders(Core::Instant now);
    void sendOrders(WriteOutcome, Revision, Core::Instant now);
    [[nodiscard]] bool isLeaderGone(Core::Instant now) const;
    [[nodiscard]] std::size_t successionRank() const;
    [[nodiscard]] bool hasMajorityFor(Core::Duration, Core::Instant now) const;
    [[nodiscard]] bool hasStableContact(Core::Instant now) const;
    [[nodiscard]] std::size_t heardContactCount(Core::Instant now) const;

    void actAsLeader(Core::Instant now);
    void retireSilentMembers(Core::Instant now);
    void reviewGroup(const Core::GroupName &, GroupState &, Core::Instant now);
    void adoptFirstPrimary(const Core::GroupName &, const GroupState &, Core::Instant now);
    [[nodiscard]] std::optional<Core::DatabaseName>
    findPrimaryOfDirectory(const GroupState &) const;
    /// Returns the primary of the store's earlier era if this proxy still holds a lease to it.
    [[nodiscard]] std::optional<Core::DatabaseName>
    findPrimaryOfEarlierEra(const Core::GroupName &, const GroupState &, Core::Instant now) const;
    /// Writes a record that no plan makes: the first one of a group or of an era.
    void writeFirstRecord(PrimaryRecord, Revision expected, Core::Instant now);
    [[nodiscard]] std::optional<ReplacementReason> replacementReason(const Core::GroupName &,
                                                                     const GroupState &,
                                                                     const Stored<PrimaryRecord> &,
                                                                     Core::Instant now) const;
    void updateLeaving(Core::Instant now);
    [[nodiscard]] bool isEvacuated(const Sessions::DatabaseEntry &) const;
    /// Whether a silent member still holds a lease, for which a planned replacement waits.
    [[nodiscard]] bool mayWaitForSilentMembers(const std::optional<Core::Instant> &plannedSince,
                                               Core::Duration timeout, Core::Instant now) const;
    [[nodiscard]] bool isAnyMemberSilent(Core::Instant now) const;
    /// Whether a member whose leases may still be valid is out of this proxy's reach.
    [[nodiscard]] bool isSilent(const Core::NodeName &member, Core::Instant now) const;
    [[nodiscard]] bool isPrimaryDown(const Core::GroupName &, const GroupState &,
                                     Core::Instant now) const;
    [[nodiscard]] PlanInputs planInputs(const Core::GroupName &, const GroupState &,
                                        const PromotionPlan &, Core::Instant now) const;
    [[nodiscard]] std::optional<std::uint32_t> synchronousReplicas(const Core::GroupName &) const;
    /// Adds the databases that may have received commits of the old primary.
    void addReceivers(PlanInputs &, const GroupState &, const PromotionPlan &) const;
    [[nodiscard]] bool hasAdopted(const MemberRecord &, const Core::GroupName &, Revision) const;

    void sendHeartbeats(Core::Instant now);
    void requestConfirmations(Core::Instant now);
    void measureDistance(const Heartbeat &, Core::Instant now);
    void sendTo(const MemberRecord &, Reply, Core::Instant now, Detail = Detail::InProgress);
    void sendToAll(Reply, Core::Instant now);
    /// Announces the changed primary records to all members soon.
    void scheduleAnnouncement(Core::Instant now);
    void announce(Core::Instant now);
    void reportReleases(Core::Instant now);
    void sendToContacts(Reply, Core::Instant now);
    void sendToNode(const Core::NodeName &, Reply, Core::Instant now);
    [[nodiscard]] Heartbeat makeHeartbeat(const MemberRecord &, Reply, Detail,
                                          Core::Instant now) const;
    [[nodiscard]] static bool isReported(const Stored<PrimaryRecord> &, const GroupState &);
    [[nodiscard]] Detail detailFor(const Heartbeat &) const;
    void publishMembers(Core::Instant now);
    void removeNonMembers(Core::Instant now);
    void publishLeader(Core::Instant now);
    void selectContacts();
    void updateRetirements(Core::Instant now);
    [[nodiscard]] bool haveLeasesExpired(const Core::NodeName &, Core::Instant now) const;
    void log(std::string name, std::vector<std::pair<std::string, std::string>> fields = {});

    FleetSettings self_;
    FleetView view_;
    PeerTable peers_;
    DistanceTable distances_;
    std::map<Core::GroupName, GroupState> groups_;
    std::map<Core::GroupName, PromotionPlan> plans_;
    std::map<Core::NodeName, ReportState> reportStates_;
    std::vector<Core::NodeName> contacts_; ///< The proxies with which heartbeats are exchanged.
    std::uint64_t publishedMembersVersion_ = 0; ///< As of the last MembersChanged action.
    Core::NodeName publishedLeader_;
    Core::Incarnation publishedLeaderIncarnation_ = 0;
    Core::Instant leaderSince_;            ///< When this proxy learned of the leader.
    std::size_t nextConfirmationPeer_ = 0; ///< Index into the members, in order of name.
    std::uint64_t configurationVersion_ = 0;
    std::vector<Action> actions_;
    CallId nextCall_ = 1;
    std::map<CallId, Record> writes_; ///< Unanswered writes.
    CallId registration_ = 0;         ///< The unanswered call, or 0.
    CallId leaderClaim_ = 0;
    std::vector<OrderPromotion> orders_; ///< To be sent once leadership is confirmed.
    /// Orders that were sent and have not ended. The next ones wait for them: orders that are on
    /// their way together may arrive in any order, and a token must not follow a higher one.
    std::set<CallId> ordersInFlight_;
    Core::Instant leaderClaimSentAt_; ///< When the last write of the leader's record was sent.
    Core::Instant ordersAllowedFrom_; ///< Orders of the previous leader have ended by then.
    std::uint64_t leaderAttempt_ = 0;
    Core::NodeName lastLeader_;
    Core::Instant nextClaimAt_; ///< When leadership is claimed next; the epoch if no claim is due.
    Core::Instant registeredAt_;
    Core::Instant startedAt_;
    Core::Instant storeConfirmedAt_; ///< When the newest answered request to the store was made.
    Core::Instant contactSince_;     ///< Since when the store answers without a gap.
    Core::Instant majorityHeardAt_;  ///< When a majority was last heard; see majorityTimeout.
    Core::Instant majoritySince_;    ///< Since when a majority has been heard without a gap.
    Core::Instant leadingSince_;
    Core::Instant nextHeartbeatAt_;
    Core::Instant nextReviewAt_;
    Core::Instant announceAt_ = Core::Instant::never();
    Core::Instant announcedAt_;
    bool isHealthReportDue_ = false; ///< A suspicion changed since the last report to contacts.
    /// The proxies that wait for this one to give up an old primary.
    std::set<Core::NodeName> releaseReportsTo_;
    std::map<Core::NodeName, Core::Instant> memberSince_; ///< When the member was first seen.
    std::map<Core::NodeName, Retirement> retirements_;
    std::set<Core::DataCentreName> evacuated_; ///< The data centres being evacuated.
    /// Empty until the configuration is known.
    std::optional<std::map<Core::GroupName, std::uint32_t>> synchronousReplicas_;
    /// When writeFirstRecord() last wrote a group's record; retried after heartbeatInterval.
    std::map<Core::GroupName, Core::Instant> firstRecordWrittenAt_;
    bool isStoreLost_ = false;
    bool isListed_ = false;  ///< Whether the records were listed at least once.
    bool isDeposed_ = false; ///< Another proxy leads, but the known record doesn't show it yet.
    bool isLeaving_ = false;
};

} // namespace Chervilpin::Fleet
