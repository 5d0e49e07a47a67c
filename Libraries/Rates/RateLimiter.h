#pragma once

#include <Core/Milliseconds.h>
#include <Rates/FallbackBucket.h>
#include <Rates/Messages.h>
#include <Rates/OwnerTable.h>
#include <Rates/RateMeter.h>
#include <Rates/Timing.h>
#include <Rates/TokenBucket.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Chervilpin::Rates {

/// Names a caller's operation while it waits for its admission.
using Ticket = std::uint64_t;

/// Whether an operation may start.
struct Decision
{
    Ticket ticket = 0;
    bool isGranted = false;
    // If not granted:
    Core::Duration retryAfter;
    double ratePerSecond = 0; ///< Of the team.
    std::string decidedBy;    ///< The node of the owner, or why none was asked.
};

struct AddressedRequest
{
    std::string address; ///< IP:port.
    TokenRequest request;
};

/// What this proxy believes of another one changed.
struct OwnerEvent
{
    Core::NodeName node;
    Core::TeamName team; ///< Whose ask showed it.
    Role role = Role::Owner;
    std::string what; ///< `silent`, `not_owner` or `answers`.
};

/// Whether this proxy sees enough of the fleet to act as an owner.
enum class FleetVisibility {
    Sufficient,
    Insufficient, ///< Others may have taken its teams over.
};

/// Admits the operations of this proxy's callers within their teams' rates over the whole fleet,
/// and answers the asks of other proxies for the teams that this one owns.
///
/// Answers a load of many proxies, each with a few callers of many teams: a fixed part of a small
/// rate would be less than one operation for each proxy. A team whose even part is worth something
/// spends it first, without asking.
class RateLimiter
{
public:
    explicit RateLimiter(Member self);

    void setLimits(const std::map<Core::TeamName, Sessions::TeamLimits> &, Core::Instant now);
    /// Sets the proxies that may own rates. The even parts are for \a proxies, which also counts
    /// those that are silent, since they may go on spending theirs.
    void setMembers(std::vector<Member>, std::size_t proxies, Core::Instant now);
    void setFleetVisibility(FleetVisibility contact) { fleetVisibility_ = contact; }

    /// Asks for one operation; the decision comes from takeDecisions(), mostly at once.
    void requestAdmission(const Core::TeamName &, Ticket, Core::Instant now);
    /// An operation that was admitted reached no database, so another one may start for it.
    void refund(const Core::TeamName &, Core::Instant now);
    /// Another proxy's ask.
    [[nodiscard]] TokenGrant handleRequest(const TokenRequest &, Core::Instant now);
    /// The answer to an own ask.
    void handleGrant(const TokenGrant &, Core::Instant now);

    [[nodiscard]] Core::Instant nextDeadline() const;
    void advance(Core::Instant now);
    [[nodiscard]] std::vector<Decision> takeDecisions();
    [[nodiscard]] std::vector<AddressedRequest> takeRequests();
    [[nodiscard]] std::vector<OwnerEvent> takeEvents();

private:
    struct OutstandingRequest
    {
        std::uint64_t id = 0;
        Role role = Role::Owner;
        Core::NodeName to;
        std::uint32_t needed = 0;
        Core::Instant sentAt;
    };

    /// A proxy that receives no requests for a while.
    struct Backoff
    {
        Core::Instant until;
        Core::Duration span;
    };

    /// A team's rate at its owner.
    struct OwnedBucket
    {
        TokenBucket bucket;
        std::map<Core::DataCentreName, RateMeter> granted;
    };

    /// One team, as this proxy's callers use it.
    struct TeamState
    {
        Sessions::TeamLimits limits;
        TokenBucket evenShare;
        RateMeter demand{demandWindow};
        RateMeter granted{grantedWindow}; ///< To this proxy, by the owner.
        double baselinePerSecond = 0;     ///< In the data centre, as the owner told last.
        std::uint32_t reserved = 0;       ///< Granted and not started.
        Core::Instant reservedUntil;
        std::deque<Ticket> waiting;
        std::uint32_t returned = 0; ///< To be given back to the owner with the next ask.
        Core::Instant returnDeadline;
        std::optional<OutstandingRequest> outstanding;
        unsigned unanswered = 0; ///< Asks in a row.
    };

    [[nodiscard]] double evenlySplitFractionOf(const Sessions::TeamLimits &) const;
    [[nodiscard]] Sessions::TeamLimits fallbackLimits(const Sessions::TeamLimits &) const;
    /// Divides a team's limits between the owner, this proxy's even part and the stand-in.
    void applyLimits(const Core::TeamName &, TeamState &, Core::Instant now);
    [[nodiscard]] bool hasRole(const Core::TeamName &, Role);
    [[nodiscard]] OwnedBucket &ownedBucketOf(const Core::TeamName &, TeamState &,
                                             Core::Instant now);
    [[nodiscard]] FallbackBucket &fallbackBucketOf(const Core::TeamName &, TeamState &,
                                                   Core::Instant now);
    void grantAsOwner(const TokenRequest &, OwnedBucket &, TokenGrant &, Core::Instant now);
    [[nodiscard]] bool isDesignatedFallback(const Core::TeamName &);
    [[nodiscard]] static bool spend(TeamState &, Core::Instant now);
    /// Grants what waits as far as there is something to spend; returns how many.
    std::size_t grantWaiting(TeamState &, Core::Instant now);
    void grantOrRequest(const Core::TeamName &, TeamState &, Core::Instant now);
    void sendRequest(const Core::TeamName &, TeamState &, Core::Instant now);
    /// Whom to ask: the owner, else the stand-in, else this proxy itself.
    [[nodiscard]] std::pair<Role, const Member *>
    chooseTarget(const Core::TeamName &, const TeamState &, Core::Instant now);
    [[nodiscard]] bool isBackedOff(const Core::NodeName &, Core::Instant now) const;
    void backOff(const Core::TeamName &, const OutstandingRequest &, Core::Duration,
                 const char *what, Core::Instant now);
    void refuse(TeamState &, std::size_t count, Core::Duration retryAfter,
                const std::string &decidedBy);

    Member self_;
    OwnerTable owners_;
    FleetVisibility fleetVisibility_ = FleetVisibility::Sufficient;
    std::size_t proxies_ = 1;
    Core::Instant membersSince_;
    std::map<Core::TeamName, TeamState> teams_;
    std::map<Core::TeamName, OwnedBucket> ownedBuckets_;
    std::map<Core::TeamName, FallbackBucket>
        fallbackBuckets_;                        ///< Of teams whose owner somebody couldn't reach.
    std::set<Core::TeamName> teamsWithRequest_;  ///< Teams with an outstanding ask.
    std::set<Core::TeamName> teamsWithReturns_;  ///< Teams with operations to be given back.
    std::map<Core::NodeName, Backoff> backoffs_; ///< Of those that didn't answer last.
    std::vector<Decision> decisions_;
    std::vector<AddressedRequest> requests_;
    std::vector<OwnerEvent> events_;
    std::uint64_t nextRequestId_ = 1;
};

} // namespace Chervilpin::Rates
