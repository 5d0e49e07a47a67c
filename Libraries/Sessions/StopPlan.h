#pragma once

#include <Core/Milliseconds.h>

namespace Chervilpin::Sessions {

/// When a proxy that was told to stop may leave its fleet and end.
///
/// The balancer learns of the stop late, so callers go on coming for a while after the last session
/// has ended.
class StopPlan
{
public:
    enum class Step {
        Serve, ///< Nothing is to be done yet.
        Leave, ///< Say goodbye to the fleet; given once.
        End,   ///< The process may end.
    };

    /// \a grace is the time after which the process is killed.
    StopPlan(Core::Instant toldAt, Core::Duration grace);

    /// What is to be done \a now, where \a sessions callers are connected.
    [[nodiscard]] Step advance(std::size_t sessions, Core::Instant now);

private:
    Core::Instant balancerDoneAt_;
    Core::Instant latestAt_;
    Core::Instant leftAt_;
    bool hasLeft_ = false;
};

} // namespace Chervilpin::Sessions
