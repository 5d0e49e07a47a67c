#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Chervilpin::FleetWire {

/// The maximum size of a frame on a link between proxies, in bytes, without its length prefix. A
/// frame carries one message of a caller or of a database, which may take 1 MiB, and its metadata.
constexpr std::size_t maximumFrameBytes = std::size_t{1280} * 1024;

/// Returns the content with a length prefix: its size as a 32-bit big-endian integer.
[[nodiscard]] std::string toFrame(std::string_view content);

/// Splits a received byte stream into length-prefixed frames.
class FrameBuffer
{
public:
    /// Appends received bytes.
    void feed(std::span<const char>);
    /// Removes the next complete frame and returns its content, or nothing if it is incomplete or
    /// overlong. The view is valid until the next call of any member function.
    [[nodiscard]] std::optional<std::string_view> next();
    /// Whether the next frame exceeds maximumFrameBytes. The stream can't be read any further.
    [[nodiscard]] bool isOverlong() const;

private:
    /// The length prefix of the next frame, if it has been received completely.
    [[nodiscard]] std::optional<std::size_t> nextLength() const;

    std::string bytes_;
    std::size_t start_ = 0; ///< Offset in bytes_ of the next frame.
};

} // namespace Chervilpin::FleetWire
