#pragma once

#include <Core/Random.h>

#include <cstdint>
#include <fstream>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Chervilpin::Observe {

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

/// One finished hop.
struct Span
{
    TraceContext context;
    std::string parentSpanId; ///< Empty for a root.
    std::string name;
    std::int64_t startMicroseconds = 0; ///< On the local clock of Core::SteadyClock.
    std::int64_t endMicroseconds = 0;
    std::string outcome;
};

/// Appends spans to a file, one OTLP export request in JSON a line, which collectors read.
class SpanWriter
{
public:
    /// \a path may be empty, in which case spans are dropped.
    SpanWriter(const std::string &path, std::string_view service, std::string_view node);

    [[nodiscard]] bool isEnabled() const { return file_.is_open(); }
    void write(const std::vector<Span> &);

private:
    std::ofstream file_;
    std::string service_;
    std::string node_;
    std::int64_t wallClockOffsetMicroseconds_ = 0;
};

} // namespace Chervilpin::Observe
