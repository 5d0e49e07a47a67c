#pragma once

#include <Core/Milliseconds.h>

#include <cstdint>

namespace Chervilpin::Allotment {

/// Safety measures that keep the fleet within its limits. Only tests disable them, one at a time,
/// to show what each one prevents.
struct Guards
{
    bool holderExpires = true;       ///< Holders drop granted units after their lifetime.
    bool onlyLatestAskCounts = true; ///< Holders ignore grants for any but their latest ask.
    bool ownerDeduplicates = true;   ///< Owners ignore asks that are duplicated or late.
    bool ownerStopsAtLease = true;   ///< Owners grant nothing after their lease has expired.
    bool successorWaits = true;      ///< New owners count all units as granted for one lifetime.
    bool challengerWaits = true;     ///< Challengers wait until the owner's lease has expired.
    /// Witnesses do not testify before their promises have expired.
    bool witnessKeepsPromises = true;
    bool ownerCountsGranted = true; ///< Granted units count against the capacity until they expire.
};

struct Options
{
    std::uint32_t shards = 2;
    /// Number of parts into which each limit of a shard is split; at most 64.
    std::uint32_t shares = 6;
    /// Minimum number of tokens in each part. A limit is split into fewer parts rather than into
    /// smaller ones, because each part may hold a fraction of a token that nobody can use.
    std::int64_t minimumPartTokens = 8;
    /// How long a claim is valid after a write, without the support of a witness.
    Core::Duration unwitnessedLease{4'000};
    /// How long a claim is valid after a write, with the support of a witness. Longer than the
    /// outages of the platform that owners must survive.
    Core::Duration witnessedLease{780'000};
    Core::Duration renewalInterval{60'000}; ///< How often a supported owner rewrites its claim.
    std::uint32_t witnesses = 2;
    Core::Duration supportDuration{2'000}; ///< How long the support by one answer lasts.
    Core::Duration supportInterval{500};   ///< How often an owner requests support.
    /// How often a candidate asks the witnesses whether the owner's lease has expired.
    Core::Duration testimonyInterval{1'000};
    Core::Duration pollInterval{5'000}; ///< How often a candidate reads the claim.
    /// After this, granted tokens that are not spent are void.
    Core::Duration tokenLifetime{1'000};
    /// After this, granted connections that are not renewed are closed.
    Core::Duration connectionLifetime{10'000};
    std::int64_t clockDriftPerMille = 10; ///< Maximum difference between the rates of two clocks.
    Core::Duration clockMargin{100};      ///< Added to each wait for an event on another node.
    Core::Duration prefetchWindow{100};   ///< Holders prefetch the demand expected in this time.
    Core::Duration askTimeout{40};        ///< After this, an ask without an answer has failed.
    Core::Duration reportInterval{100};   ///< Spent units are reported at least this often.
    Core::Duration maximumWait{150};      ///< Maximum time that a request waits for tokens.
    Core::Duration callTimeout{2'000}; ///< After this, a platform call without a reply has failed.
    Guards guards;

    /// Returns an upper bound, on this node's clock, of a time span that lasts \a span on another
    /// node's clock.
    [[nodiscard]] Core::Duration withDriftMargin(Core::Duration span) const
    {
        constexpr std::int64_t perMilleDivisor = 1000;
        return span + span * clockDriftPerMille / perMilleDivisor + clockMargin;
    }
};

} // namespace Chervilpin::Allotment
