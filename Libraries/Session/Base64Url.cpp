#include <Session/Base64Url.h>

#include <array>
#include <cstdint>

namespace Chervilpin::Session {

namespace {

constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr unsigned bitsPerCharacter = 6;
constexpr unsigned bitsPerByte = 8;
constexpr std::uint32_t characterMask = 0x3f;
constexpr std::uint32_t byteMask = 0xff;

} // namespace

std::string encodeBase64Url(std::string_view bytes)
{
    std::string text;
    std::uint32_t pending = 0;
    unsigned pendingBits = 0;
    for (const char byte : bytes) {
        pending = (pending << bitsPerByte) | static_cast<unsigned char>(byte);
        pendingBits += bitsPerByte;
        while (pendingBits >= bitsPerCharacter) {
            pendingBits -= bitsPerCharacter;
            text.push_back(alphabet[(pending >> pendingBits) & characterMask]);
        }
    }
    if (pendingBits > 0)
        text.push_back(alphabet[(pending << (bitsPerCharacter - pendingBits)) & characterMask]);
    return text;
}

Core::ErrorOr<std::string> decodeBase64Url(std::string_view text)
{
    std::string bytes;
    std::uint32_t pending = 0;
    unsigned pendingBits = 0;
    for (const char character : text) {
        const std::size_t value = alphabet.find(character);
        if (value == std::string_view::npos)
            return Core::failure(Core::ErrorCode::InvalidArgument, "not a base64url character");
        pending = (pending << bitsPerCharacter) | static_cast<std::uint32_t>(value);
        pendingBits += bitsPerCharacter;
        if (pendingBits >= bitsPerByte) {
            pendingBits -= bitsPerByte;
            bytes.push_back(static_cast<char>((pending >> pendingBits) & byteMask));
        }
    }
    const std::uint32_t leftOver = pending & ((1U << pendingBits) - 1);
    if (pendingBits >= bitsPerCharacter || leftOver != 0)
        return Core::failure(Core::ErrorCode::InvalidArgument, "not a whole base64url text");
    return bytes;
}

} // namespace Chervilpin::Session
