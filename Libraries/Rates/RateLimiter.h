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

/// Identifies a caller's operation while it waits for admission.
using Ticket = std::uint64_t;

/// The decision whether an operation may start.
struct Decision
{
    Ticket ticket = 0;
    bool isGranted = false;
    // The members below are set only if the operation was not granted.
    Core::Duration retryAfter;
    double ratePerSecond = 0; ///< The rate limit of the team.
    std::string decidedBy;    ///< The node that decided, or the reason why none was asked.
    Role role = Role::Owner;  ///< The role in which it decided.
};

struct AddressedRequest
{
    std::string address; ///< IP:port.
    TokenRequest request;
};

/// A change in the state of another proxy, as this one sees it.
struct OwnerEvent
{
    Core::NodeName node;
    Core::TeamName team; ///< The team whose request revealed it.
    Role role = Role::Owner;
    std::string what; ///< `silent`, `not_owner` or `answers`.
};

/// Whether this proxy reaches enough of the fleet to act as an owner.
enum class FleetVisibility {
    Sufficient,
    Insufficient, ///< Other proxies may have taken over its teams.
};

/// Admits the operations of this proxy's callers within their teams' fleet-wide rate limits, and
/// answers the token requests of other proxies for the teams that this one owns.
///
/// In a large fleet, each proxy has only a few callers of each of many teams, and an even share of
/// a small team's rate would be less than one operation for each proxy. So tokens are granted on
/// request. A team with a usable even share spends that first, without a request.
class RateLimiter
{
public:
    explicit RateLimiter(Member self);

    void setLimits(const std::map<Core::TeamName, Sessions::TeamLimits> &, Core::Instant now);
    /// Sets the proxies that may own rates. The even share is that of one in \a proxies proxies;
    /// the number includes unreachable ones, since they may go on spending their shares.
    void setMembers(std::vector<Member>, std::size_t proxies, Core::Instant now);
    void setFleetVisibility(FleetVisibility visibility) { fleetVisibility_ = visibility; }

    /// Requests the admission of one operation. The decision is returned by takeDecisions(), mostly
    /// immediately.
    void requestAdmission(const Core::TeamName &, Ticket, Core::Instant now);
    /// Returns the token of an admitted operation that reached no database, so that another
    /// operation may start.
    void refund(const Core::TeamName &, Core::Instant now);
    /// Answers a request of another proxy.
    [[nodiscard]] TokenGrant handleRequest(const TokenRequest &, Core::Instant now);
    /// Handles the answer to a request of this proxy.
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

    /// The back-off of a proxy that did not answer, or did not have the requested role.
    struct Backoff
    {
        Core::Instant until;
        Core::Duration span;
    };

    /// The token bucket of a team that this proxy owns.
    struct OwnedBucket
    {
        TokenBucket bucket;
        std::map<Core::DataCentreName, RateMeter> granted;
    };

    /// The state of one team whose callers use this proxy.
    struct TeamState
    {
        Sessions::TeamLimits limits;
        TokenBucket evenShare;
        RateMeter demand{demandWindow};
        RateMeter granted{grantedWindow}; ///< The tokens granted to this proxy by the owner.
        /// The owner's last report of the rate of grants in this data centre.
        double baselinePerSecond = 0;
        std::uint32_t reserved = 0; ///< Tokens that were granted and are not used yet.
        Core::Instant reservedUntil;
        std::deque<Ticket> waiting;
        std::uint32_t returned = 0; ///< Tokens to be returned to the owner with the next request.
        Core::Instant returnDeadline;
        std::optional<OutstandingRequest> outstanding;
        unsigned unanswered = 0; ///< Consecutive requests without an answer.
    };

    [[nodiscard]] double evenlySplitFractionOf(const Sessions::TeamLimits &) const;
    [[nodiscard]] Sessions::TeamLimits fallbackLimits(const Sessions::TeamLimits &) const;
    /// Applies a team's limits to the buckets for the even share, the owner and the fallback.
    void applyLimits(const Core::TeamName &, TeamState &, Core::Instant now);
    [[nodiscard]] bool hasRole(const Core::TeamName &, Role);
    [[nodiscard]] OwnedBucket &ownedBucketOf(const Core::TeamName &, TeamState &,
                                             Core::Instant now);
    [[nodiscard]] FallbackBucket &fallbackBucketOf(const Core::TeamName &, TeamState &,
                                                   Core::Instant now);
    void grantAsOwner(const TokenRequest &, OwnedBucket &, TokenGrant &, Core::Instant now);
    [[nodiscard]] bool isDesignatedFallback(const Core::TeamName &);
    [[nodiscard]] static bool spend(TeamState &, Core::Instant now);
    /// Grants waiting operations while tokens are available; returns how many were granted.
    std::size_t grantWaiting(TeamState &, Core::Instant now);
    void grantOrRequest(const Core::TeamName &, TeamState &, Core::Instant now);
    void sendRequest(const Core::TeamName &, TeamState &, Core::Instant now);
    /// Returns the proxy to request tokens from: the owner, else a fallback, else this proxy
    /// itself.
    [[nodiscard]] std::pair<Role, const Member *>
    chooseTarget(const Core::TeamName &, const TeamState &, Core::Instant now);
    [[nodiscard]] bool isBackedOff(const Core::NodeName &, Core::Instant now) const;
    void backOff(const Core::TeamName &, const OutstandingRequest &, Core::Duration,
                 const char *what, Core::Instant now);
    void refuse(TeamState &, std::size_t count, Core::Duration retryAfter,
                const std::string &decidedBy, Role);

    Member self_;
    OwnerTable owners_;
    FleetVisibility fleetVisibility_ = FleetVisibility::Sufficient;
    std::size_t proxies_ = 1;
    Core::Instant membersSince_;
    std::map<Core::TeamName, TeamState> teams_;
    std::map<Core::TeamName, OwnedBucket> ownedBuckets_;
    /// For teams whose owner a requester could not reach.
    std::map<Core::TeamName, FallbackBucket> fallbackBuckets_;
    std::set<Core::TeamName> teamsWithRequest_; ///< Teams with an outstanding request.
    std::set<Core::TeamName> teamsWithReturns_; ///< Teams with tokens to be returned to the owner.
    /// Of the proxies whose last request timed out or was rejected.
    std::map<Core::NodeName, Backoff> backoffs_;
    std::vector<Decision> decisions_;
    std::vector<AddressedRequest> requests_;
    std::vector<OwnerEvent> events_;
    std::uint64_t nextRequestId_ = 1;
};

} // namespace Chervilpin::Rates
