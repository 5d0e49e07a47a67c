#include <Core/Rank.h>

#include <Core/Hash.h>

namespace Chervilpin::Core {

std::uint64_t rankOf(const NodeName &node, std::string_view duty)
{
    return hashOf(node.view(), hashOf(duty));
}

} // namespace Chervilpin::Core
