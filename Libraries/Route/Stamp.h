#pragma once

#include <Core/Milliseconds.h>

#include <cstdint>

namespace Chervilpin::Route {

/// When something happened in this process: the instant, and the order among all stamps.
///
/// Many things happen within one millisecond, so "asked after the read arrived" is decided by
/// `order`. Stamps never leave the process.
struct Stamp
{
    Core::Instant at;
    std::uint64_t order = 0;
};

/// Hands out the stamps of one process. The engine owns exactly one.
class StampSource
{
public:
    /// To be called just before a request is sent, or when a caller's request has come in.
    [[nodiscard]] Stamp next(Core::Instant now) { return {now, ++lastOrder_}; }

private:
    std::uint64_t lastOrder_ = 0;
};

} // namespace Chervilpin::Route
