#include <Membership/Rank.h>

#include <xxhash.h>

namespace Chervilpin::Membership {

std::uint64_t rankOf(const Core::NodeName &node, std::string_view duty)
{
    const std::string &name = node.value();
    return XXH64(name.data(), name.size(), XXH64(duty.data(), duty.size(), 0));
}

} // namespace Chervilpin::Membership
