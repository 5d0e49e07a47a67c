#pragma once

#include <Core/Name.h>

#include <cstdint>
#include <map>
#include <vector>

namespace Chervilpin::Membership {

/// The members whose state is to be gossiped, and how many more times each is to be sent.
class GossipQueue
{
public:
    /// Queues a member's state to be sent \a times, replacing what remained of an earlier entry.
    void add(const Core::NodeName &, std::uint32_t times);
    /// Returns up to \a count members, those with the most remaining sends first, and counts each
    /// as sent once.
    [[nodiscard]] std::vector<Core::NodeName> take(std::size_t count);
    [[nodiscard]] bool isEmpty() const { return remaining_.empty(); }

private:
    std::map<Core::NodeName, std::uint32_t> remaining_;
};

} // namespace Chervilpin::Membership
