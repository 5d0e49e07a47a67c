#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Peer/Message.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Chervilpin::Membership {

/// The believed state of a member's process, from best to worst.
enum class Health {
    Live,        ///< Its heartbeats arrive at the peers that monitor it.
    Suspected,   ///< Silent, or known from the VM list only; can refute this.
    Unreachable, ///< Suspected too long, not known to be gone: partitioned or dead.
    Dead,        ///< Suspected too long, and leaving or no longer in the VM list.
};

[[nodiscard]] std::string_view toString(Health);

/// Orders statements about one member: a later incarnation, then a later refutation, overrides.
struct MemberVersion
{
    Peer::Incarnation incarnation = 0; ///< 0: known from the VM list or seeds only.
    std::uint32_t refutation = 0;      ///< Incremented by the member itself to refute a suspicion.

    auto operator<=>(const MemberVersion &) const = default;
};

struct Member
{
    Core::NodeName name;
    Core::DataCentreName dataCentre;
    std::string peerAddress; ///< IP:port at which it receives messages from peers.
    MemberVersion version;
    Health health = Health::Suspected;
    bool isLeaving = false; ///< It is stopping; final for this incarnation.
    bool isListed = false;  ///< The platform's VM list contains it.
    Core::Instant since;    ///< When this node adopted the present health.

    /// Whether the member can be given work.
    [[nodiscard]] bool isUsable() const { return health == Health::Live && !isLeaving; }
};

} // namespace Chervilpin::Membership
