#include <Fleet/DistanceTable.h>

#include <algorithm>

namespace Chervilpin::Fleet {

namespace {
/// Heartbeats to the same data centre come several times a second, so these are of a few seconds.
constexpr std::size_t sampleCount = 12;
} // namespace

void DistanceTable::add(const Core::DataCentreName &dataCentre, Core::Duration roundTrip)
{
    if (roundTrip < Core::Duration(0))
        return;
    auto &samples = samples_[dataCentre];
    samples.push_back(roundTrip);
    if (samples.size() > sampleCount)
        samples.pop_front();
}

DistanceTable::RoundTrips DistanceTable::roundTrips() const
{
    RoundTrips result;
    for (const auto &[dataCentre, samples] : samples_)
        result[dataCentre] = std::ranges::min(samples);
    return result;
}

} // namespace Chervilpin::Fleet
