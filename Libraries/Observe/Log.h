#pragma once

#include <Core/Result.h>

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Chervilpin::Observe {

enum class Severity {
    Debug,
    Info,
    Warning,
    Error,
};

/// Reads `debug`, `info`, `warning` or `error`.
Core::ErrorOr<Severity> parseSeverity(std::string_view);

/// One key and value of a log line.
struct LogField
{
    std::string key;
    std::string value;
};

/// Sends every event of at least \a minimum to standard error, a line each.
void initializeLog(std::string_view program, std::string_view node, Severity minimum);

/// Writes one event as `time=… level=… program=… node=… event=… key=value …`.
///
/// Never give it a caller's key or the text of a statement.
void log(Severity, std::string_view event, const std::vector<LogField> &fields = {});

/// A value as it stands in a line: quoted and escaped where it isn't a plain word.
[[nodiscard]] std::string logValue(std::string_view);

} // namespace Chervilpin::Observe
