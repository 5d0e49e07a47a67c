#pragma once

#include <Membership/Member.h>

#include <Core/Result.h>

#include <vector>

/// What proxies tell each other about who is live, and its protobuf encoding.
namespace Chervilpin::Membership {

/// What the sender believes of one member.
struct Update
{
    Core::NodeName name;
    MemberVersion version;
    Health health = Health::Live;
    bool isLeaving = false;
    Core::DataCentreName dataCentre; ///< Empty in updates that only take it out of service.
    std::string peerAddress;         ///< Likewise.

    bool operator==(const Update &) const = default;
};

struct RevisionCount
{
    std::uint64_t revision = 0;
    std::uint32_t members = 0;

    bool operator==(const RevisionCount &) const = default;
};

struct Laggard
{
    Core::NodeName name;
    std::uint64_t revision = 0;

    bool operator==(const Laggard &) const = default;
};

/// Which configuration the members of one data centre have in force, as one of them counted.
struct Summary
{
    Core::DataCentreName dataCentre;
    Core::NodeName aggregator;
    Peer::Incarnation incarnation = 0; ///< Of the aggregator.
    std::uint64_t sequence = 0;        ///< Grows with each count of this aggregator's life.
    std::vector<RevisionCount> counts; ///< Highest revision first, bounded.
    std::vector<Laggard> laggards;     ///< Some with the lowest revisions.

    bool operator==(const Summary &) const = default;
};

/// What a node says of its own configuration.
struct NodeStatus
{
    std::uint64_t configurationRevision = 0;
    std::uint64_t configurationDigest = 0;

    bool operator==(const NodeStatus &) const = default;
};

enum class MemberListRole {
    None,
    Request, ///< The receiver is to send its whole list.
    Part,    ///< The updates are a part of the sender's whole list.
};

struct Heartbeat
{
    Update sender;
    NodeStatus status;
    std::vector<Update> updates;
    std::vector<Summary> summaries;
    MemberListRole memberListRole = MemberListRole::None;

    bool operator==(const Heartbeat &) const = default;
};

[[nodiscard]] std::string encodeHeartbeat(const Heartbeat &);
/// Refuses what isn't a heartbeat of a named sender in a life of its own.
[[nodiscard]] Core::ErrorOr<Heartbeat> decodeHeartbeat(std::string_view payload);

} // namespace Chervilpin::Membership
