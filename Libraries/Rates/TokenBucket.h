#pragma once

#include <Core/Milliseconds.h>
#include <Sessions/RoutingTable.h>

namespace Chervilpin::Rates {

/// A part of one team's rate and burst, as a token bucket.
class TokenBucket
{
public:
    /// Sets the limits of the whole fleet. A lower limit takes tokens away at once.
    void setLimits(Sessions::TeamLimits, Core::Instant now);
    /// Sets the fraction, 0 to 1, of the limits that may be spent here.
    void setShare(double share, Core::Instant now);
    /// Sets how many operations can be taken at once now, within the burst.
    void setTokens(double tokens);

    /// Takes one operation; false if it would exceed the share.
    [[nodiscard]] bool take(Core::Instant now);
    /// Gives operations back that were taken and not started.
    void returnTokens(double operations);
    /// Whether more than half of the burst is left, as of the last taking.
    [[nodiscard]] bool isOverHalfFull() const;
    [[nodiscard]] double ratePerSecond() const { return limits_.ratePerSecond; }
    [[nodiscard]] double share() const { return share_; }
    /// When the next operation may be taken at the earliest.
    [[nodiscard]] Core::Duration waitForNext() const;

private:
    void refill(Core::Instant now);
    [[nodiscard]] double capacity() const;

    Sessions::TeamLimits limits_;
    double share_ = 0;
    double tokens_ = 0;
    Core::Instant refilledAt_;
    bool isNew_ = true;
};

} // namespace Chervilpin::Rates
