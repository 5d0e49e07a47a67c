#pragma once

#include <Core/Milliseconds.h>
#include <Core/Result.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Chervilpin::Load {

/// One team's part of the load.
struct TeamOptions
{
    std::string name;
    std::string key;
    double offeredPerSecond = 0; ///< How many requests are sent.
    double ratePerSecond = 0;    ///< What the configuration grants.
    double burst = 0;            ///< What the configuration grants at once.

    /// Reads `name,key,offered,rate,burst`.
    static Core::ErrorOr<TeamOptions> create(std::string_view text);
};

/// What a run sends, and where to.
struct Options
{
    std::vector<std::string> proxies; ///< IP:port of the callers' listeners.
    std::vector<std::string> admins;  ///< IP:port of their admin listeners, or none.
    std::vector<std::string> routes;
    std::vector<TeamOptions> teams;
    std::uint64_t seed = 1;
    Core::Duration length{10'000};
    double writeShare = 0.2;
    double agedShare = 0;   ///< Of the reads: with a stated age.
    double strongShare = 0; ///< Of the reads: strong.
    Core::Duration statedAge{1'000};
    Core::Duration deadline{5'000};
    std::uint32_t sessionsPerTeam = 64;
    std::size_t idleConnections = 0; ///< Opened to the first proxy, and left idle.
    std::string historyPrefix;       ///< `<prefix><route>.jsonl` are written; empty: none.
    std::string jsonPath;            ///< Where the figures are written as well; empty: nowhere.
    std::string timelinePath; ///< A line for each request: start, end, team, outcome; empty: none.
};

} // namespace Chervilpin::Load
