#pragma once

#include <Core/Milliseconds.h>

namespace Chervilpin::Sessions {

/// Decides when a proxy that is shutting down may leave its fleet and exit.
///
/// The load balancer notices the shutdown up to loadBalancerDelay late, so new callers may connect
/// after the last session has ended.
class ShutdownSequence
{
public:
    enum class Step {
        Wait,  ///< Nothing is to be done yet; callers are still served.
        Leave, ///< Leave the fleet; returned once.
        Exit,  ///< The process may exit.
    };

    /// \a grace is the time from \a requestedAt after which the process is killed.
    ShutdownSequence(Core::Instant requestedAt, Core::Duration grace);

    /// Returns what to do at \a now, while \a sessions callers are connected.
    [[nodiscard]] Step advance(std::size_t sessions, Core::Instant now);

private:
    Core::Instant balancerDrainedAt_;
    Core::Instant deadline_;
    Core::Instant leftAt_;
    bool hasLeft_ = false;
};

} // namespace Chervilpin::Sessions
