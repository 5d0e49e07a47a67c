#include <Losses/EventLine.h>

namespace Chervilpin::Losses {

namespace {

/// Removes a value from the front of the text: up to the next blank, or a quoted one.
std::string takeValue(std::string_view &text)
{
    const bool isQuoted = text.starts_with('"');
    if (isQuoted)
        text.remove_prefix(1);
    std::string value;
    while (!text.empty()) {
        const char next = text.front();
        text.remove_prefix(1);
        if (next == (isQuoted ? '"' : ' '))
            break;
        const bool isEscape = isQuoted && next == '\\' && !text.empty();
        value += isEscape ? text.front() : next;
        if (isEscape)
            text.remove_prefix(1);
    }
    return value;
}

} // namespace

std::optional<EventLine> EventLine::create(std::string_view line)
{
    const auto start = line.find("time=");
    if (start == std::string_view::npos)
        return {};
    line.remove_prefix(start);
    EventLine result;
    while (!line.empty()) {
        const auto equals = line.find('=');
        if (equals == std::string_view::npos)
            break;
        std::string_view key = line.substr(0, equals);
        line.remove_prefix(equals + 1);
        // Anything before the last blank belongs to no field.
        key = key.substr(key.rfind(' ') + 1);
        result.fields_.insert_or_assign(std::string(key), takeValue(line));
    }
    if (result.field("event").empty())
        return {};
    return result;
}

std::string_view EventLine::field(std::string_view name) const
{
    const auto found = fields_.find(name);
    return found == fields_.end() ? std::string_view() : found->second;
}

} // namespace Chervilpin::Losses
