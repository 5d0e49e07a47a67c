#pragma once

#include <Core/Milliseconds.h>
#include <Rates/RateMeter.h>
#include <Rates/Timing.h>
#include <Rates/TokenBucket.h>

#include <cstdint>

namespace Chervilpin::Rates {

/// What a team may start in a data centre from which its owner can't be reached.
///
/// The pool goes on at the rate at which the owner granted operations there before, so that all
/// sides of a cut together start about as much as before. A team that suddenly asks for many times
/// as much may do so on the owner's side as well, so it then gets only what is accepted beyond its
/// limit.
class FallbackBucket
{
public:
    /// Sets what is there in any case.
    void setGuaranteed(Sessions::TeamLimits, Core::Instant now);

    /// Takes up to \a needed operations, and returns how many. \a perSecond is the rate at which
    /// the asker knows that the owner granted operations before.
    [[nodiscard]] std::uint32_t take(std::uint32_t needed, double perSecond, Core::Instant now);
    /// Until another operation can be expected.
    [[nodiscard]] Core::Duration waitForNext() const;

private:
    void refill(double perSecond, Core::Instant now);
    [[nodiscard]] bool isSurging(Core::Instant now) const;

    TokenBucket guaranteed_;
    bool hasGuaranteed_ = false;
    double baselinePerSecond_ = 0; ///< The highest that an asker told of in this cut.
    double tokens_ = 0;
    Core::Instant lastUsedAt_;
    RateMeter requested_{surgeWindow};
};

} // namespace Chervilpin::Rates
