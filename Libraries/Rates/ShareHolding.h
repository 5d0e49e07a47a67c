#pragma once

#include <Core/Milliseconds.h>
#include <Rates/Messages.h>
#include <Rates/RateMeter.h>
#include <Rates/Timing.h>
#include <Rates/TokenBucket.h>

#include <optional>

namespace Chervilpin::Rates {

/// The share of one team's rate that this proxy holds on lease from the team's owner.
class ShareHolding
{
public:
    /// Sets the team's limits, and the part of them that is lent as shares, from 0 to 1.
    void setLimits(const Sessions::TeamLimits &, double lendablePart, Core::Instant now);
    /// Grants tokens from the share. The demand counts towards the next report.
    void grant(const TokenRequest &, TokenGrant &, Core::Instant now);
    /// The fraction of the team's limits that may be used now.
    [[nodiscard]] double share(Core::Instant now) const;

    [[nodiscard]] Core::Instant nextReportAt() const;
    /// Returns the report to send now, without the names.
    [[nodiscard]] ShareReport makeReport(std::uint64_t id, Core::Instant now);
    /// Applies the answer to the newest report; ignores all others. Returns whether the share
    /// changed.
    bool renew(const ShareLease &, Core::Instant now);
    /// Stops using the share; further reports return it.
    void giveUp(Core::Instant now);

private:
    void setShare(double share, Core::Instant now);

    TokenBucket bucket_;
    double lendablePart_ = 1;
    double share_ = 0;
    Core::Instant expiresAt_;
    RateMeter demand_{demandWindow};
    bool isGivenUp_ = false;
    bool isConfirmationDue_ = false; ///< The share was lowered; it is free once reported.
    double reportedDemandPerSecond_ = 0;
    bool hasRequests_ = true;      ///< Since the last report.
    bool hasLackedTokens_ = false; ///< Since the last report.
    std::optional<std::uint64_t> reportId_;
    Core::Instant reportedAt_;
};

} // namespace Chervilpin::Rates
