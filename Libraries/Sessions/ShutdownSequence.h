#pragma once

#include <Core/Milliseconds.h>

namespace Chervilpin::Sessions {

/// Decides when a proxy that was asked to stop leaves its fleet and exits.
///
/// The load balancer notices only after loadBalancerDelay that the proxy is not ready, so new
/// callers may arrive until then even if all sessions have ended.
class ShutdownSequence
{
public:
    enum class Step {
        Wait,  ///< Nothing is to be done yet.
        Leave, ///< Leave the fleet; returned once.
        Exit,  ///< The process may exit.
    };

    /// \a grace is the time after the request at which the process is killed.
    ShutdownSequence(Core::Instant requestedAt, Core::Duration grace);

    /// The step to take now. \a sessions is the number of connected callers.
    [[nodiscard]] Step advance(std::size_t sessions, Core::Instant now);

private:
    Core::Instant balancerDrainedAt_;
    Core::Instant deadline_;
    Core::Instant leftAt_;
    bool hasLeft_ = false;
};

} // namespace Chervilpin::Sessions
