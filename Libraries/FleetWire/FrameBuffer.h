#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Chervilpin::FleetWire {

/// The largest frame on a link between proxies, in bytes: a message of a caller or of a database,
/// which may take a mebibyte, and what goes with it.
constexpr std::size_t maximumFrameBytes = std::size_t{1280} * 1024;

/// The frame as it goes over the link: its length in four bytes, the most significant first, then
/// the frame.
[[nodiscard]] std::string toFrame(std::string_view content);

/// Cuts received bytes into frames.
class FrameBuffer
{
public:
    void feed(std::span<const char>);
    /// The next complete frame; valid until the next call of any member.
    [[nodiscard]] std::optional<std::string_view> next();
    /// Whether the next frame is longer than allowed. Nothing more can be read.
    [[nodiscard]] bool isOverlong() const;

private:
    [[nodiscard]] std::optional<std::size_t> nextLength() const;

    std::string bytes_;
    std::size_t start_ = 0; ///< Of the first frame that wasn't given out.
};

} // namespace Chervilpin::FleetWire
