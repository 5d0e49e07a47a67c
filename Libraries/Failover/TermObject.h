#pragma once

#include <Core/LogMark.h>
#include <Core/Name.h>
#include <Core/Result.h>
#include <Peer/Message.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Chervilpin::Failover {

/// Recognises a node's own change when the answer to it was lost.
using Nonce = std::uint64_t;

/// A term that belongs to one node until it is used, superseded or given back.
struct Reservation
{
    Core::Term term = 0;
    Core::NodeName node;
    Peer::Incarnation incarnation = 0;
    Core::DataCentreName dataCentre;
    Nonce nonce = 0;

    bool operator==(const Reservation &) const = default;
};

/// From this term on the group is the half's, until a later entry.
struct OwnerChange
{
    Core::Term since = 0;
    Core::HalfName owner;
    Nonce nonce = 0; ///< Of the coordinator that took the term; 0 for the first owner.

    bool operator==(const OwnerChange &) const = default;
};

/// The promotion that was last published.
struct CurrentPrimary
{
    Core::Term term = 0;
    Core::DatabaseName primary;
    Core::NodeName coordinator;

    bool operator==(const CurrentPrimary &) const = default;
};

/// The platform's object `term/<group>`.
///
/// A term is granted by raising `highestGranted` in a conditional update, thus once. The owner in
/// a term is fixed when the term is granted: an ownership change takes a new, higher term.
struct TermObject
{
    Core::Term highestGranted = 0;
    std::vector<Reservation> reservations; ///< By rising term.
    std::vector<OwnerChange> owners;       ///< By rising term; the first one since term 0.
    CurrentPrimary current;

    /// The owner in a term, or nothing if the term is above highestGranted: whoever granted it may
    /// have named another owner.
    [[nodiscard]] std::optional<Core::HalfName> ownerIn(Core::Term) const;
    [[nodiscard]] const Reservation *reservationOf(const Core::NodeName &) const;

    /// Raises highestGranted, also above \a atLeast, and returns the new term.
    Core::Term grant(Core::Term atLeast);

    [[nodiscard]] std::string toJson() const;
    static Core::ErrorOr<TermObject> fromJson(std::string_view);

    bool operator==(const TermObject &) const = default;
};

/// The key of a group's object.
[[nodiscard]] std::string termKey(const Core::GroupName &);

} // namespace Chervilpin::Failover
