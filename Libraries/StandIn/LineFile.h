#pragma once

#include <Core/Result.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Chervilpin::StandIn {

/// A file of lines that are only ever added to, which outlives the process that writes it.
///
/// A line is with the operating system once append() returns. That outlives the process, not the
/// machine, which is all that a stand-in needs.
class LineFile
{
public:
    /// Opens or makes the file. A last line that was cut off is removed. Fails with Unavailable.
    [[nodiscard]] static Core::ErrorOr<LineFile> create(const std::string &path);

    LineFile(LineFile &&) noexcept;
    LineFile &operator=(LineFile &&) = delete;
    LineFile(const LineFile &) = delete;
    LineFile &operator=(const LineFile &) = delete;
    ~LineFile();

    /// The lines that were in the file when it was opened, without their ends.
    [[nodiscard]] std::span<const std::string> lines() const { return lines_; }
    void append(std::string_view line);

private:
    LineFile(int descriptor, std::vector<std::string> lines)
        : descriptor_(descriptor)
        , lines_(std::move(lines))
    { }

    int descriptor_ = -1;
    std::vector<std::string> lines_;
};

} // namespace Chervilpin::StandIn
