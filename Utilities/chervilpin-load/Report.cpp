#include <Utilities/chervilpin-load/Report.h>

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>
#include <sstream>
#include <vector>

namespace Chervilpin::Load {

namespace {

constexpr double microsecondsPerMillisecond = 1000;

double milliseconds(std::uint64_t microseconds)
{
    return static_cast<double>(microseconds) / microsecondsPerMillisecond;
}

/// How many more requests the team's rate and burst allowed than were served. For a team that sends
/// more than its rate no single refusal can be called wrongful, only the number that is missing.
double wrongfulRefusals(std::uint64_t withinRate, std::uint64_t served)
{
    return withinRate > served ? static_cast<double>(withinRate - served) : 0;
}

double median(std::vector<double> values)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    return values[values.size() / 2];
}

} // namespace

void Report::add(const Sample &sample)
{
    TeamFigures &team = teams_[std::string(sample.team)];
    const auto latency =
        static_cast<std::uint64_t>(sample.endMicroseconds - sample.plannedMicroseconds);
    ++team.sent;
    if (sample.isWithinRate)
        ++team.withinRate;
    if (sample.outcome != "done") {
        if (sample.outcome == "unknown" || sample.outcome == "no_answer")
            ++team.unknown;
        ++team.refusals[sample.reason.empty() ? sample.outcome : sample.reason];
        return;
    }
    ++team.done;
    team.latencies.record(latency);
    latencies_.record(latency);
    if (!sample.isWrite)
        return;
    WriteGap &gap = writeGaps_[std::string(sample.route)];
    if (gap.lastSuccessMicroseconds > 0)
        gap.longestMicroseconds =
            std::max(gap.longestMicroseconds, sample.endMicroseconds - gap.lastSuccessMicroseconds);
    gap.lastSuccessMicroseconds = std::max(gap.lastSuccessMicroseconds, sample.endMicroseconds);
}

std::map<std::string, double> Report::figures() const
{
    std::map<std::string, double> figures;
    std::vector<double> teamP99s;
    double sent = 0;
    double done = 0;
    double unknown = 0;
    double within = 0;
    double wrongful = 0;
    for (const auto &[name, team] : teams_) {
        const double p99 = milliseconds(team.latencies.percentile(0.99));
        figures["team." + name + ".sent"] = static_cast<double>(team.sent);
        figures["team." + name + ".done"] = static_cast<double>(team.done);
        figures["team." + name + ".p50_ms"] = milliseconds(team.latencies.percentile(0.5));
        figures["team." + name + ".p99_ms"] = p99;
        for (const auto &[reason, count] : team.refusals)
            figures["team." + name + ".refused." + reason] = static_cast<double>(count);
        teamP99s.push_back(p99);
        sent += static_cast<double>(team.sent);
        done += static_cast<double>(team.done);
        unknown += static_cast<double>(team.unknown);
        within += static_cast<double>(team.withinRate);
        wrongful += wrongfulRefusals(team.withinRate, team.done + team.unknown);
    }
    figures["sent"] = sent;
    figures["done"] = done;
    figures["unknown"] = unknown;
    figures["wrongful_refusals"] = within > 0 ? wrongful / within : 0;
    figures["p50_ms"] = milliseconds(latencies_.percentile(0.5));
    figures["p99_ms"] = milliseconds(latencies_.percentile(0.99));
    const double middle = median(teamP99s);
    if (middle > 0)
        figures["worst_team_p99_ratio"] = *std::ranges::max_element(teamP99s) / middle;
    for (const auto &[route, gap] : writeGaps_)
        figures["write_gap_ms." + route] =
            static_cast<double>(gap.longestMicroseconds) / microsecondsPerMillisecond;
    return figures;
}

std::string Report::toText() const
{
    std::ostringstream text;
    for (const auto &[name, value] : figures())
        text << name << '=' << value << '\n';
    return text.str();
}

std::string Report::toJson() const
{
    boost::json::object json;
    for (const auto &[name, value] : figures())
        json[name] = value;
    return boost::json::serialize(json) + "\n";
}

} // namespace Chervilpin::Load
