#pragma once

#include <Core/Milliseconds.h>

#include <cstdint>
#include <vector>

namespace Chervilpin::Allotment {

/// One of the parts into which each limit of a shard is split. Each has one owner at a time.
struct ShareSpec
{
    std::int64_t weight = 1; ///< Its part of the limit, relative to the sum of all weights.
    Core::Duration lease;    ///< How long a claim lasts without being renewed.
};

/// The guards that the promises rest on. Only tests switch one off, to show what it prevents.
struct Guards
{
    bool holderExpires = true;       ///< Holders drop granted units after their lifetime.
    bool onlyLatestAskCounts = true; ///< Holders ignore grants for any but their latest ask.
    bool ownerDedupes = true;        ///< Owners ignore asks that are doubled or late.
    bool ownerStopsAtLease = true;   ///< Owners grant nothing once their lease has run out.
    bool successorWaits = true;      ///< New owners count all units as granted for a lifetime.
    bool lapseIsWaitedFor = true;    ///< Challengers wait for a whole lease without renewal.
    bool ownerCountsGranted = true;  ///< Granted units leave room for no new ones until they lapse.
};

struct Options
{
    std::uint32_t shards = 4;
    /// The first is the pool, whose owner is replaced within seconds. The others are reserves that
    /// outlast an outage of the platform of ten minutes, at the price that a lost owner's part
    /// stays unused for up to their lease.
    std::vector<ShareSpec> shares = {
        {52, Core::Duration(4'000)},  {8, Core::Duration(720'000)}, {8, Core::Duration(720'000)},
        {8, Core::Duration(720'000)}, {8, Core::Duration(720'000)}, {8, Core::Duration(720'000)},
        {8, Core::Duration(720'000)},
    };
    Core::Duration tokenLifetime{1'000};       ///< Granted tokens not spent by then are void.
    Core::Duration connectionLifetime{10'000}; ///< Granted connections not renewed by then close.
    std::int64_t driftPerMille = 10;           ///< The most by which two clocks' speeds differ.
    Core::Duration margin{100};      ///< Added to each wait for something at another node to end.
    Core::Duration aheadOfNeed{100}; ///< How much expected demand a holder keeps in stock.
    Core::Duration askTimeout{40};   ///< An ask unanswered for so long has failed.
    Core::Duration reportInterval{100}; ///< Spent units are reported at least this often.
    Core::Duration longestWait{150};    ///< A request waits no longer for its tokens.
    Core::Duration poolPoll{1'300};     ///< How often a standby looks at the pool's claim.
    Core::Duration reservePoll{5'000};  ///< How often a standby looks at a reserve's claim.
    Core::Duration callTimeout{2'000};  ///< A platform call unanswered for so long is given up.
    Guards guards;

    /// The longest that another node may take for what lasts \a span on its own clock.
    [[nodiscard]] Core::Duration stretched(Core::Duration span) const
    {
        constexpr std::int64_t wholePerMille = 1000;
        return span + span * driftPerMille / wholePerMille + margin;
    }
};

} // namespace Chervilpin::Allotment
