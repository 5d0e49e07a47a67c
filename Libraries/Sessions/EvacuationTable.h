#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>

#include <map>
#include <span>
#include <vector>

namespace Chervilpin::Sessions {

/// The data centres that the operators are evacuating, and which of their databases this proxy
/// still uses.
///
/// Replicas are given up at once, since others can serve their reads. A primary is used for a grace
/// period, in which the leader of the fleet replaces it by a database elsewhere; after that,
/// nothing is sent to any database of the data centre until the evacuation is withdrawn.
class EvacuationTable
{
public:
    /// Which databases of a data centre may be used.
    enum class Use {
        All,
        PrimaryOnly, ///< Only the primary, until the end of the grace period.
        None,
    };

    /// Applies to data centres whose evacuation is learned of from now on.
    void setGracePeriod(Core::Duration gracePeriod) { gracePeriod_ = gracePeriod; }

    /// Replaces the set of data centres. The grace period of those already in it goes on.
    void replace(std::span<const Core::DataCentreName>, Core::Instant now);

    [[nodiscard]] Use useOf(const Core::DataCentreName &, Core::Instant now) const;
    /// Whether the data centre is being evacuated, during the grace period or after it.
    [[nodiscard]] bool contains(const Core::DataCentreName &dataCentre) const
    {
        return entries_.contains(dataCentre);
    }

    /// The end of the next grace period, or never.
    [[nodiscard]] Core::Instant nextStop() const;
    /// Returns the data centres whose grace period has ended since the last call.
    [[nodiscard]] std::vector<Core::DataCentreName> takeStopped(Core::Instant now);

private:
    struct Entry
    {
        Core::Instant stopAt; ///< The end of the grace period.
        bool isStopReported = false;
    };

    std::map<Core::DataCentreName, Entry> entries_;
    /// Without a bound from the settings, primaries get no grace period.
    Core::Duration gracePeriod_;
};

} // namespace Chervilpin::Sessions
