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

/// One node's dealings with the object `term/<group>`: holds a term reserved ahead, publishes
/// promotions and takes terms for ownership changes.
///
/// It states what it wants, and edits the object by conditional updates until the object shows
/// it. Each want carries a nonce, so that a change whose answer was lost is recognised. While
/// nothing is wanted, there is one read each refreshInterval.
class TermReservation
{
public:
    TermReservation(ThisNode, const Group &, FailoverPolicy, Core::Random);

    /// Whether this node should hold a reservation, and which nodes may; reservations of others
    /// are replaced.
    void setHolders(std::vector<Core::NodeName>);
    /// A term is needed now; without effect where they are reserved ahead.
    void requireReservation() { isReservationRequired_ = true; }
    /// Gives the reservation back and takes no other.
    void release();
    /// Terms up to this one are spent.
    void recordSeenTerm(Core::Term);
    /// Writes the promotion into the object, unless a later one is there.
    void publish(const CurrentPrimary &);
    /// Takes a new term in which the half owns the group. The result shows in ownershipTerm().
    void requestOwnership(const Core::HalfName &);
    void dropOwnershipRequest();
    /// Reads the object at the next tick.
    void refresh() { isObjectCurrent_ = false; }

    /// The next call, if there is one to make; at most one is under way.
    [[nodiscard]] std::optional<Platform::CallBody> tick(Core::Instant now);
    /// The answer to the last call.
    void replied(const Platform::ReplyBody &, Core::Instant now);

    /// The object as last seen, or nothing.
    [[nodiscard]] const std::optional<TermObject> &object() const { return object_; }
    /// The term that this node may use for a failover now.
    [[nodiscard]] std::optional<Core::Term> reservedTerm() const;
    /// Marks the reserved term as used, so that another is reserved.
    void consumeReservedTerm();
    /// The term of the requested ownership change, once it is granted.
    [[nodiscard]] std::optional<Core::Term> ownershipTerm() const;
    /// How many holders of lower usable terms act before this one.
    [[nodiscard]] std::size_t rank() const;
    /// Whether the last call got no answer.
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
    bool isStoreRolledBack_ = false; ///< The store showed less than it had before.
    Core::Term stride_ = 0;          ///< Skipped where the store forgot what was granted.
    bool isObjectCurrent_ = false;
    std::optional<TermObject> pendingPut_; ///< What the call under way writes.
    bool isCalling_ = false;
    Core::Instant calledAt_;
    Core::Instant nextCallAt_;
    Core::Instant readAt_;
    std::int64_t consecutiveFailures_ = 0;
};

} // namespace Chervilpin::Failover
