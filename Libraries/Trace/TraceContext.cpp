#include <Trace/TraceContext.h>

#include <algorithm>

namespace Chervilpin::Trace {

namespace {

constexpr std::size_t traceIdDigits = 32;
constexpr std::size_t spanIdDigits = 16;
constexpr std::size_t traceparentLength = 55;

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

} // namespace Chervilpin::Trace
