#pragma once

#include <Core/Milliseconds.h>
#include <Sessions/RoutingTable.h>

namespace Chervilpin::Rates {

/// A token bucket for a share of one team's rate and burst.
class TokenBucket
{
public:
    /// Sets the fleet-wide limits of the team. Tokens above a lowered limit are discarded
    /// immediately.
    void setLimits(Sessions::TeamLimits, Core::Instant now);
    /// Sets the fraction of the limits, from 0 to 1, that this bucket may spend.
    void setShare(double share, Core::Instant now);
    /// As setShare(), for a share that was moved from or to another bucket: a larger share does not
    /// come with tokens, so that moving shares back and forth creates none.
    void moveShare(double share, Core::Instant now);
    /// Sets the number of available tokens, capped at the capacity.
    void setTokens(double tokens);

    /// Takes one token. Returns false if none is available.
    [[nodiscard]] bool take(Core::Instant now);
    /// Returns the tokens of operations that did not start.
    void returnTokens(double operations);
    /// Returns whether more than half of the capacity is available, as of the last refill.
    [[nodiscard]] bool isOverHalfFull() const;
    [[nodiscard]] double ratePerSecond() const { return limits_.ratePerSecond; }
    [[nodiscard]] double share() const { return share_; }
    /// Returns the time until the next token is available.
    [[nodiscard]] Core::Duration waitForNext() const;

private:
    void refill(Core::Instant now);
    [[nodiscard]] double capacity() const;

    Sessions::TeamLimits limits_;
    double share_ = 0;
    double tokens_ = 0;
    Core::Instant refilledAt_;
    bool hasMovedShare_ = false;
    bool isNew_ = true;
};

} // namespace Chervilpin::Rates
