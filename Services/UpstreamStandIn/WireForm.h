#pragma once

#include <Core/Result.h>
#include <StandIn/ReplicationMessages.h>
#include <Upstream/Messages.h>

#include <upstream.pb.h>

/// Between the plain messages and their form on the wire.
namespace Chervilpin::UpstreamStandIn {

namespace Wire = ::chervilpin::upstream;

/// Fails with InvalidArgument if the request has no body or a statement of an unknown kind.
[[nodiscard]] Core::ErrorOr<Upstream::RequestBody> fromWire(const Wire::Request &);
void toWire(const Upstream::Answer &, Wire::Answer &);

[[nodiscard]] StandIn::ReplicationPull fromWire(const Wire::ReplicationPull &);
[[nodiscard]] StandIn::ReplicationBatch fromWire(const Wire::ReplicationBatch &);
void toWire(const StandIn::ReplicationPull &, Wire::ReplicationPull &);
void toWire(const StandIn::ReplicationBatch &, Wire::ReplicationBatch &);

} // namespace Chervilpin::UpstreamStandIn
