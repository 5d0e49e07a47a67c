#include <Configuration/Credential.h>

#include <Authenticate/KeyDigest.h>

#include <openssl/crypto.h>

namespace Chervilpin::Configuration {

namespace {

constexpr std::string_view hexDigits = "0123456789abcdef";
constexpr unsigned bitsPerDigit = 4;
constexpr unsigned digitMask = 0xf;

std::optional<unsigned> digitValue(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    if (digit >= 'a' && digit <= 'f')
        return digit - 'a' + 10;
    if (digit >= 'A' && digit <= 'F')
        return digit - 'A' + 10;
    return std::nullopt;
}

} // namespace

std::optional<Credential> parseCredential(std::string_view prefix, std::string_view text)
{
    if (!text.starts_with(prefix))
        return std::nullopt;
    text.remove_prefix(prefix.size());
    const std::size_t separator = text.find('_');
    if (separator == std::string_view::npos)
        return std::nullopt;
    const Credential credential{text.substr(0, separator), text.substr(separator + 1)};
    if (credential.name.empty() || credential.secret.empty())
        return std::nullopt;
    return credential;
}

std::optional<std::string> credentialDigest(std::string_view saltHex, std::string_view secret)
{
    const auto salt = fromHex(saltHex);
    if (!salt)
        return std::nullopt;
    const auto digest = Authenticate::digestOf(*salt, secret);
    return toHex({reinterpret_cast<const char *>(digest.data()), digest.size()});
}

bool matchesDigest(std::string_view saltHex, std::string_view digestHex, std::string_view secret)
{
    const auto digest = credentialDigest(saltHex, secret);
    if (!digest || digest->size() != digestHex.size())
        return false;
    return CRYPTO_memcmp(digest->data(), digestHex.data(), digest->size()) == 0;
}

std::string toHex(std::string_view bytes)
{
    std::string hex;
    hex.reserve(bytes.size() * 2);
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        hex.push_back(hexDigits[value >> bitsPerDigit]);
        hex.push_back(hexDigits[value & digitMask]);
    }
    return hex;
}

std::optional<std::string> fromHex(std::string_view hex)
{
    if (hex.size() % 2 != 0)
        return std::nullopt;
    std::string bytes;
    bytes.reserve(hex.size() / 2);
    for (std::size_t i = 0; i < hex.size(); i += 2) {
        const auto high = digitValue(hex[i]);
        const auto low = digitValue(hex[i + 1]);
        if (!high || !low)
            return std::nullopt;
        bytes.push_back(static_cast<char>((*high << bitsPerDigit) | *low));
    }
    return bytes;
}

} // namespace Chervilpin::Configuration
