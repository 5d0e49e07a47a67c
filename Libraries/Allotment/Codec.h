#pragma once

#include <Allotment/Messages.h>
#include <Core/Result.h>

#include <string>
#include <string_view>

namespace Chervilpin::Allotment {

/// The protobuf encoding of the module's messages (Libraries/Wire/allotment.proto).
class Codec
{
public:
    [[nodiscard]] static std::string encode(const Message &message);
    [[nodiscard]] static std::string encode(const Claim &claim);
    /// Fails with InvalidArgument for anything that isn't a whole message, or has negative amounts.
    static Core::ErrorOr<Message> decodeMessage(std::string_view payload);
    static Core::ErrorOr<Claim> decodeClaim(std::string_view value);
};

} // namespace Chervilpin::Allotment
