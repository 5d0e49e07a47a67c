#include <FleetWire/FrameBuffer.h>

namespace Chervilpin::FleetWire {

namespace {
constexpr std::size_t lengthBytes = 4;
constexpr unsigned byteBits = 8;
constexpr unsigned byteMask = 0xff;
} // namespace

std::string toFrame(std::string_view content)
{
    std::string frame;
    frame.reserve(lengthBytes + content.size());
    for (std::size_t i = lengthBytes; i > 0; --i)
        frame += static_cast<char>((content.size() >> (byteBits * (i - 1))) & byteMask);
    frame += content;
    return frame;
}

void FrameBuffer::feed(std::span<const char> received)
{
    if (start_ > 0) {
        bytes_.erase(0, start_);
        start_ = 0;
    }
    bytes_.append(received.data(), received.size());
}

std::optional<std::size_t> FrameBuffer::nextLength() const
{
    if (bytes_.size() - start_ < lengthBytes)
        return {};
    std::size_t length = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i)
        length = (length << byteBits) | static_cast<unsigned char>(bytes_[start_ + i]);
    return length;
}

std::optional<std::string_view> FrameBuffer::next()
{
    const auto length = nextLength();
    if (!length || *length > maximumFrameBytes || bytes_.size() - start_ - lengthBytes < *length)
        return {};
    const std::string_view frame = std::string_view(bytes_).substr(start_ + lengthBytes, *length);
    start_ += lengthBytes + *length;
    return frame;
}

bool FrameBuffer::isOverlong() const
{
    const auto length = nextLength();
    return length && *length > maximumFrameBytes;
}

} // namespace Chervilpin::FleetWire
