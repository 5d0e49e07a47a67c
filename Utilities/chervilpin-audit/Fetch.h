#pragma once

#include <Core/Result.h>

#include <string>
#include <string_view>

namespace Chervilpin::Audit {

/// The body of an HTTP GET from `IP:PORT`. Fails with Unavailable or, for a status other than 200,
/// with NotFound.
[[nodiscard]] Core::ErrorOr<std::string> fetch(std::string_view address, std::string_view path);

} // namespace Chervilpin::Audit
