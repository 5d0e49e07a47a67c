#include "ObjectJson.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace Chervilpin::PlatformStandIn {

boost::json::object toJson(const Platform::Object &object)
{
    boost::json::object json;
    json["key"] = object.key;
    json["version"] = object.version;
    json["value"] = object.value;
    return json;
}

boost::json::object toJson(const Platform::Objects &objects)
{
    boost::json::array array;
    for (const auto &object : objects.objects)
        array.push_back(toJson(object));
    boost::json::object json;
    json["revision"] = objects.revision;
    json["objects"] = std::move(array);
    return json;
}

boost::json::object toJson(const Platform::Vms &vms)
{
    boost::json::array array;
    for (const auto &vm : vms.vms) {
        boost::json::object json;
        json["name"] = vm.name.value();
        json["data_centre"] = vm.dataCentre.value();
        json["peer_address"] = vm.peerAddress;
        json["leaving"] = vm.isLeaving;
        array.push_back(std::move(json));
    }
    boost::json::object json;
    json["vms"] = std::move(array);
    return json;
}

Core::ErrorOr<Platform::Vm> vmFromJson(std::string_view name, std::string_view body)
{
    boost::system::error_code error;
    const auto json = boost::json::parse(body, error);
    if (error || !json.is_object())
        return Core::failure(Core::ErrorCode::InvalidArgument, "not a JSON object");
    const auto &object = json.get_object();
    const auto *dataCentre = object.if_contains("data_centre");
    if (!dataCentre || !dataCentre->is_string())
        return Core::failure(Core::ErrorCode::InvalidArgument, "data_centre: a text is needed");
    const auto *address = object.if_contains("peer_address");
    if (!address || !address->is_string())
        return Core::failure(Core::ErrorCode::InvalidArgument, "peer_address: a text is needed");
    const auto *leaving = object.if_contains("leaving");
    if (leaving && !leaving->is_bool())
        return Core::failure(Core::ErrorCode::InvalidArgument, "leaving: true or false is needed");
    Platform::Vm vm;
    vm.name = Core::NodeName(name);
    vm.dataCentre = Core::DataCentreName(std::string_view(dataCentre->get_string()));
    vm.peerAddress = std::string(address->get_string());
    vm.isLeaving = leaving && leaving->get_bool();
    return vm;
}

std::string toLine(const StandIn::StoreChange &change)
{
    auto json = toJson(change.object);
    json["last_version"] = change.lastVersion;
    json["revision"] = change.revision;
    return boost::json::serialize(json);
}

Core::ErrorOr<StandIn::StoreChange> changeFromLine(std::string_view line)
{
    // Boost.JSON throws on a missing or mistyped member; here that becomes an error value.
    try {
        const auto json = boost::json::parse(line);
        StandIn::StoreChange change;
        change.object.key = std::string(json.at("key").as_string());
        change.object.version = json.at("version").to_number<Platform::Version>();
        change.object.value = std::string(json.at("value").as_string());
        change.lastVersion = json.at("last_version").to_number<Platform::Version>();
        change.revision = json.at("revision").to_number<Platform::StoreRevision>();
        return change;
    } catch (const std::exception &exception) {
        return Core::failure(Core::ErrorCode::InvalidArgument, exception.what());
    }
}

bool isUtf8(std::string_view value)
{
    boost::system::error_code error;
    const auto text = boost::json::serialize(boost::json::string(value));
    boost::json::parse(text, error);
    return !error;
}

} // namespace Chervilpin::PlatformStandIn
