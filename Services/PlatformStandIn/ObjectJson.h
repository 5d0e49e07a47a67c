#pragma once

#include <Core/Result.h>
#include <Platform/Messages.h>

#include <boost/json/object.hpp>
#include <string_view>

/// The JSON forms of docs/contracts/platform.md.
namespace Chervilpin::PlatformStandIn {

[[nodiscard]] boost::json::object toJson(const Platform::Object &);
[[nodiscard]] boost::json::object toJson(const Platform::Objects &);
[[nodiscard]] boost::json::object toJson(const Platform::Vms &);

/// Fails with InvalidArgument naming the field that is wrong.
[[nodiscard]] Core::ErrorOr<Platform::Vm> vmFromJson(std::string_view name, std::string_view body);

/// Whether a JSON text can carry the value.
[[nodiscard]] bool isUtf8(std::string_view value);

} // namespace Chervilpin::PlatformStandIn
