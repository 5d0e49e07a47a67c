#pragma once

#include <Core/Incarnation.h>
#include <Core/Name.h>
#include <Core/Result.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// What the proxies agree on: who they are, who leads, and which database is a group's primary.
///
/// Everything agreed on is a record in the platform's store, changed by conditional writes. No
/// safety rests on who leads; the leader only is the one that acts.
namespace Chervilpin::Fleet {

/// Grows with each change anywhere in the store. 0 means that a record doesn't exist.
using Revision = std::uint64_t;

/// One proxy. Written by itself at its start.
struct MemberRecord
{
    Core::NodeName node;
    Core::Incarnation incarnation = 0;
    Core::DataCentreName dataCentre;
    std::string address;    ///< IP:port for messages of other proxies.
    bool isRetired = false; ///< Set by the leader on one that is silent; it gets no new leases.
    /// The newest primary records that it adopted, for a leader that it can't reach otherwise.
    std::map<Core::GroupName, Revision> adopted;
    unsigned capacity = 0; ///< Of its VM, in thousandths of a core.
};

/// The proxy that acts for all.
struct LeaderRecord
{
    Core::NodeName node;
    Core::Incarnation incarnation = 0;
    std::uint64_t attempt = 0; ///< Differs between writes, so that each has a revision of its own.
};

enum class PrimaryPhase {
    Active,    ///< The database may be used as the primary by proxies with a lease to it.
    Replacing, ///< Nobody may use a primary, and no lease is given.
    Ordered,   ///< The same, and the candidate may have been ordered to take over.
};

[[nodiscard]] std::string_view toString(PrimaryPhase);

/// The primary of one group.
struct PrimaryRecord
{
    Core::GroupName group;
    Core::DatabaseName database; ///< While replacing: the one to be replaced.
    PrimaryPhase phase = PrimaryPhase::Active;
    Core::DatabaseName candidate; ///< While ordered.
    /// While replacing or ordered: the revision of the record that named the old primary as active.
    Revision replaces = 0;
    Core::NodeName writer;     ///< Who wrote it, so that a lost answer can be recognised.
    std::uint64_t attempt = 0; ///< Differs between a writer's writes.
};

using Record = std::variant<MemberRecord, LeaderRecord, PrimaryRecord>;

/// The name of a record's object in the store.
[[nodiscard]] std::string keyOf(const Record &);
[[nodiscard]] std::string memberKey(const Core::NodeName &);
[[nodiscard]] std::string primaryKey(const Core::GroupName &);
[[nodiscard]] std::string leaderKey();

[[nodiscard]] std::string encode(const Record &);
/// Fails with InvalidArgument on what encode() can't have made for this key.
[[nodiscard]] Core::ErrorOr<Record> decode(std::string_view key, std::string_view text);

/// A record as it stands in the store.
template<typename T>
struct Stored
{
    T record;
    Revision revision = 0;
};

} // namespace Chervilpin::Fleet
