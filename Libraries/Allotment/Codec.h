#pragma once

#include <Allotment/Messages.h>
#include <Core/Result.h>

#include <string>
#include <string_view>

namespace Chervilpin::Allotment {

/// Encodes and decodes the module's protobuf messages (Libraries/Wire/allotment.proto).
class Codec
{
public:
    [[nodiscard]] static std::string encode(const Message &message);
    [[nodiscard]] static std::string encode(const Claim &claim);
    /// Fails with InvalidArgument if \a payload is not a complete message, or if an amount is
    /// negative or too large.
    static Core::ErrorOr<Message> decodeMessage(std::string_view payload);
    static Core::ErrorOr<Claim> decodeClaim(std::string_view value);
};

} // namespace Chervilpin::Allotment
