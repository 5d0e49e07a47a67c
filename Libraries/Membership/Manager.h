#pragma once

#include <Membership/ByteBudget.h>
#include <Membership/GossipQueue.h>
#include <Membership/MemberTable.h>
#include <Membership/StatusBoard.h>

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
    PeerGarbage, ///< A heartbeat can't be read.
    Refuted,     ///< Peers doubted this node, which has contradicted them.
    Superseded,  ///< A later process has taken this node's name.
    Paused,      ///< This node did not run for a while; others may have given it up.
    ListFailed,  ///< The platform's list could not be had.
};

/// The lower_case name of an event in logs.
[[nodiscard]] std::string_view toString(EventKind);

struct Event
{
    EventKind kind = EventKind::PeerGarbage;
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
    [[nodiscard]] std::vector<Summary> summaries() const { return board_.summaries(); }
    [[nodiscard]] bool isLeaving() const { return isLeaving_; }
    /// Payload and estimated overhead of all heartbeats sent so far.
    [[nodiscard]] std::uint64_t bytesSent() const { return bytesSent_; }

private:
    enum class Urgency {
        Periodic, ///< Is sent as long as the budget lasts.
        Pushed,   ///< Is left out when the budget is low.
    };
    struct Verdict
    {
        Core::NodeName name;
        Health health = Health::Live;
    };
    enum class Contents {
        Plain,
        WithSummaries,
    };

    void mergeUpdate(const Update &, Core::Instant now, Actions &);
    void answerDoubt(const Update &, Core::Instant now, Actions &);
    void hear(const Update &sender, Core::Instant now, Actions &);
    void spread(const Core::NodeName &);
    void noteChange(const Core::NodeName &, Actions &);
    void addSeeds(Core::Instant now, Actions &);
    void judge(Core::Instant now, Actions &);
    [[nodiscard]] Health judgeMember(const Member &, Core::Instant now) const;
    void changeHealth(const Core::NodeName &, Health, Core::Instant now, Actions &);
    void beat(Core::Instant now, Actions &);
    void pushNews(Core::Instant now, Actions &);
    void listIfDue(Core::Instant now, Actions &);
    void reportStatus(Core::Instant now, Actions &);
    void sendList(const Core::NodeName &to, Core::Instant now, Actions &);
    void send(const Core::NodeName &to, Urgency, Contents, Actions &);
    void noticePause(Core::Instant now, Actions &);
    void updateRing(Core::Instant now);

    [[nodiscard]] Update ownUpdate() const;
    [[nodiscard]] static Update updateOf(const Member &);
    [[nodiscard]] std::vector<Core::NodeName> ringSuccessors() const;
    [[nodiscard]] std::vector<Core::NodeName> chooseRandom(std::size_t count);
    [[nodiscard]] std::vector<Core::NodeName> chooseDoubted(std::size_t count);
    [[nodiscard]] std::vector<Core::NodeName> sample(std::vector<Core::NodeName>, std::size_t);
    [[nodiscard]] std::uint32_t spreadTimes() const;
    [[nodiscard]] Core::Duration suspicionTimeout() const;
    [[nodiscard]] Core::Duration statusPeriod() const;
    [[nodiscard]] bool isLister() const;

    Settings settings_;
    Core::Random random_;
    MemberTable table_;
    GossipQueue gossip_;
    StatusBoard board_;
    ByteBudget budget_;
    NodeStatus status_;
    std::uint32_t refutation_ = 0;
    bool isLeaving_ = false;
    bool isListed_ = false;
    Core::Instant startedAt_;
    bool hasList_ = false; ///< Some peer has sent its list in this life.
    bool hasNews_ = false;
    bool hasCountNews_ = false;
    std::uint64_t bytesSent_ = 0;
    std::map<Core::NodeName, Core::Instant> heardAt_;
    std::map<Core::NodeName, Core::Instant> watchedSince_; ///< The ring predecessors.
    std::vector<Core::NodeName> ring_; ///< Self and members that take part, in ring order.
    Core::Instant lastTick_;
    Core::Instant nextBeat_;
    Core::Instant nextPush_;
    Core::Instant nextCountPush_;
    Core::Instant nextList_;
    Core::Instant nextStatus_;
    Core::Instant nextSync_;
    Core::Instant nextCount_;
    Core::Instant nextJudge_;
    std::map<Core::NodeName, Core::Instant> listSentAt_;
    std::uint64_t beats_ = 0;
    Platform::CallId lastCall_ = 0;
    std::optional<Platform::CallId> listCall_;
    std::optional<Core::Instant> listedAt_; ///< When the platform's list was last had.
};

} // namespace Chervilpin::Membership
