#pragma once

#include <Core/Result.h>
#include <Engine/CallerMessages.h>

#include <string_view>

namespace Chervilpin::Accept {

/// The parts of a caller's HTTP request that the proxy reads, free of any transport.
struct RequestText
{
    std::string_view contentType;
    std::string_view authorization; ///< `Bearer <key>`, or empty on routes open to all.
    std::string_view session;       ///< The `Chervilpin-Session` header.
    std::string_view deadline;      ///< The `Chervilpin-Deadline-Ms` header.
    std::string_view traceparent;
    std::string_view body; ///< The JSON object of docs/CONTRACTS.md.
};

/// Reads a caller's request.
///
/// Fails with InvalidArgument and a message that names the field. Unknown fields,
/// nesting and text that isn't UTF-8 are refused, because a field that is ignored can change what
/// the caller believes was promised.
Core::ErrorOr<Engine::CallerRequest> parseRequest(const RequestText &);

} // namespace Chervilpin::Accept
