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

/// Makes a call to the platform; its id is the manager's own.
struct CallPlatform
{
    Platform::Call call;
};

struct SendToPeer
{
    Peer::Outgoing message;
};

/// This node became the owner of a share, or stopped being it. For the event log.
struct OwnershipChanged
{
    ShareId share;
    Epoch epoch = 0;
    bool isOwner = false;
};

using Action = std::variant<CallPlatform, SendToPeer, Decision, OwnershipChanged>;

/// One node's part in the fleet's limits: rates and bursts of teams, connections of databases.
///
/// The engine feeds it peers' messages, the platform's replies and time, and performs the actions
/// that each call returns. Between them, all nodes admit at most rate × t + burst in any span t,
/// and hold at most the connections' limit, whatever messages are lost and whichever nodes are cut
/// off, paused or gone.
class Manager
{
public:
    /// Fails with InvalidArgument if the node's name is empty, or the options have no shares or too
    /// many.
    static Core::ErrorOr<std::unique_ptr<Manager>> create(HolderId self, const Options &options);

    Manager(const Manager &) = delete;
    Manager &operator=(const Manager &) = delete;

    /// The limits of the whole fleet, as configured.
    void setLimits(std::span<const ResourceLimit> limits, Core::Instant now);
    /// The nodes believed to be alive, this one included. Wrong lists cost refusals, never
    /// promises.
    void setMembers(std::span<const Core::NodeName> members, Core::Instant now);

    /// Takes tokens for a request. Call flush() soon after a Pending; its Decision comes as an
    /// action of a later call, within Options::maximumWait.
    [[nodiscard]] TakeResult tryTake(const ResourceName &resource, std::int64_t amount,
                                     Core::Instant deadline, Core::Instant now);
    /// Forgets a Pending whose caller is gone.
    void cancel(TicketId ticket);

    /// Reports connections wanted and open (those being opened or closed included).
    void setUsage(const ResourceName &resource, std::int64_t wanted, std::int64_t inUse);
    /// How many connections this node may have now. What is open beyond it must be closed at once.
    [[nodiscard]] std::int64_t usableUnits(const ResourceName &resource, Core::Instant now) const;

    [[nodiscard]] std::vector<Action> peerMessage(const Peer::Incoming &message, Core::Instant now);
    [[nodiscard]] std::vector<Action> platformReply(const Platform::Reply &reply,
                                                    Core::Instant now);
    [[nodiscard]] std::vector<Action> tick(Core::Instant now);
    /// Sends what pending requests need, without the periodic work.
    [[nodiscard]] std::vector<Action> flush(Core::Instant now);

    /// Hands back all that isn't in use and all owned shares. Go on with tick() until hasLeft().
    void leave(Core::Instant now);
    [[nodiscard]] bool hasLeft(Core::Instant now) const;

    /// Units that this node could spend now, for status and tests.
    [[nodiscard]] std::int64_t held(const ResourceName &resource, Core::Instant now) const;
    [[nodiscard]] bool isOwner(ShareId share, Core::Instant now) const;
    /// Micro-units ready at this node as the owner of shares.
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
    /// Handles a message of an election, and gives the answer if there is one.
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
