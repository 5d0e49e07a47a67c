#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Chervilpin::Authenticate {

constexpr std::size_t digestBytes = 32; ///< SHA-256.

using Digest = std::array<std::uint8_t, digestBytes>;

/// SHA-256 over the salt, a separator byte and the secret.
[[nodiscard]] Digest digestOf(std::string_view salt, std::string_view secret);

/// Compares in a time that doesn't depend on where the digests differ.
[[nodiscard]] bool isSameDigest(const Digest &a, const Digest &b);

} // namespace Chervilpin::Authenticate
