#pragma once

#include <cstdint>
#include <string_view>

namespace Chervilpin::Core {

/// A well mixed value of a text; the same in all processes. The \a seed keeps purposes apart.
[[nodiscard]] std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0);

} // namespace Chervilpin::Core
