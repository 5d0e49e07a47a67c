#pragma once

#include <Core/LogMark.h>

namespace Chervilpin::Route {

/// Whether a database whose last entry is \a held contains every acknowledged write up to \a mark.
///
/// Within one term the log of a replica is a prefix of the primary's. The log of a later term
/// contains every entry acknowledged in an earlier term at its original position. Entries that
/// were never acknowledged may be missing; this function does not cover them.
[[nodiscard]] constexpr bool contains(Core::LogMark held, Core::LogMark mark)
{
    return held.term >= mark.term && held.position >= mark.position;
}

} // namespace Chervilpin::Route
