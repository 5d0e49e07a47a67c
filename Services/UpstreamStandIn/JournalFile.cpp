#include "JournalFile.h"

#include <StandIn/LogEntryJson.h>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace Chervilpin::UpstreamStandIn {

using StandIn::JournalRecord;

namespace {

boost::json::object toJson(const JournalRecord &record)
{
    boost::json::array entries;
    for (const auto &entry : record.entries)
        entries.push_back(StandIn::toJson(entry));
    boost::json::object json;
    json["known_term"] = record.knownTerm;
    json["lineage"] = record.lineage;
    json["is_primary"] = record.role == Upstream::Role::Primary;
    json["primary"] = record.primary.value();
    json["primary_address"] = record.primaryAddress;
    json["kept"] = record.kept;
    json["entries"] = std::move(entries);
    return json;
}

JournalRecord recordFrom(const boost::json::value &json)
{
    JournalRecord record;
    record.knownTerm = json.at("known_term").to_number<Core::Term>();
    record.lineage = json.at("lineage").to_number<Core::Term>();
    record.role =
        json.at("is_primary").as_bool() ? Upstream::Role::Primary : Upstream::Role::Replica;
    record.primary = Core::DatabaseName(std::string_view(json.at("primary").as_string()));
    record.primaryAddress = std::string(json.at("primary_address").as_string());
    record.kept = json.at("kept").to_number<Core::LogPosition>();
    for (const auto &entry : json.at("entries").as_array())
        record.entries.push_back(StandIn::logEntryFromJson(entry));
    return record;
}

/// Boost.JSON throws on a missing or mistyped member; here that becomes an error value.
Core::ErrorOr<JournalRecord> recordFromLine(const std::string &line)
{
    try {
        return recordFrom(boost::json::parse(line));
    } catch (const std::exception &exception) {
        return Core::failure(Core::ErrorCode::InvalidArgument, exception.what());
    }
}

} // namespace

Core::ErrorOr<JournalFile> JournalFile::create(const std::string &path)
{
    auto file = TRY(StandIn::LineFile::create(path));
    std::vector<JournalRecord> records;
    for (const auto &line : file.lines())
        records.push_back(TRY(recordFromLine(line)));
    return JournalFile(std::move(file), std::move(records));
}

void JournalFile::append(std::span<const JournalRecord> records)
{
    for (const auto &record : records)
        file_.append(boost::json::serialize(toJson(record)));
}

} // namespace Chervilpin::UpstreamStandIn
