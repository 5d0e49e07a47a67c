#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Chervilpin::Observe {

/// Writes lines to a descriptor without ever waiting for its reader.
///
/// Lines are gathered, so that one system call writes several. While the reader is behind, lines
/// beyond a bound are dropped and counted.
class LineWriter
{
public:
    /// Sets the descriptor to non-blocking.
    explicit LineWriter(int descriptor);

    /// Takes a line without its end.
    void write(std::string_view line);
    /// Writes what was gathered, as far as the reader takes it at once.
    void flush();
    [[nodiscard]] std::uint64_t droppedLines() const { return dropped_; }

private:
    int descriptor_;
    std::string gathered_;
    std::uint64_t dropped_ = 0;
};

} // namespace Chervilpin::Observe
