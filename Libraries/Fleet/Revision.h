#pragma once

#include <cstdint>

namespace Chervilpin::Fleet {

/// A position in the history of the store: its era and, within the era, its revision. Increases
/// with each change of any object in the store. 0 means that a record doesn't exist.
///
/// A store that comes back from a copy begins a new era. What was written after the copy is gone,
/// and the store's own revisions go back and are given out again. The era is in the upper bits, so
/// that positions of a later era are the higher ones everywhere, also as fencing tokens.
using Revision = std::uint64_t;

/// Counts how often the store came back from a copy; 0 if the store doesn't tell.
using Era = std::uint32_t;

/// 40 bits last for 29 years at 1,200 changes per second. Positions with an era up to 8,191 can be
/// represented exactly by readers that hold numbers as 64-bit floating point.
constexpr unsigned revisionBits = 40;

[[nodiscard]] constexpr Revision makeRevision(Era era, std::uint64_t storeRevision)
{
    return (static_cast<Revision>(era) << revisionBits) + storeRevision;
}

[[nodiscard]] constexpr Era eraOf(Revision revision)
{
    return static_cast<Era>(revision >> revisionBits);
}

/// The revision as the store itself counts it.
[[nodiscard]] constexpr std::uint64_t storeRevisionOf(Revision revision)
{
    return revision & ((Revision{1} << revisionBits) - 1);
}

} // namespace Chervilpin::Fleet
