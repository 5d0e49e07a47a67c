#pragma once

#include <Core/Random.h>

#include <optional>
#include <string>
#include <string_view>

namespace Chervilpin::Trace {

/// A place in a trace, as carried by the W3C `traceparent` header.
struct TraceContext
{
    std::string traceId; ///< 32 lower-case hexadecimal digits.
    std::string spanId;  ///< 16 lower-case hexadecimal digits.
    bool isSampled = false;

    /// A new trace with a root span.
    static TraceContext createRoot(Core::Random &);
    /// A new span of the same trace.
    [[nodiscard]] TraceContext createChild(Core::Random &) const;
    /// Reads a header; none if it is malformed, which the standard says to treat as absent.
    static std::optional<TraceContext> parse(std::string_view traceparent);
    [[nodiscard]] std::string traceparent() const;
};

} // namespace Chervilpin::Trace
