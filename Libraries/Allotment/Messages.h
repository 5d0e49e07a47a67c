#pragma once

#include <Allotment/Resource.h>
#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Peer/Message.h>

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

namespace Chervilpin::Allotment {

/// Increases with each change of a share's owner.
using Epoch = std::uint64_t;

/// Identifies one share: one part of the limits of one shard.
struct ShareId
{
    std::uint32_t shard = 0;
    std::uint32_t index = 0;

    auto operator<=>(const ShareId &) const = default;
};

/// Identifies one incarnation of a node. A restarted node holds none of the units that its earlier
/// incarnation held.
struct HolderId
{
    Core::NodeName node;
    Peer::Incarnation incarnation = 0;

    auto operator<=>(const HolderId &) const = default;
};

struct AskEntry
{
    ResourceName resource;
    std::int64_t held = 0;     ///< Units still held from this share, excluding `returned`.
    std::int64_t returned = 0; ///< Units returned by this message.
    std::int64_t urgent = 0;   ///< Units that requests are waiting for.
    std::int64_t ahead = 0;    ///< Units to prefetch for the expected demand.
    std::int64_t demand = 0;   ///< Thousandths of a unit per second, or wanted connections.
    Epoch heldEpoch = 0;       ///< The owner's epoch in which `held` was granted.
    std::int64_t total = 0;    ///< Units held from all shares.
};

/// From a holder to a share's owner. Makes all answers to the holder's earlier asks void.
struct Ask
{
    ShareId share;
    std::uint64_t askId = 0; ///< Increases with each ask of one incarnation to one share.
    std::vector<AskEntry> entries;
};

struct GrantEntry
{
    ResourceName resource;
    std::int64_t added = 0;
    /// Units that the holder shall return as soon as they are not in use.
    std::int64_t recalled = 0;
    MicroUnits level = 0; ///< Units left with the owner.
};

/// The owner's answer to an ask.
struct Grant
{
    ShareId share;
    std::uint64_t askId = 0;
    Epoch epoch = 0;
    std::vector<GrantEntry> entries;
};

/// The answer to an ask by a node that does not own the share.
struct Redirect
{
    ShareId share;
    std::uint64_t askId = 0;
    Core::NodeName owner; ///< Empty if unknown.
};

/// From a share's owner to one of its witnesses.
struct SupportRequest
{
    ShareId share;
    Epoch epoch = 0;
    std::uint64_t requestId = 0; ///< Increases with each round of requests for one claim.
};

/// The answer of a witness, which promises not to testify for any challenger until the support has
/// expired.
struct Support
{
    ShareId share;
    Epoch epoch = 0;
    std::uint64_t requestId = 0;
};

/// From a challenger to a witness of the owner's claim.
struct TestimonyRequest
{
    ShareId share;
    Epoch epoch = 0;
};

struct Testimony
{
    ShareId share;
    Epoch epoch = 0;
    /// The witness has no unexpired promise to this epoch, and will not support it again.
    bool isClear = false;
};

using Message =
    std::variant<Ask, Grant, Redirect, SupportRequest, Support, TestimonyRequest, Testimony>;

/// The value of a share's object in the platform's store.
struct Claim
{
    Core::NodeName owner;
    Peer::Incarnation incarnation = 0;
    Epoch epoch = 0;
    /// Increases with each write of one incarnation; identifies a write whose reply was lost.
    std::uint64_t serial = 0;
    bool isReleased = false;               ///< The owner has released the share.
    std::vector<Core::NodeName> witnesses; ///< Nodes whose support extends the owner's lease.

    bool operator==(const Claim &) const = default;
};

} // namespace Chervilpin::Allotment
