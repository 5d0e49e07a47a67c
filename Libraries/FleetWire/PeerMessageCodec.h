#pragma once

#include <Core/Result.h>
#include <Fleet/Heartbeat.h>
#include <Rates/Messages.h>

#include <string>
#include <string_view>
#include <variant>

/// The datagrams between proxies (fleet.proto).
namespace Chervilpin::FleetWire {

using PeerMessage = std::variant<Fleet::Heartbeat, Rates::TokenRequest, Rates::TokenGrant>;

[[nodiscard]] std::string encode(const Fleet::Heartbeat &);
[[nodiscard]] std::string encode(const Rates::TokenRequest &);
[[nodiscard]] std::string encode(const Rates::TokenGrant &);
/// Fails with InvalidArgument on anything that encode() can't have made.
[[nodiscard]] Core::ErrorOr<PeerMessage> decode(std::string_view datagram);

} // namespace Chervilpin::FleetWire
