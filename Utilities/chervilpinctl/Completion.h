#pragma once

#include <string_view>

namespace Chervilpin::Control {

/// The script that completes chervilpinctl's command lines in bash or zsh.
[[nodiscard]] std::string_view bashCompletion();
[[nodiscard]] std::string_view zshCompletion();

} // namespace Chervilpin::Control
