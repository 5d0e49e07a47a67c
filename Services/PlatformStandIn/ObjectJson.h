#pragma once

#include <Core/Result.h>
#include <Platform/Messages.h>
#include <StandIn/ObjectStore.h>

#include <boost/json/object.hpp>
#include <string>
#include <string_view>

/// The JSON forms of docs/contracts/platform.md.
namespace Chervilpin::PlatformStandIn {

[[nodiscard]] boost::json::object toJson(const Platform::Object &);
[[nodiscard]] boost::json::object toJson(const Platform::Objects &);
[[nodiscard]] boost::json::object toJson(const Platform::Vms &);

/// Fails with InvalidArgument naming the field that is wrong.
[[nodiscard]] Core::ErrorOr<Platform::Vm> vmFromJson(std::string_view name, std::string_view body);

/// The line that keeps a change over a restart.
[[nodiscard]] std::string toLine(const StandIn::StoreChange &);
/// Fails with InvalidArgument.
[[nodiscard]] Core::ErrorOr<StandIn::StoreChange> changeFromLine(std::string_view line);

/// Whether a JSON text can carry the value.
[[nodiscard]] bool isUtf8(std::string_view value);

} // namespace Chervilpin::PlatformStandIn
