#pragma once

#include <Core/Incarnation.h>
#include <Core/LogMark.h>
#include <Core/Name.h>
#include <Core/Result.h>
#include <Fleet/ProtocolLevel.h>
#include <Fleet/Revision.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// The records that the proxies agree on: the members, the leader, and the primary of each group.
///
/// Each record is an object in the platform's store and is changed by conditional writes. Safety
/// does not depend on there being only one leader; the leader is only the proxy that acts.
namespace Chervilpin::Fleet {

/// One proxy. Written by the proxy itself when it starts.
struct MemberRecord
{
    Core::NodeName node;
    Core::Incarnation incarnation = 0;
    Core::DataCentreName dataCentre;
    std::string address;    ///< IP:port at which it receives messages of other proxies.
    bool isRetired = false; ///< Set by the leader if the proxy is silent; it gets no new leases.
    /// The newest primary records that the proxy adopted, for a leader that it can't reach
    /// directly.
    std::map<Core::GroupName, Revision> adopted;
    unsigned capacity = 0; ///< CPU capacity of its VM, in thousandths of a core.
    ProtocolLevel level = baseLevel;
    /// Fields that only later builds know, as JSON by name. They are kept when the leader retires
    /// the member.
    std::map<std::string, std::string> unknownFields;
};

/// The leader: the proxy that replaces primaries and retires members.
struct LeaderRecord
{
    Core::NodeName node;
    Core::Incarnation incarnation = 0;
    std::uint64_t attempt = 0; ///< Differs between writes, so that each write gets a new revision.
};

enum class PrimaryPhase {
    Active,    ///< The database may be used as the primary by proxies with a lease to it.
    Replacing, ///< Nobody may use a primary, and no lease is given.
    Ordered,   ///< As Replacing, but the candidate may have been ordered to take over.
};

[[nodiscard]] std::string_view toString(PrimaryPhase);

/// The primary of one group.
struct PrimaryRecord
{
    Core::GroupName group;
    Core::DatabaseName database; ///< In phases Replacing and Ordered: the primary to be replaced.
    PrimaryPhase phase = PrimaryPhase::Active;
    Core::DatabaseName candidate; ///< In phase Ordered.
    /// In phases Replacing and Ordered: the revision of the record that named the old primary as
    /// Active.
    Revision replaces = 0;
    /// The proxy that wrote the record; identifies a write whose answer was lost.
    Core::NodeName writer;
    std::uint64_t attempt = 0; ///< Differs between writes of the same writer.
    /// The era of the store as its writer knew it; empty in records of earlier versions.
    std::optional<Era> era;
    /// In phase Active, the term that the database leads. In phase Ordered, the highest term known
    /// when the candidate was chosen, so that the candidate leads a higher one once it has taken
    /// over. 0 if not known, as in the first record of a group.
    Core::Term term = 0;
    /// Whether the store came back from a copy since the old primary was named, so that another
    /// database may have been ordered to take over without the record showing it. Not with Active.
    bool isUnverified = false;
};

/// Whether the record came back with a copy of the store and no leader has replaced it since.
[[nodiscard]] inline bool isOutdated(const PrimaryRecord &record, Revision revision)
{
    return record.isUnverified && record.replaces == revision;
}

using Record = std::variant<MemberRecord, LeaderRecord, PrimaryRecord>;

/// The name of a record's object in the store.
[[nodiscard]] std::string keyOf(const Record &);
[[nodiscard]] std::string memberKey(const Core::NodeName &);
[[nodiscard]] std::string primaryKey(const Core::GroupName &);
[[nodiscard]] std::string leaderKey();

[[nodiscard]] std::string encode(const Record &);
/// Fails with InvalidArgument if encode() can't have produced the text for this key.
[[nodiscard]] Core::ErrorOr<Record> decode(std::string_view key, std::string_view text);

/// A record with its revision in the store.
template<typename T>
struct Stored
{
    T record;
    Revision revision = 0;
};

} // namespace Chervilpin::Fleet
