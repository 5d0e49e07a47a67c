#pragma once

#include <Core/Name.h>

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Chervilpin::Rates {

/// A proxy that may own teams' rates.
struct Member
{
    Core::NodeName node;
    Core::DataCentreName dataCentre;
    std::string address; ///< IP:port that receives messages of other proxies.

    bool operator==(const Member &) const = default;
};

/// The proxies from which tokens of a team are requested.
struct Owners
{
    std::optional<Member> owner;
    std::vector<Member> fallbacks; ///< The highest-ranked others in this proxy's data centre.
};

/// Assigns teams to owners by rendezvous hashing, so that a change of membership moves only the
/// teams of the members that joined or left.
class OwnerTable
{
public:
    explicit OwnerTable(Core::DataCentreName dataCentre);

    void setMembers(std::vector<Member>);
    [[nodiscard]] const Owners &ownersOf(const Core::TeamName &);
    [[nodiscard]] const std::vector<Member> &members() const { return members_; }
    [[nodiscard]] std::size_t dataCentreCount() const;
    [[nodiscard]] bool isMember(const Core::NodeName &) const;
    /// Returns the data centre of the member with this address, or an empty name if there is none.
    [[nodiscard]] Core::DataCentreName dataCentreOf(const std::string &address) const;

private:
    [[nodiscard]] Owners find(const Core::TeamName &) const;

    Core::DataCentreName dataCentre_;
    std::vector<Member> members_;
    std::map<Core::TeamName, Owners> cache_;
    std::unordered_map<std::string, Core::DataCentreName> dataCentres_; ///< By address.
};

} // namespace Chervilpin::Rates
