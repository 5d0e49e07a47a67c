#include <Failover/TermObject.h>

#include <algorithm>
#include <boost/json.hpp>

namespace Chervilpin::Failover {

namespace Json = boost::json;

namespace {

Json::object toObject(const Reservation &reservation)
{
    return {{"term", reservation.term},
            {"node", reservation.node.value()},
            {"incarnation", reservation.incarnation},
            {"data_centre", reservation.dataCentre.value()},
            {"nonce", reservation.nonce}};
}

Json::object toObject(const OwnerChange &change)
{
    return {{"since", change.since}, {"owner", change.owner.value()}, {"nonce", change.nonce}};
}

Json::object toObject(const CurrentPrimary &current)
{
    return {{"term", current.term},
            {"primary", current.primary.value()},
            {"coordinator", current.coordinator.value()}};
}

Core::ErrorOr<std::uint64_t> number(const Json::object &object, std::string_view name)
{
    const Json::value *value = object.if_contains(name);
    boost::json::error_code error;
    const auto result = value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
    if (value == nullptr || error)
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "no unsigned number in term object field " + std::string(name));
    return result;
}

Core::ErrorOr<std::string> text(const Json::object &object, std::string_view name)
{
    const Json::value *value = object.if_contains(name);
    if (value == nullptr || !value->is_string())
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "no string in term object field " + std::string(name));
    return std::string(value->as_string());
}

Core::ErrorOr<Reservation> toReservation(const Json::object &object)
{
    Reservation reservation;
    reservation.term = TRY(number(object, "term"));
    reservation.node = Core::NodeName(TRY(text(object, "node")));
    reservation.incarnation = TRY(number(object, "incarnation"));
    reservation.dataCentre = Core::DataCentreName(TRY(text(object, "data_centre")));
    reservation.nonce = TRY(number(object, "nonce"));
    return reservation;
}

Core::ErrorOr<OwnerChange> toOwnerChange(const Json::object &object)
{
    OwnerChange change;
    change.since = TRY(number(object, "since"));
    change.owner = Core::HalfName(TRY(text(object, "owner")));
    change.nonce = TRY(number(object, "nonce"));
    return change;
}

Core::ErrorOr<CurrentPrimary> toCurrentPrimary(const Json::object &object)
{
    CurrentPrimary current;
    current.term = TRY(number(object, "term"));
    current.primary = Core::DatabaseName(TRY(text(object, "primary")));
    current.coordinator = Core::NodeName(TRY(text(object, "coordinator")));
    return current;
}

template<typename T>
Core::ErrorOr<std::vector<T>> list(const Json::object &object, std::string_view name,
                                   Core::ErrorOr<T> (*parse)(const Json::object &))
{
    const Json::value *value = object.if_contains(name);
    if (value == nullptr || !value->is_array())
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "no array in term object field " + std::string(name));
    std::vector<T> result;
    for (const auto &element : value->as_array()) {
        if (!element.is_object())
            return Core::failure(Core::ErrorCode::InvalidArgument,
                                 "element is not an object in term object array "
                                     + std::string(name));
        result.push_back(TRY(parse(element.as_object())));
    }
    return result;
}

template<typename T>
Json::array toArray(const std::vector<T> &items)
{
    Json::array array;
    array.reserve(items.size());
    for (const auto &item : items)
        array.push_back(toObject(item));
    return array;
}

} // namespace

std::optional<Core::HalfName> TermObject::ownerIn(Core::Term term) const
{
    if (term > highestGranted)
        return std::nullopt;
    std::optional<Core::HalfName> owner;
    for (const auto &change : owners) {
        if (change.since <= term)
            owner = change.owner;
    }
    return owner;
}

const Reservation *TermObject::reservationOf(const Core::NodeName &node) const
{
    const auto found = std::ranges::find_if(
        reservations, [&](const Reservation &entry) { return entry.node == node; });
    return found == reservations.end() ? nullptr : &*found;
}

Core::Term TermObject::grant(Core::Term atLeast)
{
    highestGranted = std::max(highestGranted, atLeast) + 1;
    return highestGranted;
}

std::string TermObject::toJson() const
{
    const Json::object object{{"highest_granted", highestGranted},
                              {"reservations", toArray(reservations)},
                              {"owners", toArray(owners)},
                              {"current", toObject(current)}};
    return Json::serialize(object);
}

Core::ErrorOr<TermObject> TermObject::fromJson(std::string_view json)
{
    boost::json::error_code error;
    const Json::value value = Json::parse(Json::string_view(json.data(), json.size()), error);
    if (error || !value.is_object())
        return Core::failure(Core::ErrorCode::InvalidArgument, "term object is not a JSON object");
    const Json::object &object = value.as_object();
    const Json::value *current = object.if_contains("current");
    if (current == nullptr || !current->is_object())
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "no object in term object field current");
    TermObject result;
    result.highestGranted = TRY(number(object, "highest_granted"));
    result.reservations = TRY(list<Reservation>(object, "reservations", toReservation));
    result.owners = TRY(list<OwnerChange>(object, "owners", toOwnerChange));
    result.current = TRY(toCurrentPrimary(current->as_object()));
    return result;
}

std::string termKey(const Core::GroupName &group)
{
    return "term/" + group.value();
}

} // namespace Chervilpin::Failover
