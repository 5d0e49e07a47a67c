#pragma once

#include <Core/Milliseconds.h>

namespace Chervilpin::Core {

/// Reads the machine's boot-time clock, which goes on while the VM is suspended.
///
/// Only the shells around the decision libraries call this; decision objects are given the time.
class SteadyClock
{
public:
    [[nodiscard]] static Instant now();
    /// The same clock in microseconds, for traces and measurements.
    [[nodiscard]] static std::int64_t nowMicroseconds();
};

} // namespace Chervilpin::Core
