#include <Fleet/Records.h>

#include <Core/Overloaded.h>

#include <algorithm>
#include <array>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace Chervilpin::Fleet {

namespace json = boost::json;
using Core::ErrorCode;
using Core::failure;

namespace {

constexpr std::string_view memberPrefix = "member.";
constexpr std::string_view primaryPrefix = "primary.";
constexpr std::string_view leaderName = "leader";
constexpr std::array<std::string_view, 8> memberFields{
    "node", "incarnation", "data_centre", "address", "capacity", "retired", "level", "adopted"};

PrimaryPhase readPhase(std::string_view text)
{
    if (text == toString(PrimaryPhase::Active))
        return PrimaryPhase::Active;
    // An unknown phase is treated as the most restrictive one.
    return text == toString(PrimaryPhase::Replacing) ? PrimaryPhase::Replacing
                                                     : PrimaryPhase::Ordered;
}

json::object toJson(const MemberRecord &record)
{
    json::object adopted;
    for (const auto &[group, revision] : record.adopted)
        adopted[group.value()] = revision;
    json::object object{{"node", record.node.value()},
                        {"incarnation", record.incarnation},
                        {"data_centre", record.dataCentre.value()},
                        {"address", record.address},
                        {"capacity", record.capacity},
                        {"retired", record.isRetired},
                        {"level", record.level},
                        {"adopted", std::move(adopted)}};
    for (const auto &[name, value] : record.unknownFields)
        object[name] = json::parse(value);
    return object;
}

json::object toJson(const LeaderRecord &record)
{
    return {{"node", record.node.value()},
            {"incarnation", record.incarnation},
            {"attempt", record.attempt}};
}

json::object toJson(const PrimaryRecord &record)
{
    json::object object{{"group", record.group.value()},   {"database", record.database.value()},
                        {"phase", toString(record.phase)}, {"candidate", record.candidate.value()},
                        {"replaces", record.replaces},     {"writer", record.writer.value()},
                        {"attempt", record.attempt}};
    if (record.era)
        object["era"] = *record.era;
    if (record.term != 0)
        object["term"] = record.term;
    if (record.isUnverified)
        object["unverified"] = true;
    return object;
}

std::string text(const json::object &object, std::string_view name)
{
    return json::value_to<std::string>(object.at(name));
}

MemberRecord readMember(const json::object &object)
{
    MemberRecord record;
    record.node = Core::NodeName(text(object, "node"));
    record.incarnation = object.at("incarnation").to_number<Core::Incarnation>();
    record.dataCentre = Core::DataCentreName(text(object, "data_centre"));
    record.address = text(object, "address");
    // Absent from records of earlier versions.
    if (const auto *capacity = object.if_contains("capacity"))
        record.capacity = capacity->to_number<unsigned>();
    if (const auto *level = object.if_contains("level"))
        record.level = level->to_number<ProtocolLevel>();
    record.isRetired = object.at("retired").as_bool();
    for (const auto &[group, revision] : object.at("adopted").as_object())
        record.adopted[Core::GroupName(std::string_view(group))] = revision.to_number<Revision>();
    for (const auto &[name, value] : object) {
        if (std::ranges::find(memberFields, std::string_view(name)) == memberFields.end())
            record.unknownFields[name] = json::serialize(value);
    }
    return record;
}

LeaderRecord readLeader(const json::object &object)
{
    return {Core::NodeName(text(object, "node")),
            object.at("incarnation").to_number<Core::Incarnation>(),
            object.at("attempt").to_number<std::uint64_t>()};
}

PrimaryRecord readPrimary(const json::object &object)
{
    PrimaryRecord record;
    record.group = Core::GroupName(text(object, "group"));
    record.database = Core::DatabaseName(text(object, "database"));
    record.phase = readPhase(text(object, "phase"));
    record.candidate = Core::DatabaseName(text(object, "candidate"));
    record.replaces = object.at("replaces").to_number<Revision>();
    record.writer = Core::NodeName(text(object, "writer"));
    record.attempt = object.at("attempt").to_number<std::uint64_t>();
    if (const auto *era = object.if_contains("era"))
        record.era = era->to_number<Era>();
    // Absent from records of earlier versions.
    if (const auto *term = object.if_contains("term"))
        record.term = term->to_number<Core::Term>();
    if (const auto *unverified = object.if_contains("unverified"))
        record.isUnverified = unverified->as_bool();
    return record;
}

} // namespace

std::string_view toString(PrimaryPhase phase)
{
    switch (phase) {
    case PrimaryPhase::Active:
        return "active";
    case PrimaryPhase::Replacing:
        return "replacing";
    case PrimaryPhase::Ordered:
        break;
    }
    return "ordered";
}

std::string memberKey(const Core::NodeName &node)
{
    return std::string(memberPrefix) + node.value();
}

std::string primaryKey(const Core::GroupName &group)
{
    return std::string(primaryPrefix) + group.value();
}

std::string leaderKey()
{
    return std::string(leaderName);
}

std::string keyOf(const Record &record)
{
    return std::visit(
        Core::Overloaded{[](const MemberRecord &member) { return memberKey(member.node); },
                         [](const LeaderRecord &) { return leaderKey(); },
                         [](const PrimaryRecord &primary) {
                             return primaryKey(primary.group);
                         }},
        record);
}

std::string encode(const Record &record)
{
    return json::serialize(std::visit([](const auto &value) { return toJson(value); }, record));
}

Core::ErrorOr<Record> decode(std::string_view key, std::string_view body)
{
    boost::system::error_code error;
    const json::value value = json::parse(body, error);
    if (error)
        return failure(ErrorCode::InvalidArgument,
                       "record " + std::string(key) + " is not valid JSON: " + error.message());
    try {
        const json::object &object = value.as_object();
        if (key == leaderName)
            return readLeader(object);
        if (key.starts_with(memberPrefix))
            return readMember(object);
        if (key.starts_with(primaryPrefix))
            return readPrimary(object);
    } catch (const std::exception &problem) {
        return failure(ErrorCode::InvalidArgument,
                       "record " + std::string(key)
                           + " has a missing or invalid field: " + problem.what());
    }
    return failure(ErrorCode::InvalidArgument, "unknown record key: " + std::string(key));
}

} // namespace Chervilpin::Fleet
