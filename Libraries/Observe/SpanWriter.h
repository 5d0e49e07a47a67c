#pragma once

#include <Trace/TraceContext.h>

#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>
#include <vector>

namespace Chervilpin::Observe {

/// One finished hop.
struct Span
{
    Trace::TraceContext context;
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
