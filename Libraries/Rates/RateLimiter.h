#pragma once

#include <Core/Incarnation.h>
#include <Core/Milliseconds.h>
#include <Rates/Messages.h>
#include <Rates/OwnerTable.h>
#include <Rates/RateMeter.h>
#include <Rates/ShareHolding.h>
#include <Rates/ShareLender.h>
#include <Rates/Timing.h>
#include <Rates/TokenBucket.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <variant>
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

struct OutgoingMessage
{
    std::string address; ///< IP:port.
    std::variant<TokenRequest, ShareReport, ShareLease, ShareQuery> message;
};

/// A change in the state of another proxy, as this one sees it.
struct OwnerEvent
{
    Core::NodeName node;
    Core::TeamName team; ///< The team whose request revealed it.
    Role role = Role::Owner;
    std::string what; ///< `silent`, `not_owner` or `answers`.
};

/// A change of the share that this proxy holds.
struct ShareEvent
{
    Core::TeamName team;
    Core::NodeName lender;
    double share = 0;
    Core::Duration validFor;
};

/// Whether this proxy reaches enough of the fleet to act as an owner.
enum class FleetVisibility {
    Sufficient,
    Insufficient, ///< Other proxies may have taken over its teams.
};

/// Admits the operations of this proxy's callers within their teams' fleet-wide rate limits, and
/// answers the token requests of other proxies for the teams whose rate this one owns or holds a
/// share of.
///
/// In a large fleet, each proxy has only a few callers of each of many teams, and an even share of
/// a small team's rate would be less than one operation for each proxy. So tokens are granted on
/// request. A team with a usable even share spends that first, without a request.
class RateLimiter
{
public:
    RateLimiter(Member self, Core::Incarnation);

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
    /// Handles a report to this proxy as the owner; ignores it if it isn't.
    void handleReport(const ShareReport &, Core::Instant now);
    void handleLease(const ShareLease &, Core::Instant now);
    void handleQuery(const ShareQuery &, Core::Instant now);

    [[nodiscard]] Core::Instant nextDeadline() const;
    void advance(Core::Instant now);
    [[nodiscard]] std::vector<Decision> takeDecisions();
    [[nodiscard]] std::vector<OutgoingMessage> takeMessages();
    [[nodiscard]] std::vector<OwnerEvent> takeEvents();
    [[nodiscard]] std::vector<ShareEvent> takeShareEvents();
    /// The number of teams of whose rate this proxy holds a share.
    [[nodiscard]] std::size_t heldShareCount(Core::Instant now) const;

private:
    /// Of this proxy.
    enum class Membership {
        NotYet,
        Member,
        Retired, ///< Retired by a leader that does not hear it.
    };

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

    /// The part of a team's rate that is not lent, of a team that this proxy owns.
    struct OwnedRate
    {
        OwnedRate(ShareLender::LossTimes lostDataCentres, Core::Instant now)
            : lender(std::move(lostDataCentres), now)
        { }

        TokenBucket bucket;
        ShareLender lender;
        Core::Instant nextQueryAt;
    };

    /// The progress of the waiting operations through the proxies that grant tokens.
    struct Search
    {
        std::size_t position = 0; ///< In Owners::granters.
        unsigned requests = 0;
        unsigned unanswered = 0;
        bool isOver = false; ///< The owner has no token.
        /// The shortest delay that a granter without tokens returned.
        std::optional<Core::Duration> retryAfter;
        std::string decidedBy; ///< The last granter without tokens.
        Role role = Role::ShareHolder;
    };

    /// The state of one team whose callers use this proxy.
    struct TeamState
    {
        Sessions::TeamLimits limits;
        TokenBucket evenShare;
        RateMeter demand{demandWindow};
        std::uint32_t reserved = 0; ///< Tokens that were granted and are not used yet.
        Core::Instant reservedUntil;
        std::deque<Ticket> waiting;
        std::uint32_t returned = 0; ///< Tokens to be returned with the next request.
        Core::Instant returnDeadline;
        std::optional<OutstandingRequest> outstanding;
        Search search;
        /// Until when granters are expected to have no token.
        std::map<Core::NodeName, Core::Instant> lackingUntil;
    };

    // Limits and members.
    [[nodiscard]] double evenlySplitFractionOf(const Sessions::TeamLimits &) const;
    /// Applies a team's limits to the buckets for the even share, the owner and the holder.
    void applyLimits(const Core::TeamName &, TeamState &, Core::Instant now);
    void updateLostDataCentres(std::span<const Member> members, Core::Instant now);
    void updateRoles(Core::Instant now);
    void reviewRoles(Core::Instant now);
    /// Takes on or gives up the roles of owner and holder for the team.
    void updateRole(const Core::TeamName &, Core::Instant now);

    // Granting (RateLimiterGranting.cpp).
    [[nodiscard]] bool isOwner(const Core::TeamName &, const TeamState &);
    [[nodiscard]] bool isHolder(const Core::TeamName &, const TeamState &);
    [[nodiscard]] OwnedRate &ownedRateOf(const Core::TeamName &, TeamState &, Core::Instant now);
    [[nodiscard]] ShareHolding &holdingOf(const Core::TeamName &, TeamState &, Core::Instant now);
    void updateOwnShare(OwnedRate &, const TeamState &, Core::Instant now);
    void query(const Core::TeamName &, std::span<const Member> holders);
    void queryHolders(const Core::TeamName &, OwnedRate &, Core::Instant now);
    void sendReport(const Core::TeamName &, ShareHolding &, const std::string &to,
                    Core::Instant now);
    void sendDueReports(Core::Instant now);
    void sendDueQueries(Core::Instant now);

    // Requesting.
    [[nodiscard]] static bool spend(TeamState &, Core::Instant now);
    /// Grants waiting operations while tokens are available; returns how many were granted.
    std::size_t grantWaiting(TeamState &, Core::Instant now);
    void grantOrRequest(const Core::TeamName &, TeamState &, Core::Instant now);
    /// Requests tokens from the next proxy in the order, or refuses all waiting operations if there
    /// is none left.
    void sendRequest(const Core::TeamName &, TeamState &, Core::Instant now);
    /// Returns the next proxy to request tokens from, or null.
    [[nodiscard]] const Granter *nextGranter(const Core::TeamName &, TeamState &,
                                             Core::Instant now);
    [[nodiscard]] bool isBackedOff(const Core::NodeName &, Core::Instant now) const;
    void backOff(const Core::TeamName &, const OutstandingRequest &, Core::Duration,
                 const char *what, Core::Instant now);
    /// Moves the search on from a granter that did not have all tokens.
    static void tokensLacked(TeamState &, const OutstandingRequest &, const TokenGrant &);
    static void noteLack(Search &, Role, const Core::NodeName &granter, Core::Duration retryAfter);
    void refuseWaiting(TeamState &);
    void refuse(TeamState &, std::size_t count, Core::Duration retryAfter,
                const std::string &decidedBy, Role);
    void handleSilence(Core::Instant now);
    void returnTokens(Core::Instant now);

    Member self_;
    Core::Incarnation incarnation_;
    OwnerTable owners_;
    FleetVisibility fleetVisibility_ = FleetVisibility::Sufficient;
    std::size_t proxies_ = 1;
    Core::Instant membersSince_;
    Membership membership_ = Membership::NotYet;
    /// The data centres that had members until the given times.
    ShareLender::LossTimes lostDataCentres_;
    std::map<Core::TeamName, TeamState> teams_;
    std::map<Core::TeamName, OwnedRate> ownedRates_;
    std::map<Core::TeamName, ShareHolding> holdings_;
    std::vector<Core::TeamName> teamsToReview_; ///< Whose roles are not updated yet.
    Core::Instant nextRoleReviewAt_;
    std::set<Core::TeamName> teamsWithRequest_; ///< Teams with an outstanding request.
    std::set<Core::TeamName> teamsWithReturns_; ///< Teams with tokens to be returned.
    std::set<Core::TeamName> teamsWithQueries_; ///< Owned teams with unheard holders.
    /// Of the proxies whose last request timed out or was rejected.
    std::map<Core::NodeName, Backoff> backoffs_;
    std::vector<Decision> decisions_;
    std::vector<OutgoingMessage> messages_;
    std::vector<OwnerEvent> events_;
    std::vector<ShareEvent> shareEvents_;
    std::uint64_t nextRequestId_ = 1;
};

} // namespace Chervilpin::Rates
