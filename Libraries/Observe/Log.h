#pragma once

#include <Core/Result.h>

#include <cstdint>
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

enum class LogTarget {
    StandardError,  ///< Waits for the reader.
    StandardOutput, ///< Never waits; lines are dropped and counted while the reader is behind.
};

/// Sends every event of at least \a minimum to the target, a line each.
void initializeLog(std::string_view program, std::string_view node, Severity minimum,
                   LogTarget target = LogTarget::StandardError);

/// Writes out what is kept back, as far as the reader takes it at once.
void flushLog();

/// Lines that were dropped because the reader was behind.
[[nodiscard]] std::uint64_t droppedLogLines();

/// Writes one event as `time=… level=… program=… node=… event=… key=value …`.
///
/// Never give it a caller's key or the text of a statement.
void log(Severity, std::string_view event, const std::vector<LogField> &fields = {});

/// A value as it stands in a line: quoted and escaped where it isn't a plain word.
[[nodiscard]] std::string logValue(std::string_view);

} // namespace Chervilpin::Observe
