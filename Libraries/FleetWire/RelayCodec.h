#pragma once

#include <Core/Result.h>
#include <Fleet/RelayMessages.h>

#include <string>
#include <string_view>

/// The questions to a feed and its answers (relay.proto), bodies of HTTP calls between proxies.
namespace Chervilpin::FleetWire {

[[nodiscard]] std::string encode(const Fleet::RelayQuestion &);
[[nodiscard]] std::string encode(const Fleet::RelayAnswer &);
/// Both fail with InvalidArgument on anything that encode() can't have made.
[[nodiscard]] Core::ErrorOr<Fleet::RelayQuestion> decodeRelayQuestion(std::string_view body);
[[nodiscard]] Core::ErrorOr<Fleet::RelayAnswer> decodeRelayAnswer(std::string_view body);

} // namespace Chervilpin::FleetWire
