#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Peer/Message.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Chervilpin::Failover {

/// One database of a group, as configured.
struct Database
{
    Core::DatabaseName name;
    Core::DataCentreName dataCentre;
    std::string address; ///< IP:port from which the other databases replicate.
};

/// One group of databases. If logs are equally complete, the earlier database is preferred.
struct Group
{
    Core::GroupName name;
    std::vector<Database> databases;
    Core::HalfName owner; ///< The initial owner, written when the group's term object is created.
};

/// A proxy that membership considers live.
struct PeerNode
{
    Core::NodeName name;
    Core::DataCentreName dataCentre;
};

/// This proxy process.
struct ThisNode
{
    Core::NodeName name;
    Core::DataCentreName dataCentre;
    Peer::Incarnation incarnation = 0;
    std::uint64_t seed = 0; ///< Seed of backoff jitter and nonces; must differ between processes.
};

/// The number of databases that make a majority of \a count.
[[nodiscard]] constexpr std::size_t majorityOf(std::size_t count)
{
    return count / 2 + 1;
}

} // namespace Chervilpin::Failover
