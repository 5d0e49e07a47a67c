#pragma once

#include <Core/Result.h>
#include <Fleet/Heartbeat.h>
#include <Rates/Messages.h>

#include <string>
#include <string_view>
#include <variant>

/// Encodes the datagrams that proxies send each other (fleet.proto).
namespace Chervilpin::FleetWire {

using PeerMessage = std::variant<Fleet::Heartbeat, Rates::TokenRequest, Rates::TokenGrant,
                                 Rates::ShareReport, Rates::ShareLease, Rates::ShareQuery>;

[[nodiscard]] std::string encode(const Fleet::Heartbeat &);
[[nodiscard]] std::string encode(const Rates::TokenRequest &);
[[nodiscard]] std::string encode(const Rates::TokenGrant &);
[[nodiscard]] std::string encode(const Rates::ShareReport &);
[[nodiscard]] std::string encode(const Rates::ShareLease &);
[[nodiscard]] std::string encode(const Rates::ShareQuery &);
/// Fails with InvalidArgument if the datagram is not a valid message of a known type, or lacks the
/// node of a heartbeat, the team or reply address of a request, or a valid share.
[[nodiscard]] Core::ErrorOr<PeerMessage> decode(std::string_view datagram);

} // namespace Chervilpin::FleetWire
