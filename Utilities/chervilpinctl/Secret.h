#pragma once

#include <Core/Result.h>

#include <string>
#include <string_view>

namespace Chervilpin::Control {

/// A new credential: its text is shown once, the rest is stored.
struct NewCredential
{
    std::string text; ///< `<prefix><name>_<secret>`.
    std::string salt;
    std::string digest;
};

/// Makes a credential with a secret of 256 random bits.
[[nodiscard]] Core::ErrorOr<NewCredential> makeCredential(std::string_view prefix,
                                                          const std::string &name);

/// That many random bytes in hexadecimal.
[[nodiscard]] Core::ErrorOr<std::string> randomHex(std::size_t bytes);

} // namespace Chervilpin::Control
