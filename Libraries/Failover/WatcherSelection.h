#pragma once

#include <Core/Name.h>
#include <Failover/Settings.h>

#include <cstddef>
#include <vector>

namespace Chervilpin::Failover {

/// Selects at most \a count nodes that watch a group and hold its reservations, by rendezvous hash
/// of group and node: first the highest-ranked node of each data centre, then the others.
[[nodiscard]] std::vector<PeerNode>
selectWatchers(const Core::GroupName &, const std::vector<PeerNode> &nodes, std::size_t count);

} // namespace Chervilpin::Failover
