#pragma once

namespace Chervilpin::Control {

/// How chervilpinctl ends. `chervilpinctl --help` lists the numbers.
enum class ExitCode {
    Done = 0,
    Refused = 1,     ///< The server, or a check before it was asked, refused.
    Usage = 2,       ///< The command line or a file can't be read.
    Conflict = 3,    ///< Somebody else changed the same resources first.
    Unreachable = 4, ///< No server, or no platform behind it; nothing was changed.
    Unknown = 5,     ///< The change may have been accepted.
};

} // namespace Chervilpin::Control
