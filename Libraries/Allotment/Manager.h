#pragma once

#include <Allotment/GrantHolder.h>
#include <Allotment/Messages.h>
#include <Allotment/Options.h>
#include <Allotment/OwnerElection.h>
#include <Allotment/ShareAllocator.h>
#include <Allotment/ShareTable.h>
#include <Allotment/Witness.h>
#include <Core/Result.h>
#include <Peer/Message.h>
#include <Platform/Messages.h>

#include <map>
#include <memory>
#include <span>
#include <variant>
#include <vector>

namespace Chervilpin::Allotment {

/// A call to the platform; its id is assigned by the manager.
struct CallPlatform
{
    Platform::Call call;
};

struct SendToPeer
{
    Peer::Outgoing message;
};

/// This node gained or lost the ownership of a share. Recorded in the event log.
struct OwnershipChanged
{
    ShareId share;
    Epoch epoch = 0;
    bool isOwner = false;
};

using Action = std::variant<CallPlatform, SendToPeer, Decision, OwnershipChanged>;

/// One node's part in enforcing the fleet's limits: rates and bursts of teams, connections of
/// databases.
///
/// The engine passes in messages from peers, replies from the platform and the time, and performs
/// the actions that each call returns. Together, all nodes admit at most rate × t + burst in any
/// time span t, and hold at most the limit of connections, even if messages are lost and nodes are
/// partitioned, paused or dead.
class Manager
{
public:
    /// Fails with InvalidArgument if the node's name is empty, or if \a options has no shards, no
    /// shares or more than 64 shares.
    static Core::ErrorOr<std::unique_ptr<Manager>> create(HolderId self, const Options &options);

    Manager(const Manager &) = delete;
    Manager &operator=(const Manager &) = delete;

    /// Sets the limits of the whole fleet, as configured.
    void setLimits(std::span<const ResourceLimit> limits, Core::Instant now);
    /// Sets the nodes that are believed to be alive, including this one. A wrong list can cause
    /// refusals, but no limit is exceeded.
    void setMembers(std::span<const Core::NodeName> members, Core::Instant now);

    /// Takes tokens for a request. After a Pending, call flush() soon; the Decision follows as an
    /// action of a later call, within Options::maximumWait.
    [[nodiscard]] TakeResult tryTake(const ResourceName &resource, std::int64_t amount,
                                     Core::Instant deadline, Core::Instant now);
    /// Cancels a Pending whose caller is gone; no Decision follows.
    void cancel(TicketId ticket);

    /// Sets the connections that are wanted and in use (including those being opened or closed).
    void setUsage(const ResourceName &resource, std::int64_t wanted, std::int64_t inUse);
    /// Returns how many connections this node may have now. Open connections beyond it must be
    /// closed at once.
    [[nodiscard]] std::int64_t usableUnits(const ResourceName &resource, Core::Instant now) const;

    [[nodiscard]] std::vector<Action> peerMessage(const Peer::Incoming &message, Core::Instant now);
    [[nodiscard]] std::vector<Action> platformReply(const Platform::Reply &reply,
                                                    Core::Instant now);
    [[nodiscard]] std::vector<Action> tick(Core::Instant now);
    /// Returns only what pending requests need, without the periodic work.
    [[nodiscard]] std::vector<Action> flush(Core::Instant now);

    /// Returns all units that are not in use, and releases all owned shares. tick() must be called
    /// until hasLeft() is true.
    void leave(Core::Instant now);
    [[nodiscard]] bool hasLeft(Core::Instant now) const;

    /// Returns the units that this node could spend now; for the status page and tests.
    [[nodiscard]] std::int64_t held(const ResourceName &resource, Core::Instant now) const;
    [[nodiscard]] bool isOwner(ShareId share, Core::Instant now) const;
    /// Returns the micro-units that can be granted from the shares that this node owns.
    [[nodiscard]] MicroUnits ownedLevel(const ResourceName &resource, Core::Instant now) const;

private:
    struct OwnedShare
    {
        OwnerElection election;
        std::unique_ptr<ShareAllocator> allocator;
        Platform::CallId pendingCall = 0;
    };

    Manager(HolderId self, const Options &options);

    ShareAllocator *allocatorOf(ShareId share, Core::Instant now, std::vector<Action> &actions);
    void applyLimits(ShareAllocator &allocator, ShareId share, Core::Instant now) const;
    void updateCandidacies(Core::Instant now);
    void tickElections(Core::Instant now, std::vector<Action> &actions);
    void releaseSurplusShares(Core::Instant now);
    void perform(HolderActions held, Core::Instant now, std::vector<Action> &actions);
    bool answerLocally(const AddressedAsk &ask, Core::Instant now, std::vector<Action> &actions);
    Message answerTo(const HolderId &holder, const Ask &ask, Core::Instant now,
                     std::vector<Action> &actions);
    /// Handles a message of an election, and returns the reply if there is one.
    std::optional<Message> handleElectionMessage(const Core::NodeName &from, const Message &message,
                                                 Core::Instant now);
    void sendElectionMessage(const AddressedMessage &message, Core::Instant now,
                             std::vector<Action> &actions);
    OwnerElection *electionOf(ShareId share);
    [[nodiscard]] Core::NodeName redirectTarget(ShareId share) const;
    static void send(const Core::NodeName &to, const Message &message,
                     std::vector<Action> &actions);

    HolderId self_;
    Options options_;
    ShareTable table_;
    GrantHolder holder_;
    Witness witness_;
    std::map<ShareId, OwnedShare> shares_;
    std::vector<ResourceLimit> limits_;
    Platform::CallId nextCall_ = 1;
    Core::Instant nextReleaseAt_;
    bool isLeaving_ = false;
};

} // namespace Chervilpin::Allotment
