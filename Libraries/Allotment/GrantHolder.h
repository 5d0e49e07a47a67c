#pragma once

#include <Allotment/Messages.h>
#include <Allotment/Options.h>
#include <Allotment/Resource.h>
#include <Allotment/ShareTable.h>
#include <Core/Milliseconds.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <variant>
#include <vector>

namespace Chervilpin::Allotment {

using TicketId = std::uint64_t;

/// The units were granted to the caller.
struct Taken
{ };

/// The units have been requested; a Decision with this ticket follows within Options::maximumWait.
struct Pending
{
    TicketId ticket = 0;
};

/// No units are available; one can be expected after \a retryAfter.
struct Refused
{
    Core::Duration retryAfter;
};

using TakeResult = std::variant<Taken, Pending, Refused>;

/// The result of a request that was Pending.
struct Decision
{
    TicketId ticket = 0;
    std::variant<Taken, Refused> result;
};

/// An ask, addressed to the node that is believed to own the share.
struct AddressedAsk
{
    Core::NodeName to;
    Ask ask;
};

struct HolderActions
{
    std::vector<AddressedAsk> asks;
    std::vector<Decision> decisions;
};

/// A node's local part of the fleet's limits: holds granted units, spends or uses them, prefetches
/// units for the expected demand, reports spent units and returns units that are not needed.
class GrantHolder
{
public:
    /// Keeps a reference to \a table, which must outlive the holder; it names the candidates for
    /// each share.
    GrantHolder(const Options &options, const ShareTable &table);

    /// Sets the limits of the whole fleet. Resources that are no longer listed are dropped, and
    /// requests waiting for them are refused.
    void setLimits(std::span<const ResourceLimit> limits);

    /// Takes whole units of a consumable resource for a request that can wait until \a deadline.
    [[nodiscard]] TakeResult take(const ResourceName &resource, std::int64_t amount,
                                  Core::Instant deadline, Core::Instant now);
    /// Cancels a pending request whose caller is gone; no Decision follows.
    void cancel(TicketId ticket);

    /// Sets how many units of a returnable resource are wanted, and how many are in use (open).
    void setUsage(const ResourceName &resource, std::int64_t wanted, std::int64_t inUse);
    /// Returns how many units of a returnable resource this node may use now: the valid ones that
    /// are not recalled.
    [[nodiscard]] std::int64_t usableUnits(const ResourceName &resource, Core::Instant now) const;

    void handleGrant(const Core::NodeName &owner, const Grant &grant, Core::Instant now);
    void handleRedirect(const Redirect &redirect, Core::Instant now);

    /// Returns everything that is due, including periodic work.
    [[nodiscard]] HolderActions tick(Core::Instant now);
    /// Returns only what pending requests need; cheap enough to be called after each input.
    [[nodiscard]] HolderActions flush(Core::Instant now);

    /// Returns all units that are not in use, and requests no more.
    void leave();
    /// Returns whether no units are held any more; after leave().
    [[nodiscard]] bool isEmpty(Core::Instant now) const;

    /// Returns the units that are valid now and neither spent nor returned.
    [[nodiscard]] std::int64_t held(const ResourceName &resource, Core::Instant now) const;
    /// Returns the node to which the next ask for a share goes: the known owner, or after failures
    /// one of the candidates in turn.
    [[nodiscard]] Core::NodeName ownerOf(ShareId share) const;
    /// Returns the known owner of a share; an empty name if it is unknown, or if an ask has failed
    /// since the last grant.
    [[nodiscard]] Core::NodeName confirmedOwner(ShareId share) const;

private:
    /// The units of one resource that are held from one share.
    struct Holding
    {
        std::int64_t capacity = 0;
        MicroUnits ratePerSecond = 0;
        std::int64_t units = 0;
        std::int64_t reported = 0; ///< Units that the owner counts as held, after the last ask.
        std::int64_t recalled = 0;
        Epoch epoch = 0;
        Core::Instant expiresAt;
        MicroUnits ownerLevel = 0; ///< Units left with the owner, as of its last answer.
        Core::Instant ownerLevelAt;
        bool isLevelKnown = false;
    };

    struct WaitingRequest
    {
        TicketId ticket = 0;
        std::int64_t amount = 0;
        Core::Instant until;
    };

    struct ResourceState
    {
        ResourceLimit limit;
        std::uint32_t shard = 0;
        std::vector<Holding> holdings; ///< By share index.
        std::deque<WaitingRequest> waiting;
        /// One bit per share that could not serve the waiting requests.
        std::uint64_t triedShares = 0;
        std::int64_t requestedUnits = 0; ///< Units requested of this node since the last tick.
        double demand = 0;               ///< Units per second, as an exponential moving average.
        std::int64_t wanted = 0;
        std::int64_t inUse = 0;
        Core::Instant nextAskAt; ///< Next ask for returnable units after a refusal.
    };

    /// The state of the exchange with one share's owner.
    struct OwnerState
    {
        Core::NodeName owner;        ///< The node that granted last, or was named by a redirect.
        std::uint32_t attempt = 0;   ///< 0: the known owner; then the candidates in turn.
        std::uint32_t redirects = 0; ///< Since the last grant.
        std::uint64_t latestAskId = 0;
        bool isAskPending = false;
        Core::Instant askedAt;
        Core::Instant nextAskAt;
        std::uint32_t failures = 0;
        std::set<ResourceName> urgentResources; ///< Resources with urgent units in the pending ask.
    };

    [[nodiscard]] Core::Duration lifetimeOf(const ResourceState &resourceState) const;
    [[nodiscard]] bool isValid(const Holding &holding, Core::Instant now) const;
    [[nodiscard]] std::int64_t heldOf(const ResourceState &resourceState, Core::Instant now) const;
    [[nodiscard]] MicroUnits levelEstimate(const Holding &holding, Core::Instant now) const;
    [[nodiscard]] bool mayAsk(const OwnerState &ownerState, Core::Instant now) const;
    [[nodiscard]] bool isUrgentAskPending(const ResourceState &resourceState) const;
    std::optional<std::uint32_t> fullestShare(const ResourceState &resourceState, bool includesBusy,
                                              Core::Instant now) const;
    Core::Duration retryAfter(const ResourceState &resourceState, Core::Instant now) const;
    void expire(ResourceState &resourceState, Core::Instant now) const;
    bool spend(ResourceState &resourceState, std::int64_t amount, Core::Instant now) const;
    void serveWaiting(ResourceState &resourceState, Core::Instant now);
    void refuseWaiting(ResourceState &resourceState, Core::Instant now);
    void applyEntry(ResourceState &resourceState, std::uint32_t index, const GrantEntry &entry,
                    const OwnerState &ownerState, Epoch epoch, Core::Instant now);
    void recordFailure(OwnerState &ownerState, Core::Instant now);
    void checkTimeouts(Core::Instant now);
    void updateDemand(Core::Instant now);
    void planWaiting(ResourceState &resourceState, Core::Instant now);
    void planPrefetch(ResourceState &resourceState, Core::Instant now);
    void planMaintenance(ResourceState &resourceState, Core::Instant now);
    void planReturnable(ResourceState &resourceState, Core::Instant now);
    AskEntry &plan(const ResourceState &resourceState, std::uint32_t index);
    void sendPlanned(Core::Instant now, HolderActions &actions);
    [[nodiscard]] std::int64_t prefetchTarget(const ResourceState &resourceState) const;

    Options options_;
    const ShareTable &table_;
    std::map<ResourceName, ResourceState> resources_;
    std::map<ShareId, OwnerState> ownerStates_;
    std::map<ShareId, std::map<ResourceName, AskEntry>> planned_;
    std::set<ResourceName> resourcesWithWaiting_; ///< Resources that have waiting requests.
    std::vector<Decision> decisions_;
    TicketId nextTicket_ = 1;
    Core::Instant lastTick_;
    bool isLeaving_ = false;
};

} // namespace Chervilpin::Allotment
