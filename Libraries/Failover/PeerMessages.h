#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Core/Result.h>
#include <Failover/FailureDetector.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

/// Messages between nodes about the primaries of groups.
namespace Chervilpin::Failover {

/// Asks for the receiver's assessment of a database.
struct PeerQuery
{
    Core::GroupName group;
    Core::DatabaseName database;
    std::uint64_t queryId = 0;
};

struct PeerVerdict
{
    Core::GroupName group;
    Core::DatabaseName database;
    std::uint64_t queryId = 0;
    Health health = Health::Unknown;
    Core::DataCentreName dataCentre; ///< The data centre of the responding node.
};

/// The primary and owner of a term. Neither changes within the term.
struct GroupState
{
    Core::GroupName group;
    Core::Term term = 0;
    Core::DatabaseName primary;
    Core::HalfName owner;
};

/// Asks for the receiver's GroupState.
struct GroupStateQuery
{
    Core::GroupName group;
};

/// The group is about to change its owner; see Failover::GroupDraining.
struct DrainingNotice
{
    Core::GroupName group;
    Core::Term term = 0;
    Core::Duration remaining;
};

using PeerMessage =
    std::variant<PeerQuery, PeerVerdict, GroupState, GroupStateQuery, DrainingNotice>;

[[nodiscard]] std::string encode(const PeerMessage &);
[[nodiscard]] Core::ErrorOr<PeerMessage> decode(std::string_view payload);

} // namespace Chervilpin::Failover
