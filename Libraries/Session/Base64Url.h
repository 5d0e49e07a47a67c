#pragma once

#include <Core/Result.h>

#include <string>
#include <string_view>

namespace Chervilpin::Session {

/// Encodes bytes in the URL-safe base64 alphabet of RFC 4648, without padding.
[[nodiscard]] std::string encodeBase64Url(std::string_view bytes);

/// Reverses encodeBase64Url(). Refuses every text that it would not have made.
[[nodiscard]] Core::ErrorOr<std::string> decodeBase64Url(std::string_view text);

} // namespace Chervilpin::Session
