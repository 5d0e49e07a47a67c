#include <StandIn/LogEntryJson.h>

#include <boost/json/array.hpp>
#include <boost/json/value_to.hpp>
#include <utility>

namespace Chervilpin::StandIn {

boost::json::object toJson(const LogEntry &entry)
{
    boost::json::array writes;
    for (const auto &write : entry.writes)
        writes.emplace_back(write);
    boost::json::object json;
    json["term"] = entry.mark.term;
    json["position"] = entry.mark.position;
    json["writes"] = std::move(writes);
    return json;
}

LogEntry logEntryFromJson(const boost::json::value &json)
{
    LogEntry entry;
    entry.mark.term = json.at("term").to_number<Core::Term>();
    entry.mark.position = json.at("position").to_number<Core::LogPosition>();
    for (const auto &write : json.at("writes").as_array())
        entry.writes.emplace_back(write.as_string());
    return entry;
}

} // namespace Chervilpin::StandIn
