#pragma once

#include <StandIn/ReplicationMessages.h>

#include <boost/json/object.hpp>

namespace Chervilpin::StandIn {

/// The form of a log entry in journals and answers: `{"term", "position", "writes"}`.
[[nodiscard]] boost::json::object toJson(const LogEntry &);
/// Throws what Boost.JSON throws for a missing or mistyped member; callers make an error of it.
[[nodiscard]] LogEntry logEntryFromJson(const boost::json::value &);

} // namespace Chervilpin::StandIn
