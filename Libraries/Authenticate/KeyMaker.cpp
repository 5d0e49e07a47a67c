#include <Authenticate/KeyMaker.h>

namespace Chervilpin::Authenticate {

namespace {

std::string hexadecimal(std::span<const std::uint8_t> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned int bitsPerDigit = 4;
    constexpr unsigned int lowDigit = 0xf;
    std::string text;
    for (const std::uint8_t byte : bytes) {
        text += digits[byte >> bitsPerDigit];
        text += digits[byte & lowDigit];
    }
    return text;
}

} // namespace

Core::ErrorOr<MadeKey> KeyMaker::make(const Core::TeamName &team,
                                      std::span<const std::uint8_t> entropy)
{
    if (entropy.size() != entropyBytes)
        return Core::failure(Core::ErrorCode::InvalidArgument, "wrong number of random bytes");
    const std::string id = hexadecimal(entropy.subspan(0, idBytes));
    const std::string salt = hexadecimal(entropy.subspan(idBytes, saltBytes));
    const std::string secret = hexadecimal(entropy.subspan(idBytes + saltBytes, secretBytes));
    MadeKey made;
    made.text = "cvp_" + id + "_" + secret;
    made.record = KeyRecord{KeyId(id), team, salt, digestOf(salt, secret), KeyState::Valid};
    return made;
}

} // namespace Chervilpin::Authenticate
