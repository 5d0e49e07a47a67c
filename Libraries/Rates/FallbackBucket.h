#pragma once

#include <Core/Milliseconds.h>
#include <Rates/RateMeter.h>
#include <Rates/Timing.h>
#include <Rates/TokenBucket.h>

#include <cstdint>

namespace Chervilpin::Rates {

/// Limits a team's operations in a data centre from which the team's owner cannot be reached.
///
/// The bucket refills at the rate at which the owner granted tokens there before, so that all sides
/// of a network partition together start about as many operations as before. A team whose demand
/// surges to many times that rate may be surging on the owner's side as well, so it then gets only
/// the guaranteed limits, which lie within the tolerated excess over its limit.
class FallbackBucket
{
public:
    /// Sets the limits that apply regardless of the baseline rate.
    void setGuaranteed(Sessions::TeamLimits, Core::Instant now);

    /// Takes up to \a needed tokens and returns how many were taken. \a perSecond is the rate at
    /// which, as far as the requester knows, the owner granted tokens before.
    [[nodiscard]] std::uint32_t take(std::uint32_t needed, double perSecond, Core::Instant now);
    /// Returns the time after which another token can be expected.
    [[nodiscard]] Core::Duration waitForNext() const;

private:
    void refill(double perSecond, Core::Instant now);
    [[nodiscard]] bool isSurging(Core::Instant now) const;

    TokenBucket guaranteed_;
    bool hasGuaranteed_ = false;
    /// The highest rate that a requester reported during this partition.
    double baselinePerSecond_ = 0;
    double tokens_ = 0;
    Core::Instant lastUsedAt_;
    RateMeter requested_{surgeWindow};
};

} // namespace Chervilpin::Rates
