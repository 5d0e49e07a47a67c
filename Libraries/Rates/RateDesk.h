#pragma once

#include <Core/Milliseconds.h>
#include <Rates/Messages.h>
#include <Rates/OwnerTable.h>
#include <Rates/RateMeter.h>
#include <Rates/StandInPool.h>
#include <Rates/TeamRate.h>
#include <Rates/Timing.h>

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

struct AddressedAsk
{
    std::string address; ///< IP:port.
    Ask ask;
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
enum class Contact {
    Good,
    Poor, ///< Others may have taken its teams over.
};

/// Admits the operations of this proxy's callers within their teams' rates over the whole fleet,
/// and answers the asks of other proxies for the teams that this one owns.
///
/// Answers a load of many proxies, each with a few callers of many teams: a fixed part of a small
/// rate would be less than one operation for each proxy. A team whose even part is worth something
/// spends it first, without asking.
class RateDesk
{
public:
    explicit RateDesk(Member self);

    void setLimits(const std::map<Core::TeamName, Sessions::TeamLimits> &, Core::Instant now);
    /// Sets the proxies that may own rates. The even parts are for \a proxies, which also counts
    /// those that are silent, since they may go on spending theirs.
    void setMembers(std::vector<Member>, std::size_t proxies, Core::Instant now);
    void setContact(Contact contact) { contact_ = contact; }

    /// Asks for one operation; the decision comes from takeDecisions(), mostly at once.
    void take(const Core::TeamName &, Ticket, Core::Instant now);
    /// An operation that was admitted reached no database, so another one may start for it.
    void giveBack(const Core::TeamName &, Core::Instant now);
    /// Another proxy's ask.
    [[nodiscard]] Grant asked(const Ask &, Core::Instant now);
    /// The answer to an own ask.
    void granted(const Grant &, Core::Instant now);

    [[nodiscard]] Core::Instant nextDeadline() const;
    void advance(Core::Instant now);
    [[nodiscard]] std::vector<Decision> takeDecisions();
    [[nodiscard]] std::vector<AddressedAsk> takeAsks();
    [[nodiscard]] std::vector<OwnerEvent> takeEvents();

private:
    struct Outstanding
    {
        std::uint64_t id = 0;
        Role role = Role::Owner;
        Core::NodeName to;
        std::uint32_t needed = 0;
        Core::Instant askedAt;
    };

    /// A proxy that isn't asked for a while.
    struct Silence
    {
        Core::Instant until;
        Core::Duration span;
    };

    /// A team's rate at its owner.
    struct Owned
    {
        TeamRate bucket;
        std::map<Core::DataCentreName, RateMeter> granted;
    };

    /// One team, as this proxy's callers use it.
    struct Account
    {
        Sessions::TeamLimits limits;
        TeamRate evenPart;
        RateMeter demand{demandSpan};
        RateMeter granted{grantedSpan}; ///< To this proxy, by the owner.
        double usualPerSecond = 0;      ///< In the data centre, as the owner told last.
        std::uint32_t held = 0;         ///< Granted and not started.
        Core::Instant heldUntil;
        std::deque<Ticket> waiting;
        std::uint32_t returned = 0; ///< To be given back to the owner with the next ask.
        Core::Instant returnBy;
        std::optional<Outstanding> outstanding;
        unsigned unanswered = 0; ///< Asks in a row.
    };

    [[nodiscard]] double evenFraction(const Sessions::TeamLimits &) const;
    [[nodiscard]] Sessions::TeamLimits standInLimits(const Sessions::TeamLimits &) const;
    /// Divides a team's limits between the owner, this proxy's even part and the stand-in.
    void applyParts(const Core::TeamName &, Account &, Core::Instant now);
    [[nodiscard]] bool hasRole(const Core::TeamName &, Role);
    [[nodiscard]] Owned &ownedOf(const Core::TeamName &, Account &, Core::Instant now);
    [[nodiscard]] StandInPool &poolOf(const Core::TeamName &, Account &, Core::Instant now);
    void grantAsOwner(const Ask &, Owned &, Grant &, Core::Instant now);
    [[nodiscard]] bool isDesignatedStandIn(const Core::TeamName &);
    [[nodiscard]] static bool spend(Account &, Core::Instant now);
    /// Grants what waits as far as there is something to spend; returns how many.
    std::size_t grantWaiting(Account &, Core::Instant now);
    void serve(const Core::TeamName &, Account &, Core::Instant now);
    void ask(const Core::TeamName &, Account &, Core::Instant now);
    /// Whom to ask: the owner, else the stand-in, else this proxy itself.
    [[nodiscard]] std::pair<Role, const Member *> chooseAsked(const Core::TeamName &,
                                                              const Account &, Core::Instant now);
    [[nodiscard]] bool isSilent(const Core::NodeName &, Core::Instant now) const;
    void avoid(const Core::TeamName &, const Outstanding &, Core::Duration, const char *what,
               Core::Instant now);
    void refuse(Account &, std::size_t count, Core::Duration retryAfter,
                const std::string &decidedBy);

    Member self_;
    OwnerTable owners_;
    Contact contact_ = Contact::Good;
    std::size_t proxies_ = 1;
    Core::Instant membersSince_;
    std::map<Core::TeamName, Account> accounts_;
    std::map<Core::TeamName, Owned> owned_;
    std::map<Core::TeamName, StandInPool> pools_; ///< Of teams whose owner somebody couldn't reach.
    std::set<Core::TeamName> asking_;             ///< Teams with an outstanding ask.
    std::set<Core::TeamName> returning_;          ///< Teams with operations to be given back.
    std::map<Core::NodeName, Silence> silences_;  ///< Of those that didn't answer last.
    std::vector<Decision> decisions_;
    std::vector<AddressedAsk> asks_;
    std::vector<OwnerEvent> events_;
    std::uint64_t nextAsk_ = 1;
};

} // namespace Chervilpin::Rates
