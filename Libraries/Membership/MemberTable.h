#pragma once

#include <Membership/Heartbeat.h>
#include <Membership/Settings.h>

#include <span>
#include <vector>

namespace Chervilpin::Membership {

/// All known members but the node itself, ordered by name.
class MemberTable
{
public:
    explicit MemberTable(Guards guards)
        : guards_(guards)
    { }

    [[nodiscard]] std::span<const Member> members() const { return members_; }
    [[nodiscard]] const Member *find(const Core::NodeName &) const;
    [[nodiscard]] Member *find(const Core::NodeName &);

    /// Takes over what a peer says if it is news; returns whether it was.
    bool merge(const Update &, Core::Instant now);
    /// Worsens or betters the health at the member's present version; returns whether it changed.
    bool setHealth(const Core::NodeName &, Health, Core::Instant now);
    /// Takes over the platform's list; returns whether a member was added or removed.
    bool reconcile(std::span<const Platform::Vm> listed, const Core::NodeName &self,
                   Core::Instant now);
    /// Adds a member that nobody has heard of yet; returns whether it is new.
    bool addUnconfirmed(const Platform::Vm &, Core::Instant now);
    /// Forgets members that have been dead since before \a before; returns whether there were any.
    bool removeDead(Core::Instant before);

    [[nodiscard]] std::size_t liveCount() const;

private:
    [[nodiscard]] std::vector<Member>::iterator position(const Core::NodeName &);
    [[nodiscard]] bool isNewer(const Member &, const Update &) const;

    Guards guards_;
    std::vector<Member> members_;
};

} // namespace Chervilpin::Membership
