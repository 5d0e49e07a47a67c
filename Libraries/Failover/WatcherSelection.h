#pragma once

#include <Core/Name.h>
#include <Failover/Settings.h>

#include <cstddef>
#include <vector>

namespace Chervilpin::Failover {

/// The nodes that watch a group and hold its reservations: by rendezvous hash of group and node,
/// first the best of each data centre, then others while there are fewer than \a count.
[[nodiscard]] std::vector<PeerNode>
selectWatchers(const Core::GroupName &, const std::vector<PeerNode> &nodes, std::size_t count);

} // namespace Chervilpin::Failover
