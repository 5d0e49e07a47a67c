#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Peer/Message.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Chervilpin::Membership {

/// What is believed of a member's process, from best to worst.
enum class Health {
    Live,        ///< Heard of lately.
    Suspected,   ///< Silent, or only listed by the platform; may refute.
    Unreachable, ///< Silent for long though the platform lists it: cut off or dead.
    Dead,        ///< Silent for long, and leaving or no longer listed.
};

[[nodiscard]] std::string_view toString(Health);

/// Orders what is said of one member: a later life, then a later refutation, overrules.
struct MemberVersion
{
    Peer::Incarnation incarnation = 0; ///< 0: known from the platform's list only.
    std::uint32_t refutation = 0;      ///< Raised by the member itself to refute a suspicion.

    auto operator<=>(const MemberVersion &) const = default;
};

struct Member
{
    Core::NodeName name;
    Core::DataCentreName dataCentre;
    std::string peerAddress; ///< IP:port where it takes messages of peers.
    MemberVersion version;
    Health health = Health::Suspected;
    bool isLeaving = false; ///< It is stopping, for good in this incarnation.
    bool isListed = false;  ///< The platform's list has it.
    Core::Instant since;    ///< When this node came to believe its health.

    /// Whether it may be given work and counted on.
    [[nodiscard]] bool isUsable() const { return health == Health::Live && !isLeaving; }
};

} // namespace Chervilpin::Membership
