#include <StandIn/SecretWatch.h>

#include <boost/json/object.hpp>
#include <utility>

namespace Chervilpin::StandIn {

namespace {

constexpr std::size_t maximumSightings = 1'000;

} // namespace

void SecretWatch::registerSecret(std::string secret)
{
    if (!secret.empty())
        secrets_.insert(std::move(secret));
}

bool SecretWatch::inspect(std::string_view bytes, std::string_view where, std::uint64_t afterEntry)
{
    for (const auto &secret : secrets_) {
        if (bytes.find(secret) == std::string_view::npos)
            continue;
        if (sightings_.size() < maximumSightings)
            sightings_.push_back({afterEntry, std::string(where)});
        return true;
    }
    return false;
}

boost::json::array SecretWatch::toJson() const
{
    boost::json::array sightings;
    for (const auto &sighting : sightings_) {
        boost::json::object json;
        json["after_entry"] = sighting.afterEntry;
        json["where"] = sighting.where;
        sightings.push_back(std::move(json));
    }
    return sightings;
}

} // namespace Chervilpin::StandIn
