#pragma once

#include <Core/Milliseconds.h>

#include <cstdint>

namespace Chervilpin::Allotment {

/// The guards that the promises rest on. Only tests switch one off, to show what it prevents.
struct Guards
{
    bool holderExpires = true;        ///< Holders drop granted units after their lifetime.
    bool onlyLatestAskCounts = true;  ///< Holders ignore grants for any but their latest ask.
    bool ownerDeduplicates = true;    ///< Owners ignore asks that are doubled or late.
    bool ownerStopsAtLease = true;    ///< Owners grant nothing once their lease has run out.
    bool successorWaits = true;       ///< New owners count all units as granted for a lifetime.
    bool challengerWaits = true;      ///< Challengers wait until the owner's right has ended.
    bool witnessKeepsPromises = true; ///< Witnesses don't testify while a promise is running.
    bool ownerCountsGranted = true; ///< Granted units leave room for no new ones until they lapse.
};

struct Options
{
    std::uint32_t shards = 2;
    std::uint32_t shares = 6; ///< Parts into which each limit of a shard is split; at most 64.
    /// A limit of tokens is split into fewer parts rather than into parts smaller than this,
    /// because each part may hold a fraction of a token that nobody can use.
    std::int64_t minimumPartTokens = 8;
    /// How long a claim is good for after a write, without any witness.
    Core::Duration unwitnessedLease{4'000};
    /// How long a claim is good for after a write, with a witness's support. Longer than the
    /// outages of the platform that are to be outlasted.
    Core::Duration witnessedLease{780'000};
    Core::Duration renewalInterval{60'000}; ///< How often an owner with support writes its claim.
    std::uint32_t witnesses = 2;
    Core::Duration supportDuration{2'000}; ///< How long one support lasts.
    Core::Duration supportInterval{500};   ///< How often an owner asks for support.
    Core::Duration testimonyInterval{
        1'000};                          ///< How often a candidate asks whether the owner lives.
    Core::Duration pollInterval{5'000};  ///< How often a candidate looks at the claim.
    Core::Duration tokenLifetime{1'000}; ///< Granted tokens not spent by then are void.
    Core::Duration connectionLifetime{10'000}; ///< Granted connections not renewed by then close.
    std::int64_t clockDriftPerMille = 10;      ///< The most by which two clocks' speeds differ.
    Core::Duration clockMargin{100}; ///< Added to each wait for something at another node to end.
    Core::Duration prefetchWindow{100}; ///< How much expected demand a holder keeps in stock.
    Core::Duration askTimeout{40};      ///< An ask unanswered for so long has failed.
    Core::Duration reportInterval{100}; ///< Spent units are reported at least this often.
    Core::Duration maximumWait{150};    ///< A request waits no longer for its tokens.
    Core::Duration callTimeout{2'000};  ///< A platform call unanswered for so long is given up.
    Guards guards;

    /// The longest that another node may take for what lasts \a span on its own clock.
    [[nodiscard]] Core::Duration withDriftMargin(Core::Duration span) const
    {
        constexpr std::int64_t perMilleDivisor = 1000;
        return span + span * clockDriftPerMille / perMilleDivisor + clockMargin;
    }
};

} // namespace Chervilpin::Allotment
