#pragma once

#include <cstdint>

namespace Chervilpin::Fleet {

/// The level of the protocol between proxies that a build speaks; a higher level includes the lower
/// ones. While VMs are replaced, builds of several levels run side by side, and what a level adds
/// is used only between proxies that speak it.
using ProtocolLevel = std::uint32_t;

/// Of builds that publish no level.
constexpr ProtocolLevel baseLevel = 0;
/// Owners lend shares of teams' rates to holders.
constexpr ProtocolLevel rateShareLevel = 1;
/// The level of this build.
constexpr ProtocolLevel currentLevel = rateShareLevel;

} // namespace Chervilpin::Fleet
