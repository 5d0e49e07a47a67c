#pragma once

#include <Core/Name.h>
#include <Rates/Messages.h>
#include <Sessions/RoutingTable.h>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Chervilpin::Rates {

/// Whether a proxy lends and holds shares of rates. Proxies of earlier builds do not.
enum class ShareSupport {
    No,
    Yes,
};

/// A proxy that may own teams' rates.
struct Member
{
    Core::NodeName node;
    Core::DataCentreName dataCentre;
    std::string address; ///< IP:port that receives messages of other proxies.
    ShareSupport shareSupport = ShareSupport::Yes;

    bool operator==(const Member &) const = default;
};

/// A proxy from which tokens may be requested, and in which role.
struct Granter
{
    Role role = Role::Owner;
    Member member;
};

/// The proxies that grant tokens of a team.
struct Owners
{
    std::optional<Member> owner;
    std::vector<Member> holders; ///< The share holders of all data centres.
    /// In the order in which this proxy requests tokens from them: the holders in its data centre,
    /// the owner, whose tokens are for all, and the holders of other data centres.
    std::vector<Granter> granters;
};

/// Assigns owners and share holders to teams by rendezvous hashing, so that a change of membership
/// moves only the teams of the members that joined or left.
class OwnerTable
{
public:
    explicit OwnerTable(Member self);

    void setMembers(std::vector<Member>);
    /// Returns the owner and the holders of a team with these limits.
    [[nodiscard]] const Owners &ownersOf(const Core::TeamName &, const Sessions::TeamLimits &);
    [[nodiscard]] const std::vector<Member> &members() const { return members_; }
    [[nodiscard]] bool isMember(const Core::NodeName &) const;
    /// Returns the data centre of the member, or an empty name if there is none.
    [[nodiscard]] Core::DataCentreName dataCentreOf(const Core::NodeName &) const;

private:
    using CacheKey = std::pair<Core::TeamName, std::size_t>;

    struct RankedMember
    {
        std::uint64_t rank = 0;
        const Member *member = nullptr;
    };

    [[nodiscard]] Owners find(const Core::TeamName &, std::size_t largestHolderCount) const;
    /// Returns the highest-ranked members of each data centre. \a candidates are in order of rank.
    [[nodiscard]] std::vector<Member> findHolders(std::span<const RankedMember> candidates,
                                                  std::size_t largestHolderCount) const;
    [[nodiscard]] std::vector<Granter> orderGranters(const Core::TeamName &, const Owners &) const;

    Member self_;
    std::vector<Member> members_;
    std::map<CacheKey, Owners> cache_;
    std::unordered_map<Core::NodeName, Core::DataCentreName> dataCentres_;
    std::map<Core::DataCentreName, std::size_t> memberCounts_;
};

} // namespace Chervilpin::Rates
