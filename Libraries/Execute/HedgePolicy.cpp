#include <Execute/HedgePolicy.h>

#include <algorithm>
#include <cmath>

namespace Chervilpin::Execute {

namespace {
/// Step size of the estimate per latency, as a ratio of the estimate.
constexpr double stepRatio = 0.05;
constexpr double minimumStepMilliseconds = 0.05;
} // namespace

HedgePolicy::HedgePolicy(HedgeOptions options)
    : options_(options)
    , budget_(options.budget)
    , estimateMilliseconds_(static_cast<double>(options.initialEstimate.milliseconds()))
{ }

void HedgePolicy::noteLatency(Core::Duration latency, Core::Instant now)
{
    budget_.noteRequest(now);
    // Upward and downward steps are weighted by q and 1 - q, so that they balance at the quantile
    // q.
    const double step = std::max(minimumStepMilliseconds, estimateMilliseconds_ * stepRatio);
    const bool isAbove = static_cast<double>(latency.milliseconds()) > estimateMilliseconds_;
    estimateMilliseconds_ += isAbove ? step * options_.quantile : -step * (1 - options_.quantile);
    estimateMilliseconds_ = std::max(0.0, estimateMilliseconds_);
}

Core::Duration HedgePolicy::delay() const
{
    const Core::Duration estimate(std::llround(std::ceil(estimateMilliseconds_)));
    return std::max(options_.minimumDelay, estimate);
}

bool HedgePolicy::tryHedge(Core::Instant now)
{
    return budget_.tryTake(now);
}

} // namespace Chervilpin::Execute
