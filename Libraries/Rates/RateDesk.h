#pragma once

#include <Core/Milliseconds.h>
#include <Rates/Messages.h>
#include <Rates/OwnerTable.h>
#include <Rates/TeamRate.h>

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
    Core::Duration retryAfter; ///< If not granted.
    double ratePerSecond = 0;  ///< Of the team.
    std::string decidedBy;     ///< The node of the owner, or why none was asked.
};

struct AddressedAsk
{
    std::string address; ///< IP:port.
    Ask ask;
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
    /// Sets the proxies that may own rates; \a proxies also counts those that are silent.
    void setMembers(std::vector<Member>, std::size_t proxies, Core::Instant now);
    void setContact(Contact contact) { contact_ = contact; }

    /// Asks for one operation; the decision comes from takeDecisions(), mostly at once.
    void take(const Core::TeamName &, Ticket, Core::Instant now);
    /// Another proxy's ask.
    [[nodiscard]] Grant asked(const Ask &, Core::Instant now);
    /// The answer to an own ask.
    void granted(const Grant &, Core::Instant now);

    [[nodiscard]] Core::Instant nextDeadline() const;
    void advance(Core::Instant now);
    [[nodiscard]] std::vector<Decision> takeDecisions();
    [[nodiscard]] std::vector<AddressedAsk> takeAsks();

private:
    struct Outstanding
    {
        std::uint64_t id = 0;
        Role role = Role::Owner;
        Core::NodeName to;
        std::uint32_t needed = 0;
        Core::Instant askedAt;
    };

    /// One team, as this proxy's callers use it.
    struct Account
    {
        Sessions::TeamLimits limits;
        TeamRate evenPart;
        std::uint32_t held = 0; ///< Granted and not started.
        Core::Instant heldUntil;
        std::deque<Ticket> waiting;
        std::optional<Outstanding> outstanding;
    };

    /// A team's bucket at its owner.
    using Buckets = std::map<Core::TeamName, TeamRate>;

    [[nodiscard]] double evenFraction(const Sessions::TeamLimits &) const;
    [[nodiscard]] Sessions::TeamLimits standInLimits(const Sessions::TeamLimits &) const;
    void applyParts(const Core::TeamName &, Account &, Core::Instant now);
    [[nodiscard]] bool hasRole(const Core::TeamName &, Role);
    [[nodiscard]] TeamRate &bucketOf(const Core::TeamName &, const Account &, Role,
                                     Core::Instant now);
    [[nodiscard]] static bool spend(Account &, Core::Instant now);
    void serve(const Core::TeamName &, Account &, Core::Instant now);
    void ask(const Core::TeamName &, Account &, Core::Instant now);
    [[nodiscard]] std::optional<Role> usableRole(const Core::TeamName &, Core::Instant now);
    [[nodiscard]] bool isSilent(const Core::NodeName &, Core::Instant now) const;
    void refuse(Account &, std::size_t count, Core::Duration retryAfter,
                const std::string &decidedBy);

    Member self_;
    OwnerTable owners_;
    Contact contact_ = Contact::Good;
    std::size_t proxies_ = 1;
    Core::Instant membersSince_;
    std::map<Core::TeamName, Account> accounts_;
    Buckets owned_;
    Buckets standIns_;
    std::set<Core::TeamName> asking_; ///< Teams with an outstanding ask.
    std::map<Core::NodeName, Core::Instant> silentUntil_;
    std::vector<Decision> decisions_;
    std::vector<AddressedAsk> asks_;
    std::uint64_t nextAsk_ = 1;
};

} // namespace Chervilpin::Rates
