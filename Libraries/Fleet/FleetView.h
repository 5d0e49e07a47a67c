#pragma once

#include <Fleet/Records.h>

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace Chervilpin::Fleet {

/// An object of the store.
struct StoredObject
{
    std::string key;
    std::string text;
    Revision revision = 0;
    bool isDeleted = false;
};

/// The records as this proxy knows them from the store and from other proxies.
class FleetView
{
public:
    /// Applies a complete list. Returns the keys whose text could not be decoded.
    std::vector<std::string> replace(std::span<const StoredObject>);
    /// Applies changes. Returns the keys whose text could not be decoded.
    std::vector<std::string> apply(std::span<const StoredObject>);
    /// Applies a primary record received from another proxy. Returns false if it isn't newer than
    /// the known one.
    bool mergePrimary(const Stored<PrimaryRecord> &);
    /// Applies a record that this proxy wrote.
    void recordWritten(const Record &, Revision);

    using Members = std::map<Core::NodeName, Stored<MemberRecord>>;
    using Primaries = std::map<Core::GroupName, Stored<PrimaryRecord>>;

    [[nodiscard]] const Members &members() const { return members_; }
    [[nodiscard]] const Primaries &primaries() const { return primaries_; }
    [[nodiscard]] const std::optional<Stored<LeaderRecord>> &leader() const { return leader_; }
    [[nodiscard]] const Stored<MemberRecord> *findMember(const Core::NodeName &) const;
    [[nodiscard]] const Stored<PrimaryRecord> *findPrimary(const Core::GroupName &) const;
    /// Sum of hashes of the revisions of all primary records; equal if the records are the same.
    [[nodiscard]] std::uint64_t recordsSum() const { return recordsSum_; }
    /// Increases with each change of the members or the leader.
    [[nodiscard]] std::uint64_t membersVersion() const { return membersVersion_; }
    /// Whether this incarnation of the node is a member that may hold leases.
    [[nodiscard]] bool isMember(const Core::NodeName &, Core::Incarnation) const;

private:
    void put(const Record &, Revision);
    void remove(const std::string &key, Revision);

    Members members_;
    Primaries primaries_;
    std::optional<Stored<LeaderRecord>> leader_;
    std::uint64_t recordsSum_ = 0;
    std::uint64_t membersVersion_ = 0;
};

} // namespace Chervilpin::Fleet
