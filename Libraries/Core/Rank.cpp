#include <Core/Rank.h>

#include <xxhash.h>

namespace Chervilpin::Core {

std::uint64_t rankOf(const NodeName &node, std::string_view duty)
{
    const std::string &name = node.value();
    return XXH64(name.data(), name.size(), XXH64(duty.data(), duty.size(), 0));
}

} // namespace Chervilpin::Core
