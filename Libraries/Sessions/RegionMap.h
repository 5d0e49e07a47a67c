#pragma once

#include <Core/Name.h>

#include <algorithm>
#include <map>
#include <span>

namespace Chervilpin::Sessions {

/// The region of each data centre, from the settings.
class RegionMap
{
public:
    RegionMap() = default;
    explicit RegionMap(std::map<Core::DataCentreName, Core::RegionName> regions)
        : regions_(std::move(regions))
    { }

    /// Whether something that is limited to these regions may be served in the data centre. An
    /// empty list is no limit; a data centre whose region is unknown is in none of them.
    [[nodiscard]] bool isAllowed(std::span<const Core::RegionName> allowed,
                                 const Core::DataCentreName &dataCentre) const
    {
        if (allowed.empty())
            return true;
        const auto region = regions_.find(dataCentre);
        return region != regions_.end()
            && std::ranges::find(allowed, region->second) != allowed.end();
    }

private:
    std::map<Core::DataCentreName, Core::RegionName> regions_;
};

} // namespace Chervilpin::Sessions
