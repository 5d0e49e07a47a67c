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

/// Grows with each change of a share's owner.
using Epoch = std::uint64_t;

/// Names one part of the limits of one shard.
struct ShareId
{
    std::uint32_t shard = 0;
    std::uint32_t index = 0;

    auto operator<=>(const ShareId &) const = default;
};

/// One life of a node. A restarted node holds nothing that the earlier life held.
struct HolderId
{
    Core::NodeName node;
    Peer::Incarnation incarnation = 0;

    auto operator<=>(const HolderId &) const = default;
};

struct AskEntry
{
    ResourceName resource;
    std::int64_t held = 0;     ///< Units still held from this share, without `returned`.
    std::int64_t returned = 0; ///< Units handed back by this message.
    std::int64_t urgent = 0;   ///< Units that something waits for now.
    std::int64_t ahead = 0;    ///< Units for the demand expected next.
    std::int64_t demand = 0;   ///< Thousandths of a unit per second, or wanted connections.
    Epoch heldEpoch = 0;       ///< The owner's epoch under which `held` was granted.
    std::int64_t total = 0;    ///< Units held from all shares together.
};

/// From a holder to a share's owner. It voids all answers to the holder's earlier asks.
struct Ask
{
    ShareId share;
    std::uint64_t askId = 0; ///< Grows with each ask of one life to one share.
    std::vector<AskEntry> entries;
};

struct GrantEntry
{
    ResourceName resource;
    std::int64_t added = 0;
    std::int64_t recalled = 0; ///< Units that the holder is to hand back when it can.
    MicroUnits level = 0;      ///< What is left with the owner.
};

/// The owner's answer to one ask.
struct Grant
{
    ShareId share;
    std::uint64_t askId = 0;
    Epoch epoch = 0;
    std::vector<GrantEntry> entries;
};

/// The answer of a node that doesn't own the share.
struct Redirect
{
    ShareId share;
    std::uint64_t askId = 0;
    Core::NodeName owner; ///< Empty if it isn't known.
};

/// From a share's owner to one of its witnesses.
struct SupportRequest
{
    ShareId share;
    Epoch epoch = 0;
    std::uint64_t requestId = 0; ///< Grows with each round of requests of one claim.
};

/// The witness promises to testify for no challenger until the support has run out.
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
    bool isClear = false; ///< No promise to this epoch is running, and none will be given again.
};

using Message =
    std::variant<Ask, Grant, Redirect, SupportRequest, Support, TestimonyRequest, Testimony>;

/// The value of the platform's object of a share.
struct Claim
{
    Core::NodeName owner;
    Peer::Incarnation incarnation = 0;
    Epoch epoch = 0;
    std::uint64_t serial = 0; ///< Grows with each write of one life; recognises a lost answer.
    bool isReleased = false;  ///< The owner gave the share back.
    std::vector<Core::NodeName> witnesses; ///< Whose support the owner needs.

    bool operator==(const Claim &) const = default;
};

} // namespace Chervilpin::Allotment
