#pragma once

#include <Observe/Metrics.h>
#include <Utilities/chervilpin-load/Options.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Chervilpin::Load {

/// One finished request, in microseconds of the local clock.
struct Sample
{
    std::string_view team;
    std::string_view route;
    bool isWrite = false;
    std::string outcome; ///< `done`, `not_run`, `unknown`, or `no_answer`.
    std::string reason;
    bool isWithinRate = false;
    std::int64_t plannedMicroseconds = 0; ///< When the arrival was due.
    std::int64_t endMicroseconds = 0;
};

/// The figures of a run.
class Report
{
public:
    void add(const Sample &);

    /// One `key=value` line for each figure.
    [[nodiscard]] std::string toText() const;
    [[nodiscard]] std::string toJson() const;

private:
    struct TeamFigures
    {
        std::uint64_t sent = 0;
        std::uint64_t done = 0;
        std::uint64_t unknown = 0;
        std::uint64_t withinRate = 0;
        std::map<std::string, std::uint64_t> refusals;
        Observe::TimeHistogram latencies; ///< Of done requests, from when they were due.
    };

    /// The longest time without a successful write.
    struct WriteGap
    {
        std::int64_t lastSuccessMicroseconds = 0;
        std::int64_t longestMicroseconds = 0;
    };

    [[nodiscard]] std::map<std::string, double> figures() const;

    std::map<std::string, TeamFigures, std::less<>> teams_;
    std::map<std::string, WriteGap, std::less<>> writeGaps_;
    Observe::TimeHistogram latencies_;
};

} // namespace Chervilpin::Load
