#pragma once

#include <Membership/Member.h>

#include <Core/Result.h>

#include <vector>

/// Messages by which proxies gossip which of them are live, and their protobuf encoding.
namespace Chervilpin::Membership {

/// The sender's view of one member.
struct Update
{
    Core::NodeName name;
    MemberVersion version;
    Health health = Health::Live;
    bool isLeaving = false;
    Core::DataCentreName dataCentre; ///< Empty unless the member is reported live.
    std::string peerAddress;         ///< IP:port; empty likewise.

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

/// How many members of one data centre have which configuration revision in force, counted by its
/// aggregator.
struct Summary
{
    Core::DataCentreName dataCentre;
    Core::NodeName aggregator;
    Peer::Incarnation incarnation = 0; ///< The aggregator's incarnation.
    std::uint64_t sequence = 0; ///< Grows with each count of this incarnation of the aggregator.
    std::vector<RevisionCount> counts; ///< Highest revision first; limited in number.
    std::vector<Laggard> laggards; ///< The members with the lowest revisions; limited in number.

    bool operator==(const Summary &) const = default;
};

/// The configuration that a node has in force, as it reports it.
struct NodeStatus
{
    std::uint64_t configurationRevision = 0;
    std::uint64_t configurationDigest = 0;

    bool operator==(const NodeStatus &) const = default;
};

enum class MemberListRole {
    None,
    Request, ///< The receiver is asked for its full member list.
    Part,    ///< The updates are a part of the sender's full member list.
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
/// Fails with InvalidArgument unless the payload is a heartbeat with valid names and addresses, a
/// known health and a non-zero incarnation for the sender and each update.
[[nodiscard]] Core::ErrorOr<Heartbeat> decodeHeartbeat(std::string_view payload);

} // namespace Chervilpin::Membership
