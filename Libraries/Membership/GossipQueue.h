#pragma once

#include <Core/Name.h>

#include <cstdint>
#include <map>
#include <vector>

namespace Chervilpin::Membership {

/// The members about whom there is news to pass on, and how often each is still to be sent.
class GossipQueue
{
public:
    /// News about a member, to be sent \a times; replaces older news about it.
    void add(const Core::NodeName &, std::uint32_t times);
    /// The next \a count members to send news about, those least often sent first; counts as sent.
    [[nodiscard]] std::vector<Core::NodeName> take(std::size_t count);
    [[nodiscard]] bool isEmpty() const { return remaining_.empty(); }

private:
    std::map<Core::NodeName, std::uint32_t> remaining_;
};

} // namespace Chervilpin::Membership
