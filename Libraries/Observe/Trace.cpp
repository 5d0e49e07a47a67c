#include <Observe/Trace.h>

#include <Core/SteadyClock.h>

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>

namespace Chervilpin::Observe {

namespace {

namespace json = boost::json;

constexpr std::size_t traceIdDigits = 32;
constexpr std::size_t spanIdDigits = 16;
constexpr std::size_t traceparentLength = 55;
constexpr std::int64_t nanosecondsPerMicrosecond = 1000;
/// OTLP's SPAN_KIND_INTERNAL.
constexpr int spanKindInternal = 1;

std::string hexadecimal(std::uint64_t value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(spanIdDigits, '0');
    for (auto position = text.rbegin(); position != text.rend(); ++position) {
        *position = digits[value & 0xf];
        value >>= 4;
    }
    return text;
}

bool isHexadecimal(std::string_view text)
{
    return std::ranges::all_of(text, [](char character) {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
    });
}

bool isAllZero(std::string_view text)
{
    return std::ranges::all_of(text, [](char character) { return character == '0'; });
}

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

TraceContext TraceContext::createRoot(Core::Random &random)
{
    TraceContext context;
    context.traceId = hexadecimal(random.bits()) + hexadecimal(random.bits() | 1);
    context.spanId = hexadecimal(random.bits() | 1);
    return context;
}

TraceContext TraceContext::createChild(Core::Random &random) const
{
    TraceContext child = *this;
    child.spanId = hexadecimal(random.bits() | 1);
    return child;
}

std::optional<TraceContext> TraceContext::parse(std::string_view text)
{
    // version "-" trace id "-" span id "-" flags; see https://www.w3.org/TR/trace-context/.
    if (text.size() < traceparentLength || text[2] != '-' || text[35] != '-' || text[52] != '-')
        return std::nullopt;
    const std::string_view version = text.substr(0, 2);
    const std::string_view traceId = text.substr(3, traceIdDigits);
    const std::string_view spanId = text.substr(36, spanIdDigits);
    const std::string_view flags = text.substr(53, 2);
    const bool isWellFormed = isHexadecimal(version) && isHexadecimal(traceId)
        && isHexadecimal(spanId) && isHexadecimal(flags);
    if (!isWellFormed || version == "ff" || isAllZero(traceId) || isAllZero(spanId))
        return std::nullopt;
    if (version == "00" && text.size() != traceparentLength)
        return std::nullopt;
    TraceContext context;
    context.traceId = std::string(traceId);
    context.spanId = std::string(spanId);
    context.isSampled = std::string_view("13579bdf").find(flags[1]) != std::string_view::npos;
    return context;
}

std::string TraceContext::traceparent() const
{
    return "00-" + traceId + "-" + spanId + (isSampled ? "-01" : "-00");
}

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
