#pragma once

#include <boost/json/array.hpp>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Chervilpin::StandIn {

/// Looks for strings that must never arrive here, such as callers' keys.
class SecretWatch
{
public:
    void registerSecret(std::string);
    [[nodiscard]] bool hasSecrets() const { return !secrets_.empty(); }

    /// Whether bytes from outside contain a secret; kept as a sighting if so.
    bool inspect(std::string_view bytes, std::string_view where, std::uint64_t afterEntry);

    /// The sightings, each with the place and the last audit entry before it.
    [[nodiscard]] boost::json::array toJson() const;

private:
    struct Sighting
    {
        std::uint64_t afterEntry = 0;
        std::string where;
    };

    std::set<std::string, std::less<>> secrets_;
    std::vector<Sighting> sightings_;
};

} // namespace Chervilpin::StandIn
