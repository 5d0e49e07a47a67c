#pragma once

#include <compare>
#include <cstdint>

namespace Chervilpin::Core {

/// The number of one primary's reign over a group. A higher term supersedes every lower one.
using Term = std::uint64_t;

/// The number of the last entry in a database's log; entries are numbered from 1 within a group.
using LogPosition = std::uint64_t;

/// A place in a group's log: a position as written under a term. Ordered by term, then position.
struct LogMark
{
    Term term = 0;
    LogPosition position = 0;

    auto operator<=>(const LogMark &) const = default;
};

} // namespace Chervilpin::Core
