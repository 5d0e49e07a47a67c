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
    /// Applies a complete list as of a position of the store. Returns the keys whose text could not
    /// be decoded. If the store began a new era, the primary records of the earlier one are moved
    /// to earlierPrimary().
    std::vector<std::string> replace(std::span<const StoredObject>, Revision listed);
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
    /// The newest known primary record of an era before the store's present one, or null.
    [[nodiscard]] const Stored<PrimaryRecord> *earlierPrimary(const Core::GroupName &) const;
    /// The era of the newest list.
    [[nodiscard]] Era era() const { return era_; }
    /// The era of the newest record, which may have come from another proxy.
    [[nodiscard]] Era newestEra() const { return newestEra_; }
    /// Sum of hashes of the revisions of all primary records; equal if the records are the same.
    [[nodiscard]] std::uint64_t recordsSum() const { return recordsSum_; }
    /// The highest revision of a primary record.
    [[nodiscard]] Revision newestPrimary() const { return newestPrimary_; }
    /// Increases with each change of the members or the leader.
    [[nodiscard]] std::uint64_t membersVersion() const { return membersVersion_; }
    /// Whether this incarnation of the node is a member that may hold leases.
    [[nodiscard]] bool isMember(const Core::NodeName &, Core::Incarnation) const;

private:
    void beginEra(Era);
    void keepEarlier(const Stored<PrimaryRecord> &);
    void put(const Record &, Revision);
    void remove(const std::string &key, Revision);

    Members members_;
    Primaries primaries_;
    Primaries earlierPrimaries_; ///< The newest ones of earlier eras.
    Era era_ = 0;
    Era newestEra_ = 0;
    std::optional<Stored<LeaderRecord>> leader_;
    std::uint64_t recordsSum_ = 0;
    Revision newestPrimary_ = 0;
    std::uint64_t membersVersion_ = 0;
};

} // namespace Chervilpin::Fleet
