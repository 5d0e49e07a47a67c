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

/// A member was added or its state changed. All members are available from members().
struct MemberChanged
{
    Member member;
};

/// A peer reported which configuration it has in force.
struct PeerStatus
{
    Core::NodeName peer;
    NodeStatus status;
};

enum class EventKind {
    InvalidHeartbeat, ///< A message is not a valid heartbeat of the peer that sent it.
    Refuted,          ///< Peers suspected this node, and it refuted that.
    Superseded,       ///< A process with a later incarnation uses this node's name.
    Paused,           ///< This node did not run for a while; peers may suspect it or worse.
    VmListFailed,     ///< The platform did not return its list of VMs.
};

/// Returns the name of an event in logs, in snake_case.
[[nodiscard]] std::string_view toString(EventKind);

struct Event
{
    EventKind kind = EventKind::InvalidHeartbeat;
    std::string detail;
};

using Action = std::variant<Platform::Call, Peer::Outgoing, MemberChanged, PeerStatus, Event>;
using Actions = std::vector<Action>;

/// Decides which proxies are live, from heartbeats of peers and the platform's VM list, which lags.
///
/// Each node periodically sends a heartbeat to its successors in a ring and to random peers. The
/// successors monitor it. What they detect, and what members report about themselves, is gossiped
/// with the heartbeats; changes are pushed at once. A byte budget limits what is sent.
class Manager
{
public:
    Manager(Settings settings, std::uint64_t seed);
    Manager(const Manager &) = delete;
    Manager &operator=(const Manager &) = delete;

    [[nodiscard]] Actions start(Core::Instant now);
    /// Must be called about every 10 ms.
    [[nodiscard]] Actions tick(Core::Instant now);
    [[nodiscard]] Actions platformReply(const Platform::Reply &, Core::Instant now);
    [[nodiscard]] Actions peerMessage(const Peer::Incoming &, Core::Instant now);
    /// Sets the configuration that this node has in force.
    [[nodiscard]] Actions setStatus(const NodeStatus &, Core::Instant now);
    /// Announces that this node is stopping; final for this incarnation.
    [[nodiscard]] Actions leave(Core::Instant now);

    /// All known members except this node, ordered by name. Dead members stay for the retention
    /// time.
    [[nodiscard]] std::span<const Member> members() const { return table_.members(); }
    [[nodiscard]] const Member *find(const Core::NodeName &name) const { return table_.find(name); }
    /// Returns this node as its peers should see it.
    [[nodiscard]] Member self() const;
    /// Returns the latest configuration summary of each data centre.
    [[nodiscard]] std::vector<Summary> summaries() const { return summaryTable_.summaries(); }
    [[nodiscard]] bool isLeaving() const { return isLeaving_; }
    /// Returns the bytes of all heartbeats sent so far: payload and estimated overhead.
    [[nodiscard]] std::uint64_t bytesSent() const { return bytesSent_; }

private:
    enum class Urgency {
        Periodic, ///< Sent as long as the byte budget lasts.
        Pushed,   ///< Not sent when the byte budget is low.
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
    /// Whether a peer has sent its member list since the start or the last sync.
    bool hasMemberList_ = false;
    bool hasUrgentGossip_ = false;
    bool hasSummaryChange_ = false;
    std::uint64_t bytesSent_ = 0;
    std::map<Core::NodeName, Core::Instant> lastHeartbeatAt_;
    std::map<Core::NodeName, Core::Instant> watchedSince_; ///< Of each ring predecessor.
    std::vector<Core::NodeName> ring_; ///< Self and the participating members, in ring order.
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
    Platform::CallId lastCallId_ = 0;
    std::optional<Platform::CallId> vmListCall_;
    std::optional<Core::Instant> vmListReceivedAt_; ///< When the VM list was last received.
};

} // namespace Chervilpin::Membership
