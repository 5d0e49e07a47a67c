#pragma once

#include <Core/Milliseconds.h>

#include <cstdint>

namespace Chervilpin::Route {

/// The time of an event in this process, and its place in the order of all stamped events.
///
/// Many events share one millisecond, so `order` decides whether a request was sent after a read
/// arrived. Stamps never leave the process.
struct Stamp
{
    Core::Instant at;
    std::uint64_t order = 0;
};

/// Issues the stamps of one process. The engine owns exactly one source.
class StampSource
{
public:
    /// Call it just before sending a request, or on receiving a caller's request.
    [[nodiscard]] Stamp next(Core::Instant now) { return {now, ++lastOrder_}; }

private:
    std::uint64_t lastOrder_ = 0;
};

} // namespace Chervilpin::Route
