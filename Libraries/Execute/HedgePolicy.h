#pragma once

#include <Core/Milliseconds.h>
#include <Execute/RetryBudget.h>

namespace Chervilpin::Execute {

struct HedgeOptions
{
    double quantile = 0.95;             ///< Latency quantile after which a read is hedged.
    Core::Duration minimumDelay{5};     ///< No read is hedged earlier.
    Core::Duration initialEstimate{50}; ///< Estimate before the first latency.
    RetryBudgetOptions budget{.retriesPerRequest = 0.05, .maximumSaved = 10};
};

/// Decides when an unanswered read may be sent to a second database. One per group.
class HedgePolicy
{
public:
    explicit HedgePolicy(HedgeOptions options);

    /// Updates the latency estimate and credits the budget with one answered read.
    void noteLatency(Core::Duration latency, Core::Instant now);
    /// How long after it was sent a read is hedged.
    [[nodiscard]] Core::Duration delay() const;
    /// Takes one hedge from the budget. Returns false if the budget is exhausted.
    [[nodiscard]] bool tryHedge(Core::Instant now);

private:
    HedgeOptions options_;
    RetryBudget budget_;
    double estimateMilliseconds_;
};

} // namespace Chervilpin::Execute
