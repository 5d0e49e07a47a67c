#pragma once

#include <Membership/Heartbeat.h>
#include <Membership/Settings.h>

#include <span>
#include <vector>

namespace Chervilpin::Membership {

/// All known members except the node itself, ordered by name.
class MemberTable
{
public:
    explicit MemberTable(Guards guards)
        : guards_(guards)
    { }

    [[nodiscard]] std::span<const Member> members() const { return members_; }
    [[nodiscard]] const Member *find(const Core::NodeName &) const;
    [[nodiscard]] Member *find(const Core::NodeName &);

    /// Applies a peer's update if it is newer than what is known; returns whether it was.
    bool merge(const Update &, Core::Instant now);
    /// Sets the health at the member's present version; returns whether it changed.
    bool setHealth(const Core::NodeName &, Health, Core::Instant now);
    /// Applies the platform's VM list; returns whether a member was added or removed.
    bool reconcile(std::span<const Platform::Vm> listed, const Core::NodeName &self,
                   Core::Instant now);
    /// Adds a member from which no heartbeat has arrived yet; returns whether it is new.
    bool addUnconfirmed(const Platform::Vm &, Core::Instant now);
    /// Removes members that died before \a before; returns whether there were any.
    bool removeDead(Core::Instant before);

    [[nodiscard]] std::size_t liveCount() const;

private:
    [[nodiscard]] std::vector<Member>::iterator position(const Core::NodeName &);
    [[nodiscard]] bool isNewer(const Member &, const Update &) const;

    Guards guards_;
    std::vector<Member> members_;
};

} // namespace Chervilpin::Membership
