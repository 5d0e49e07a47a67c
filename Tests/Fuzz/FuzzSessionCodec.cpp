#include <platform/LineBuffer.h>
#include <platform/SessionCodec.h>

#include <cstddef>
#include <cstdint>
#include <span>

using namespace Chervilpin;

/// Feeds bytes of a caller and of a database: no input may stop the process, and what is read as a
/// statement is written as it came.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer gives the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::span<const char> bytes(reinterpret_cast<const char *>(data), size);
    Adapter::LineBuffer buffer;
    buffer.feed(bytes);
    Adapter::ReplyReader reader;
    while (const auto line = buffer.next()) {
        const auto message = Adapter::decodeCallerLine(*line);
        if (const auto *statement = std::get_if<Sessions::Statement>(&message))
            (void)Adapter::encode(Sessions::SendStatement{1, *statement, {}});
        (void)reader.take(*line);
    }
    return 0;
}
