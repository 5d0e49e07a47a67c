#pragma once

#include <Core/Incarnation.h>
#include <Core/Name.h>

#include <cstdint>
#include <string>

/// What proxies say to each other: one-way messages that may be lost, late, doubled or reordered.
namespace Chervilpin::Peer {

/// The module a message belongs to. The numbers are part of the wire contract.
enum class MessageKind : std::uint32_t {
    Membership = 1,
    Configuration = 2,
    Allotment = 3,
    Failover = 4,
};

using Core::Incarnation;

/// A message to another node; the payload is in the module's own protobuf encoding.
struct Outgoing
{
    Core::NodeName to;
    MessageKind kind = MessageKind::Membership;
    std::string payload;
};

/// A message from another node.
struct Incoming
{
    Core::NodeName from;
    Incarnation incarnation = 0;
    MessageKind kind = MessageKind::Membership;
    std::string payload;
};

} // namespace Chervilpin::Peer
