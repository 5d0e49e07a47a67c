#pragma once

#include <Upstream/Messages.h>

// NOLINTNEXTLINE(readability-identifier-naming): named by the protocol's package.
namespace chervilpin::upstream {
class Request;
class Answer;
class Status;
} // namespace chervilpin::upstream

namespace Chervilpin::Wire {

/// Writes a request of the decision code as its wire message.
void encode(Upstream::CorrelationId, const Upstream::RequestBody &,
            chervilpin::upstream::Request &);

/// Reads an answer. Unknown numbers of newer databases become the most cautious known value.
[[nodiscard]] Upstream::Answer decode(const chervilpin::upstream::Answer &);

} // namespace Chervilpin::Wire
