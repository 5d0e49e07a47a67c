#pragma once

#include <cstdint>

namespace Chervilpin::Core {

/// Tells apart the lives of one node name; larger is later.
using Incarnation = std::uint64_t;

/// For a process that starts now: the wall clock's milliseconds.
[[nodiscard]] Incarnation newIncarnation();

} // namespace Chervilpin::Core
