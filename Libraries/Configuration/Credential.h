#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Chervilpin::Configuration {

/// The text of a caller's key, `cvp_<name>_<secret>`, or of an operator's credential,
/// `cvo_<name>_<secret>`, taken apart. Views into the text.
struct Credential
{
    std::string_view name;
    std::string_view secret;
};

inline constexpr std::string_view keyPrefix = "cvp_";
inline constexpr std::string_view operatorPrefix = "cvo_";

/// Takes a credential with that prefix apart; nullopt if the text has another form.
[[nodiscard]] std::optional<Credential> parseCredential(std::string_view prefix,
                                                        std::string_view text);

/// Authenticate::digestOf() of the salt's bytes and the secret, in hexadecimal. nullopt if the salt
/// isn't hexadecimal.
[[nodiscard]] std::optional<std::string> credentialDigest(std::string_view saltHex,
                                                          std::string_view secret);

/// Whether the secret has that digest; takes the same time wherever the first difference is.
[[nodiscard]] bool matchesDigest(std::string_view saltHex, std::string_view digestHex,
                                 std::string_view secret);

/// The bytes in lower-case hexadecimal.
[[nodiscard]] std::string toHex(std::string_view bytes);

/// The bytes that the hexadecimal text stands for.
[[nodiscard]] std::optional<std::string> fromHex(std::string_view hex);

} // namespace Chervilpin::Configuration
