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

/// Identifies a node's own change if the answer to the write was lost.
using Nonce = std::uint64_t;

/// A term reserved by one node until it is used, superseded or released.
struct Reservation
{
    Core::Term term = 0;
    Core::NodeName node;
    Peer::Incarnation incarnation = 0;
    Core::DataCentreName dataCentre;
    Nonce nonce = 0;

    bool operator==(const Reservation &) const = default;
};

/// From this term on the half owns the group, until a later entry.
struct OwnerChange
{
    Core::Term since = 0;
    Core::HalfName owner;
    Nonce nonce = 0; ///< Of the coordinator that requested the term; 0 for the initial owner.

    bool operator==(const OwnerChange &) const = default;
};

/// The last published promotion.
struct CurrentPrimary
{
    Core::Term term = 0;
    Core::DatabaseName primary;
    Core::NodeName coordinator;

    bool operator==(const CurrentPrimary &) const = default;
};

/// The platform's object `term/<group>`.
///
/// A term is granted by raising `highestGranted` in a conditional update, so that it is granted
/// only once. The owner in a term is fixed when the term is granted: an ownership change needs a
/// new, higher term.
struct TermObject
{
    Core::Term highestGranted = 0;
    std::vector<Reservation> reservations; ///< In ascending order of term.
    std::vector<OwnerChange> owners;       ///< In ascending order of term, starting at term 0.
    CurrentPrimary current;

    /// The owner in a term, or nothing if the term is above highestGranted: the update that granted
    /// it may have changed the owner.
    [[nodiscard]] std::optional<Core::HalfName> ownerIn(Core::Term) const;
    [[nodiscard]] const Reservation *reservationOf(const Core::NodeName &) const;

    /// Raises highestGranted above both its value and \a atLeast, and returns the new term.
    Core::Term grant(Core::Term atLeast);

    [[nodiscard]] std::string toJson() const;
    static Core::ErrorOr<TermObject> fromJson(std::string_view);

    bool operator==(const TermObject &) const = default;
};

/// The platform key of a group's term object.
[[nodiscard]] std::string termKey(const Core::GroupName &);

} // namespace Chervilpin::Failover
