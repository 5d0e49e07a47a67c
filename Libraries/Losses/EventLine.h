#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Chervilpin::Losses {

/// A line of a process's log, as fields.
class EventLine
{
public:
    /// Reads a line of `key=value` fields, in which a value with blanks is quoted. Text before the
    /// field `time`, as a collector may put it there, is ignored. Returns nothing if the line has
    /// no time or no event.
    [[nodiscard]] static std::optional<EventLine> create(std::string_view line);

    /// The value of a field, or an empty view.
    [[nodiscard]] std::string_view field(std::string_view name) const;

private:
    std::map<std::string, std::string, std::less<>> fields_;
};

} // namespace Chervilpin::Losses
