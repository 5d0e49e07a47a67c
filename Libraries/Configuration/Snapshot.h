#pragma once

#include <Configuration/Change.h>
#include <Configuration/FieldError.h>
#include <Configuration/Resource.h>

#include <memory>
#include <span>

namespace Chervilpin::Configuration {

class Snapshot;
using SnapshotPointer = std::shared_ptr<const Snapshot>;

/// A change that the log remembers to recognise retries.
struct RememberedNonce
{
    std::string nonce;
    Revision revision = 0;

    bool operator==(const RememberedNonce &) const = default;
};

/// The whole configuration at one revision. Immutable; pointers it returns live as long as it does.
class Snapshot
{
public:
    /// The plain data a snapshot is made of.
    struct Contents
    {
        Revision revision = 0;
        std::uint64_t digest = 0; ///< Digest of the log up to this revision.
        std::vector<Resource> resources;
        std::vector<RememberedNonce> nonces; ///< Oldest first, bounded.

        bool operator==(const Contents &) const = default;
    };

    [[nodiscard]] static SnapshotPointer empty();
    [[nodiscard]] static SnapshotPointer create(Contents);

    /// The configuration after \a change, which is number revision() + 1 and whose log has
    /// \a digest. Versions that the change expects aren't looked at.
    [[nodiscard]] SnapshotPointer after(const Change &change, std::uint64_t digest) const;

    [[nodiscard]] Revision revision() const { return contents_.revision; }
    [[nodiscard]] std::uint64_t digest() const { return contents_.digest; }
    [[nodiscard]] const Contents &contents() const { return contents_; }

    /// All resources, ordered by kind and name.
    [[nodiscard]] std::span<const Resource> resources() const { return contents_.resources; }
    [[nodiscard]] std::span<const Resource> resources(Kind) const;
    [[nodiscard]] const Resource *find(const ResourceId &) const;

    /// Each returns nullptr if there is none of that name.
    [[nodiscard]] const TeamSpec *findTeam(const Core::TeamName &) const;
    [[nodiscard]] const KeySpec *findKey(const KeyName &) const;
    [[nodiscard]] const UpstreamGroupSpec *findGroup(const Core::GroupName &) const;
    [[nodiscard]] const RouteSpec *findRoute(const Core::RouteName &) const;
    [[nodiscard]] const HalfSpec *findHalf(const Core::HalfName &) const;
    [[nodiscard]] const OperatorSpec *findOperator(const OperatorName &) const;

    /// Whether a team's requests may take a route: it is open to all, lists the team, or lists
    /// nobody and the team is of the half that owns the group.
    [[nodiscard]] bool mayUse(const RouteSpec &, const Core::TeamName &) const;

    /// The revision of the accepted change with that nonce, if it is still remembered.
    [[nodiscard]] std::optional<Revision> findNonce(std::string_view nonce) const;

private:
    explicit Snapshot(Contents);

    Contents contents_;
};

} // namespace Chervilpin::Configuration
