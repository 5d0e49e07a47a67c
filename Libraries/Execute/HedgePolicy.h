#pragma once

#include <Core/Milliseconds.h>
#include <Execute/RetryBudget.h>

namespace Chervilpin::Execute {

struct HedgeOptions
{
    double quantile = 0.95;             ///< A read slower than this share is hedged.
    Core::Duration minimumDelay{5};     ///< Never hedged before.
    Core::Duration initialEstimate{50}; ///< Before any latency was seen.
    RetryBudgetOptions budget{.retriesPerRequest = 0.05, .maximumSaved = 10};
};

/// When a read that is not answered yet may be sent to a second database. One per group.
class HedgePolicy
{
public:
    explicit HedgePolicy(HedgeOptions options);

    /// Counts a read whose answer took so long.
    void noteLatency(Core::Duration latency, Core::Instant now);
    /// How long after its sending a read is hedged.
    [[nodiscard]] Core::Duration delay() const;
    /// Takes a hedge out of the budget; false if it is spent.
    [[nodiscard]] bool tryHedge(Core::Instant now);

private:
    HedgeOptions options_;
    RetryBudget budget_;
    double estimateMilliseconds_;
};

} // namespace Chervilpin::Execute
