#pragma once

#include <Core/Milliseconds.h>

namespace Chervilpin::Sessions {

/// When a proxy that was requestedAt to stop may leave its fleet and end.
///
/// The balancer learns of the stop late, so callers go on coming for a while after the last session
/// has ended.
class ShutdownSequence
{
public:
    enum class Step {
        Wait,  ///< Nothing is to be done yet.
        Leave, ///< Say goodbye to the fleet; given once.
        Exit,  ///< The process may end.
    };

    /// \a grace is the time after which the process is killed.
    ShutdownSequence(Core::Instant requestedAt, Core::Duration grace);

    /// What is to be done \a now, where \a sessions callers are connected.
    [[nodiscard]] Step advance(std::size_t sessions, Core::Instant now);

private:
    Core::Instant balancerDrainedAt_;
    Core::Instant deadline_;
    Core::Instant leftAt_;
    bool hasLeft_ = false;
};

} // namespace Chervilpin::Sessions
