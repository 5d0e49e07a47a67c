#include <Authenticate/KeyText.h>

#include <algorithm>

namespace Chervilpin::Authenticate {

namespace {

constexpr std::string_view prefix = "cvp_";
constexpr std::size_t longestKey = 256;

bool isKeyCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
}

bool isKeyWord(std::string_view word)
{
    return !word.empty() && std::ranges::all_of(word, isKeyCharacter);
}

} // namespace

Core::ErrorOr<KeyText> KeyText::parse(std::string_view text)
{
    const auto malformed = Core::failure(Core::ErrorCode::Unauthenticated, "not a key");
    if (text.size() > longestKey || !text.starts_with(prefix))
        return malformed;
    const std::string_view rest = text.substr(prefix.size());
    const std::size_t separator = rest.find('_');
    if (separator == std::string_view::npos)
        return malformed;
    const std::string_view id = rest.substr(0, separator);
    const std::string_view secret = rest.substr(separator + 1);
    if (!isKeyWord(id) || !isKeyWord(secret))
        return malformed;
    return KeyText{KeyId(id), secret};
}

} // namespace Chervilpin::Authenticate
