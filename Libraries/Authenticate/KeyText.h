#pragma once

#include <Core/Name.h>
#include <Core/Result.h>

#include <string_view>

namespace Chervilpin::Authenticate {

using KeyId =
    Core::Name<struct KeyIdTag>; ///< The public part of a key; lower-case letters, digits.

/// The two parts of a key's text `cvp_<id>_<secret>`. The secret refers to the parsed text.
struct KeyText
{
    KeyId id;
    std::string_view secret;

    /// Fails with Unauthenticated if the text doesn't have the form of a key. The message never
    /// holds any of the text.
    static Core::ErrorOr<KeyText> parse(std::string_view text);
};

} // namespace Chervilpin::Authenticate
