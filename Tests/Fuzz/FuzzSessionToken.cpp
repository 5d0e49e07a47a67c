#include <Core/Verify.h>
#include <Session/SessionToken.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

using namespace Chervilpin;
using Session::SessionToken;

namespace {

/// What decodes must come back the same from its own text.
void checkRoundTrip(std::string_view text)
{
    const auto token = SessionToken::decode(text);
    if (!token)
        return;
    const auto again = SessionToken::decode(token->encode());
    VERIFY(again.has_value());
    VERIFY(*again == *token);
    VERIFY(token->groupCount() <= SessionToken::maximumGroups);
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer looks for this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string bytes(reinterpret_cast<const char *>(data), size);
    checkRoundTrip(bytes);
    // Texts of random bytes never pass the checksum, so the content is also given a valid one.
    checkRoundTrip(SessionToken::seal(bytes));
    return 0;
}
