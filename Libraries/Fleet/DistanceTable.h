#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>

#include <deque>
#include <map>

namespace Chervilpin::Fleet {

/// The round-trip times to the data centres, from the echoes of heartbeats.
class DistanceTable
{
public:
    using RoundTrips = std::map<Core::DataCentreName, Core::Duration>;

    void add(const Core::DataCentreName &, Core::Duration roundTrip);
    /// The shortest of the last round trips: longer ones are due to load.
    [[nodiscard]] RoundTrips roundTrips() const;

private:
    std::map<Core::DataCentreName, std::deque<Core::Duration>> samples_;
};

} // namespace Chervilpin::Fleet
