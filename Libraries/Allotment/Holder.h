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

/// The units are the caller's.
struct Taken
{ };

/// The units were asked for; a Decision with this ticket follows within Options::longestWait.
struct Pending
{
    TicketId ticket = 0;
};

/// There are no units; one can be expected after this time.
struct Refused
{
    Core::Duration retryAfter;
};

using TakeResult = std::variant<Taken, Pending, Refused>;

/// The end of a Pending.
struct Decision
{
    TicketId ticket = 0;
    std::variant<Taken, Refused> result;
};

/// An ask and the node that is believed to own the share.
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

/// A node's side of the limits: holds granted units, spends or uses them, asks for more ahead of
/// need, reports what was spent and hands back what it doesn't need.
class Holder
{
public:
    /// \a table is kept and must outlive the holder; it names the candidates for each share.
    Holder(const Options &options, const ShareTable &table);

    /// Sets the limits of the whole fleet. Resources not named any more are dropped.
    void setLimits(std::span<const ResourceLimit> limits);

    /// Takes whole units of a consumable resource for a request that can wait until \a deadline.
    [[nodiscard]] TakeResult take(const ResourceName &resource, std::int64_t amount,
                                  Core::Instant deadline, Core::Instant now);
    /// Forgets a pending request, whose caller left; no Decision follows.
    void cancel(TicketId ticket);

    /// Sets how many units of a returnable resource are wanted, and how many are in use (open).
    void setUse(const ResourceName &resource, std::int64_t wanted, std::int64_t inUse);
    /// How many units of a returnable resource this node may use now.
    [[nodiscard]] std::int64_t share(const ResourceName &resource, Core::Instant now) const;

    void granted(const Core::NodeName &owner, const Grant &grant, Core::Instant now);
    void redirected(const Redirect &redirect, Core::Instant now);

    /// All that is due, including periodic work.
    [[nodiscard]] HolderActions tick(Core::Instant now);
    /// Only what pending requests need; cheap enough to be called after each input.
    [[nodiscard]] HolderActions flush(Core::Instant now);

    /// Hands back everything that is not in use, and asks for no more.
    void leave();
    /// After leave(): true once nothing is held.
    [[nodiscard]] bool isEmpty(Core::Instant now) const;

    /// Unspent or unreturned units that are valid at this time.
    [[nodiscard]] std::int64_t held(const ResourceName &resource, Core::Instant now) const;
    /// Where the next ask for a share goes: the owner if one is known, or a guess.
    [[nodiscard]] Core::NodeName ownerOf(ShareId share) const;
    /// Who granted last from a share, if it has answered since; empty otherwise.
    [[nodiscard]] Core::NodeName provenOwner(ShareId share) const;

private:
    /// What is held of one resource from one share.
    struct Stock
    {
        std::int64_t capacity = 0;
        MicroUnits ratePerSecond = 0;
        std::int64_t units = 0;
        std::int64_t reported = 0; ///< Units as the owner knows them.
        std::int64_t recalled = 0;
        Epoch epoch = 0;
        Core::Instant expiresAt;
        MicroUnits ownerLevel = 0; ///< What the owner had left when last heard.
        Core::Instant ownerLevelAt;
        bool isLevelKnown = false;
    };

    struct Waiting
    {
        TicketId ticket = 0;
        std::int64_t amount = 0;
        Core::Instant until;
    };

    struct Item
    {
        ResourceLimit limit;
        std::uint32_t shard = 0;
        std::vector<Stock> stocks; ///< By share index.
        std::deque<Waiting> waiting;
        std::uint64_t tried = 0; ///< A bit per share that could not serve what waits.
        std::int64_t taken = 0;  ///< Units asked of us since the last tick.
        double demand = 0;       ///< Units per second, averaged.
        std::int64_t wanted = 0;
        std::int64_t inUse = 0;
        Core::Instant mayAskAt; ///< For returnable units after a refusal.
    };

    /// What is known of one share's owner.
    struct Line
    {
        Core::NodeName owner;        ///< Who granted last, or was named by another node.
        std::uint32_t guess = 0;     ///< 0: the owner, then the candidates in turn.
        std::uint32_t redirects = 0; ///< Since the last grant.
        std::uint64_t latestAsk = 0;
        bool isAwaiting = false;
        Core::Instant askedAt;
        Core::Instant mayAskAt;
        std::uint32_t failures = 0;
        std::set<ResourceName> asked; ///< Resources with an urgent part in the ask under way.
    };

    [[nodiscard]] Core::Duration lifetimeOf(const Item &item) const;
    [[nodiscard]] bool isValid(const Stock &stock, Core::Instant now) const;
    [[nodiscard]] std::int64_t heldOf(const Item &item, Core::Instant now) const;
    [[nodiscard]] MicroUnits levelEstimate(const Stock &stock, Core::Instant now) const;
    [[nodiscard]] bool isUsable(const Line &line, Core::Instant now) const;
    [[nodiscard]] bool isAskedFor(const Item &item) const;
    std::optional<std::uint32_t> fullest(const Item &item, bool includesUnusable,
                                         Core::Instant now) const;
    Core::Duration retryAfter(const Item &item, Core::Instant now) const;
    void expire(Item &item, Core::Instant now) const;
    bool spend(Item &item, std::int64_t amount, Core::Instant now) const;
    void serveWaiting(Item &item, Core::Instant now);
    void refuseWaiting(Item &item, Core::Instant now);
    void applyEntry(Item &item, std::uint32_t index, const GrantEntry &entry, const Line &line,
                    Epoch epoch, Core::Instant now);
    void fail(Line &line, Core::Instant now);
    void checkTimeouts(Core::Instant now);
    void updateDemand(Core::Instant now);
    void planWaiting(Item &item, Core::Instant now);
    void planStock(Item &item, Core::Instant now);
    void planUpkeep(Item &item, Core::Instant now);
    void planReturnable(Item &item, Core::Instant now);
    AskEntry &plan(const Item &item, std::uint32_t index);
    void sendPlanned(Core::Instant now, HolderActions &actions);
    [[nodiscard]] std::int64_t stockTarget(const Item &item) const;

    Options options_;
    const ShareTable &table_;
    std::map<ResourceName, Item> items_;
    std::map<ShareId, Line> lines_;
    std::map<ShareId, std::map<ResourceName, AskEntry>> planned_;
    std::set<ResourceName> pressing_; ///< Resources with waiting requests.
    std::vector<Decision> decisions_;
    TicketId nextTicket_ = 1;
    Core::Instant lastTick_;
    bool isLeaving_ = false;
};

} // namespace Chervilpin::Allotment
