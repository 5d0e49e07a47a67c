#pragma once

#include <Configuration/Resource.h>

namespace Chervilpin::Configuration {

enum class ChangeAction {
    Put,    ///< Creates the resource or replaces its spec.
    Delete, ///< Removes the resource.
};

/// What a change does to one resource.
struct ResourceChange
{
    ChangeAction action = ChangeAction::Put;
    ResourceId id;
    std::optional<Spec> spec; ///< Set for Put.
    /// The version that the operator saw; 0 if it must not exist; nullopt if any will do.
    std::optional<Revision> expectedVersion;

    bool operator==(const ResourceChange &) const = default;
};

/// A set of resource changes that takes effect as a whole or not at all.
struct Change
{
    Revision revision = 0;            ///< Its number in the log; 0 until it has one.
    std::uint64_t previousDigest = 0; ///< Digest of the log up to the change before it.
    std::string nonce;                ///< Recognises a retry of the same change.
    std::string author;               ///< The operator who asked for it.
    std::vector<ResourceChange> items;

    bool operator==(const Change &) const = default;
};

} // namespace Chervilpin::Configuration
