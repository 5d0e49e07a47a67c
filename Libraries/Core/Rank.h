#pragma once

#include <Core/Name.h>

#include <cstdint>

namespace Chervilpin::Core {

/// The place of a node in the order by which duties named \a duty are given out. All nodes compute
/// the same, and another duty has another order.
[[nodiscard]] std::uint64_t rankOf(const NodeName &, std::string_view duty);

} // namespace Chervilpin::Core
