#pragma once

#include <Core/Result.h>
#include <Fleet/RelayMessages.h>

#include <string>
#include <string_view>

/// Encodes the requests to a feed and its responses (relay.proto), which are the bodies of HTTP
/// requests and responses between proxies.
namespace Chervilpin::FleetWire {

[[nodiscard]] std::string encode(const Fleet::RelayQuestion &);
[[nodiscard]] std::string encode(const Fleet::RelayAnswer &);
/// Fails with InvalidArgument if the body is not a valid message or the kind of objects is unknown.
[[nodiscard]] Core::ErrorOr<Fleet::RelayQuestion> decodeRelayQuestion(std::string_view body);
/// Fails with InvalidArgument if the body is not a valid message. An unknown outcome, or an empty
/// body, is decoded as NotAFeed.
[[nodiscard]] Core::ErrorOr<Fleet::RelayAnswer> decodeRelayAnswer(std::string_view body);

} // namespace Chervilpin::FleetWire
