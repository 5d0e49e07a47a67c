#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Core/Random.h>
#include <Failover/Policy.h>
#include <Failover/Settings.h>
#include <Failover/TermObject.h>
#include <Platform/Messages.h>

#include <optional>
#include <vector>

namespace Chervilpin::Failover {

/// Maintains one node's entries in the object `term/<group>`: reserves a term in advance, publishes
/// promotions and requests terms for ownership changes.
///
/// It records the desired changes and applies them by conditional updates until the object contains
/// them. Reservations and ownership changes carry a nonce, by which a change whose answer was lost
/// is recognised. Without pending changes, the object is read once per refreshInterval.
class TermReservation
{
public:
    TermReservation(ThisNode, const Group &, FailoverPolicy, Core::Random);

    /// Sets the nodes that may hold reservations, perhaps including this one; reservations of other
    /// nodes are replaced.
    void setHolders(std::vector<Core::NodeName>);
    /// Requests a reservation now; has no effect if terms are reserved in advance.
    void requireReservation() { isReservationRequired_ = true; }
    /// Releases the reservation and makes no other.
    void release();
    /// Records that terms up to this one can no longer be used.
    void recordSeenTerm(Core::Term);
    /// Writes the promotion into the object, unless it has a later one.
    void publish(const CurrentPrimary &);
    /// Requests a new term in which the half owns the group. Once granted, ownershipTerm() returns
    /// it.
    void requestOwnership(const Core::HalfName &);
    void dropOwnershipRequest();
    /// Makes the next tick read the object.
    void refresh() { isObjectCurrent_ = false; }

    /// The next platform call, if any; at most one is pending at a time.
    [[nodiscard]] std::optional<Platform::CallBody> tick(Core::Instant now);
    /// Processes the reply to the last call.
    void replied(const Platform::ReplyBody &, Core::Instant now);

    /// The object as last read or written, or nothing.
    [[nodiscard]] const std::optional<TermObject> &object() const { return object_; }
    /// The term that this node can use for a failover now.
    [[nodiscard]] std::optional<Core::Term> reservedTerm() const;
    /// Marks the reserved term as used, so that a new one is reserved.
    void consumeReservedTerm();
    /// The term granted for the requested ownership change, if any.
    [[nodiscard]] std::optional<Core::Term> ownershipTerm() const;
    /// The number of usable reservations with lower terms, whose holders act before this node.
    [[nodiscard]] std::size_t rank() const;
    /// Whether the last platform call failed or timed out.
    [[nodiscard]] bool isPlatformUnavailable() const { return consecutiveFailures_ > 0; }

private:
    [[nodiscard]] bool isUsable(const Reservation &) const;
    [[nodiscard]] bool isHolder(const Core::NodeName &) const;
    [[nodiscard]] TermObject desiredObject() const;
    void editReservation(TermObject &) const;
    void editPublication(TermObject &) const;
    void editOwnership(TermObject &) const;
    [[nodiscard]] static bool removeStaleReservations(TermObject &, const TermReservation &);
    [[nodiscard]] Core::Term grantFloor(const TermObject &) const;
    void adopt(const Platform::Object &);
    void adoptInitialObject();
    void adopt(TermObject, Platform::Version);
    void recogniseOwnChanges();
    void callFailed(Core::Instant now);
    void callSucceeded();

    ThisNode self_;
    Group group_;
    FailoverPolicy policy_;
    Core::Random random_;
    std::vector<Core::NodeName> holders_;
    bool isReleased_ = false;
    bool isReservationRequired_ = false;
    Core::Term termSeen_ = 0;
    Nonce reservationNonce_ = 0;
    std::optional<Reservation> ownReservation_;
    std::optional<CurrentPrimary> publication_;
    std::optional<OwnerChange> ownershipRequest_; ///< `since` is 0 until the term is granted.

    std::optional<TermObject> object_;
    Platform::Version version_ = 0;
    /// The last read returned an older version or an unreadable object.
    bool isStoreRolledBack_ = false;
    Core::Term stride_ = 0; ///< Terms skipped after the store lost granted terms.
    bool isObjectCurrent_ = false;
    std::optional<TermObject> pendingPut_; ///< The object that the pending call writes.
    bool isCalling_ = false;
    Core::Instant calledAt_;
    Core::Instant nextCallAt_;
    Core::Instant readAt_;
    std::int64_t consecutiveFailures_ = 0;
};

} // namespace Chervilpin::Failover
