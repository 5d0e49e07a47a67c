#include <Core/Hash.h>

#include <xxhash.h>

namespace Chervilpin::Core {

std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

} // namespace Chervilpin::Core
