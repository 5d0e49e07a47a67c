#pragma once

#include <Core/Result.h>
#include <Fleet/Heartbeat.h>

#include <string>
#include <string_view>

namespace Chervilpin::FleetWire {

/// The datagram of a heartbeat.
[[nodiscard]] std::string encode(const Fleet::Heartbeat &);
/// Fails with InvalidArgument on anything but a whole heartbeat.
[[nodiscard]] Core::ErrorOr<Fleet::Heartbeat> decode(std::string_view datagram);

} // namespace Chervilpin::FleetWire
