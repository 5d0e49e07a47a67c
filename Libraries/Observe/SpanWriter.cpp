#include <Observe/SpanWriter.h>

#include <Core/SteadyClock.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>

namespace Chervilpin::Observe {

namespace {

namespace json = boost::json;

constexpr std::int64_t nanosecondsPerMicrosecond = 1000;
/// OTLP's SPAN_KIND_INTERNAL.
constexpr int spanKindInternal = 1;

json::object attribute(std::string_view key, std::string_view value)
{
    return {{"key", key}, {"value", {{"stringValue", value}}}};
}

json::object toJson(const Span &span, std::int64_t offsetMicroseconds)
{
    const auto nanoseconds = [&](std::int64_t microseconds) {
        return std::to_string((microseconds + offsetMicroseconds) * nanosecondsPerMicrosecond);
    };
    return {
        {"traceId", span.context.traceId},
        {"spanId", span.context.spanId},
        {"parentSpanId", span.parentSpanId},
        {"name", span.name},
        {"kind", spanKindInternal},
        {"startTimeUnixNano", nanoseconds(span.startMicroseconds)},
        {"endTimeUnixNano", nanoseconds(span.endMicroseconds)},
        {"attributes", json::array{attribute("outcome", span.outcome)}},
    };
}

} // namespace

SpanWriter::SpanWriter(const std::string &path, std::string_view service, std::string_view node)
    : service_(service)
    , node_(node)
{
    if (!path.empty())
        file_.open(path, std::ios::app);
    const auto wallClock = std::chrono::system_clock::now().time_since_epoch();
    wallClockOffsetMicroseconds_ =
        std::chrono::duration_cast<std::chrono::microseconds>(wallClock).count()
        - Core::SteadyClock::nowMicroseconds();
}

void SpanWriter::write(const std::vector<Span> &spans)
{
    if (!isEnabled() || spans.empty())
        return;
    json::array list;
    for (const auto &span : spans)
        list.push_back(toJson(span, wallClockOffsetMicroseconds_));
    const json::object resource{
        {"attributes",
         json::array{attribute("service.name", service_), attribute("host.name", node_)}}};
    const json::object request{
        {"resourceSpans",
         json::array{json::object{
             {"resource", resource},
             {"scopeSpans", json::array{json::object{{"spans", std::move(list)}}}},
         }}},
    };
    file_ << json::serialize(request) << '\n' << std::flush;
}

} // namespace Chervilpin::Observe
