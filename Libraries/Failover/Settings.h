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
    std::string address; ///< IP:port where the other databases pull its log.
};

/// One group of databases. Earlier databases are preferred where their logs are equal.
struct Group
{
    Core::GroupName name;
    std::vector<Database> databases;
    Core::HalfName owner; ///< The owner named when the group's term object is first created.
};

/// Another proxy that membership believes to be live.
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
    std::uint64_t seed = 0; ///< For backoff jitter and nonces; must differ between processes.
};

/// The number of databases that make a majority of \a count.
[[nodiscard]] constexpr std::size_t majorityOf(std::size_t count)
{
    return count / 2 + 1;
}

} // namespace Chervilpin::Failover
