#pragma once

#include <Authenticate/Keyring.h>
#include <Core/Result.h>

#include <cstdint>
#include <span>
#include <string>

namespace Chervilpin::Authenticate {

/// A new key: the text is shown once to the operator, the record goes into the configuration.
struct MadeKey
{
    std::string text;
    KeyRecord record;
};

/// Makes keys from bytes of the caller's entropy source, so that it needs no source of its own.
class KeyMaker
{
public:
    static constexpr std::size_t idBytes = 8;
    static constexpr std::size_t saltBytes = 16;
    static constexpr std::size_t secretBytes = 32;
    static constexpr std::size_t entropyBytes = idBytes + saltBytes + secretBytes;

    /// Fails with InvalidArgument unless there are exactly entropyBytes.
    static Core::ErrorOr<MadeKey> make(const Core::TeamName &team,
                                       std::span<const std::uint8_t> entropy);
};

} // namespace Chervilpin::Authenticate
