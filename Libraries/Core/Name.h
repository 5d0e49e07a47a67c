#pragma once

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace Chervilpin::Core {

/// A name of one kind of thing. Names of different kinds don't convert into each other.
template<typename Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string value)
        : value_(std::move(value))
    { }
    explicit Name(std::string_view value)
        : value_(value)
    { }
    explicit Name(const char *value)
        : value_(value)
    { }

    [[nodiscard]] const std::string &value() const { return value_; }
    [[nodiscard]] std::string_view view() const { return value_; }
    [[nodiscard]] bool isEmpty() const { return value_.empty(); }

    auto operator<=>(const Name &) const = default;

private:
    std::string value_;
};

using NodeName = Name<struct NodeNameTag>;             ///< One proxy process on one VM.
using DataCentreName = Name<struct DataCentreNameTag>; ///< One data centre.
using RegionName = Name<struct RegionNameTag>;         ///< One region of data centres.
using GroupName = Name<struct GroupNameTag>;           ///< One group of upstream databases.
using DatabaseName = Name<struct DatabaseNameTag>; ///< One upstream database, unique in the fleet.
using TeamName = Name<struct TeamNameTag>;         ///< One tenant.
using RouteName = Name<struct RouteNameTag>;       ///< One route from callers to a group.
using HalfName = Name<struct HalfNameTag>; ///< One half of the organisation that is splitting.

} // namespace Chervilpin::Core

template<typename Tag>
struct std::hash<Chervilpin::Core::Name<Tag>>
{
    std::size_t operator()(const Chervilpin::Core::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string>()(name.value());
    }
};
