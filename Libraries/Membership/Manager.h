#pragma once

#include <Membership/ByteBudget.h>
#include <Membership/GossipQueue.h>
#include <Membership/MemberTable.h>
#include <Membership/SummaryTable.h>

#include <Core/Random.h>

#include <map>
#include <optional>
#include <variant>

namespace Chervilpin::Membership {

/// A member was added or believed otherwise than before. Members are read by members().
struct MemberChanged
{
    Member member;
};

/// A peer told which configuration it has in force.
struct PeerStatus
{
    Core::NodeName peer;
    NodeStatus status;
};

enum class EventKind {
    InvalidHeartbeat, ///< A heartbeat can't be read.
    Refuted,          ///< Peers doubted this node, which has contradicted them.
    Superseded,       ///< A later process has taken this node's name.
    Paused,           ///< This node did not run for a while; others may have given it up.
    VmListFailed,     ///< The platform's list could not be had.
};

/// The lower_case name of an event in logs.
[[nodiscard]] std::string_view toString(EventKind);

struct Event
{
    EventKind kind = EventKind::InvalidHeartbeat;
    std::string detail;
};

using Action = std::variant<Platform::Call, Peer::Outgoing, MemberChanged, PeerStatus, Event>;
using Actions = std::vector<Action>;

/// Decides which proxies are live, from heartbeats of peers and the platform's lagging list.
///
/// Each node sends a heartbeat every period to its successors in a ring and to a random peer. The
/// successors watch it; what they find, and what members say of themselves, travels with the
/// heartbeats, and at once when it is news. What is sent is bounded by a byte budget.
class Manager
{
public:
    Manager(Settings settings, std::uint64_t seed);
    Manager(const Manager &) = delete;
    Manager &operator=(const Manager &) = delete;

    [[nodiscard]] Actions start(Core::Instant now);
    /// To be called about every 10 ms.
    [[nodiscard]] Actions tick(Core::Instant now);
    [[nodiscard]] Actions platformReply(const Platform::Reply &, Core::Instant now);
    [[nodiscard]] Actions peerMessage(const Peer::Incoming &, Core::Instant now);
    /// Which configuration this node has in force.
    [[nodiscard]] Actions setStatus(const NodeStatus &, Core::Instant now);
    /// Announces that this node is stopping, for good in this life.
    [[nodiscard]] Actions leave(Core::Instant now);

    /// All known members but this node, ordered by name, the dead for a while included.
    [[nodiscard]] std::span<const Member> members() const { return table_.members(); }
    [[nodiscard]] const Member *find(const Core::NodeName &name) const { return table_.find(name); }
    /// This node as its peers are to see it.
    [[nodiscard]] Member self() const;
    /// The latest count of each data centre's configurations.
    [[nodiscard]] std::vector<Summary> summaries() const { return summaryTable_.summaries(); }
    [[nodiscard]] bool isLeaving() const { return isLeaving_; }
    /// Payload and estimated overhead of all heartbeats sent so far.
    [[nodiscard]] std::uint64_t bytesSent() const { return bytesSent_; }

private:
    enum class Urgency {
        Periodic, ///< Is sent as long as the budget lasts.
        Pushed,   ///< Is left out when the budget is low.
    };
    struct HealthChange
    {
        Core::NodeName name;
        Health health = Health::Live;
    };
    enum class Contents {
        Plain,
        WithSummaries,
    };

    void mergeUpdate(const Update &, Core::Instant now, Actions &);
    void refuteSuspicion(const Update &, Core::Instant now, Actions &);
    void handleSender(const Update &sender, Core::Instant now, Actions &);
    void enqueueGossip(const Core::NodeName &);
    void reportMemberChange(const Core::NodeName &, Actions &);
    void addSeeds(Core::Instant now, Actions &);
    void evaluateMembers(Core::Instant now, Actions &);
    [[nodiscard]] Health evaluateHealth(const Member &, Core::Instant now) const;
    void changeHealth(const Core::NodeName &, Health, Core::Instant now, Actions &);
    void sendHeartbeats(Core::Instant now, Actions &);
    void pushGossip(Core::Instant now, Actions &);
    void requestVmListIfDue(Core::Instant now, Actions &);
    void reportStatus(Core::Instant now, Actions &);
    void sendMemberList(const Core::NodeName &to, Core::Instant now, Actions &);
    void send(const Core::NodeName &to, Urgency, Contents, Actions &);
    void detectPause(Core::Instant now, Actions &);
    void updateRing(Core::Instant now);

    [[nodiscard]] Update ownUpdate() const;
    [[nodiscard]] static Update updateOf(const Member &);
    [[nodiscard]] std::vector<Core::NodeName> ringSuccessors() const;
    [[nodiscard]] std::vector<Core::NodeName> chooseRandom(std::size_t count);
    [[nodiscard]] std::vector<Core::NodeName> chooseNonLive(std::size_t count);
    [[nodiscard]] std::vector<Core::NodeName> sample(std::vector<Core::NodeName>, std::size_t);
    [[nodiscard]] std::uint32_t gossipRepeatCount() const;
    [[nodiscard]] Core::Duration suspicionTimeout() const;
    [[nodiscard]] Core::Duration statusInterval() const;
    [[nodiscard]] bool isVmListReader() const;

    Settings settings_;
    Core::Random random_;
    MemberTable table_;
    GossipQueue gossip_;
    SummaryTable summaryTable_;
    ByteBudget budget_;
    NodeStatus status_;
    std::uint32_t refutationCount_ = 0;
    bool isLeaving_ = false;
    bool isListed_ = false;
    Core::Instant startedAt_;
    bool hasMemberList_ = false; ///< Some peer has sent its list in this life.
    bool hasUrgentGossip_ = false;
    bool hasSummaryChange_ = false;
    std::uint64_t bytesSent_ = 0;
    std::map<Core::NodeName, Core::Instant> lastHeartbeatAt_;
    std::map<Core::NodeName, Core::Instant> watchedSince_; ///< The ring predecessors.
    std::vector<Core::NodeName> ring_; ///< Self and members that take part, in ring order.
    Core::Instant lastTickAt_;
    Core::Instant nextHeartbeatAt_;
    Core::Instant nextPushAt_;
    Core::Instant nextSummaryPushAt_;
    Core::Instant nextVmListAt_;
    Core::Instant nextStatusAt_;
    Core::Instant nextSyncAt_;
    Core::Instant nextSummaryAt_;
    Core::Instant nextEvaluationAt_;
    std::map<Core::NodeName, Core::Instant> memberListSentAt_;
    std::uint64_t heartbeatCount_ = 0;
    Platform::CallId lastCall_ = 0;
    std::optional<Platform::CallId> vmListCall_;
    std::optional<Core::Instant> vmListReceivedAt_; ///< When the platform's list was last had.
};

} // namespace Chervilpin::Membership
