#include <Observe/Metrics.h>

#include <boost/histogram.hpp>
#include <cmath>

namespace Chervilpin::Observe {

namespace {

namespace histogram = boost::histogram;

/// Bins from 1 µs to 1,000 s, 24 to a decade, so that an edge is at most 10 % off.
constexpr unsigned binCount = 216;
constexpr double lowestMicroseconds = 1.0;
constexpr double highestMicroseconds = 1e9;
constexpr unsigned binsToDecade = 24;

using TimeAxis = histogram::axis::regular<double, histogram::axis::transform::log>;

} // namespace

struct TimeHistogram::Bins
{
    decltype(histogram::make_histogram(
        TimeAxis(binCount, lowestMicroseconds, highestMicroseconds))) samples =
        histogram::make_histogram(TimeAxis(binCount, lowestMicroseconds, highestMicroseconds));
};

TimeHistogram::TimeHistogram()
    : bins_(std::make_unique<Bins>())
{ }

TimeHistogram::~TimeHistogram() = default;
TimeHistogram::TimeHistogram(TimeHistogram &&) noexcept = default;
TimeHistogram &TimeHistogram::operator=(TimeHistogram &&) noexcept = default;

void TimeHistogram::record(std::uint64_t microseconds)
{
    // The logarithmic axis has no place for zero.
    bins_->samples(static_cast<double>(std::max<std::uint64_t>(microseconds, 1)));
    ++count_;
    sumMicroseconds_ += microseconds;
}

std::uint64_t TimeHistogram::percentile(double fraction) const
{
    if (count_ == 0)
        return 0;
    const double wanted = std::max(1.0, std::ceil(fraction * static_cast<double>(count_)));
    double seen = 0;
    for (auto &&bin : histogram::indexed(bins_->samples)) {
        seen += *bin;
        if (seen >= wanted)
            return static_cast<std::uint64_t>(std::llround(bin.bin().upper()));
    }
    return static_cast<std::uint64_t>(highestMicroseconds);
}

void TimeHistogram::writeText(std::string_view name, std::string_view labels,
                              std::string &output) const
{
    const std::string prefix(name);
    const std::string separator = labels.empty() ? "" : ",";
    const std::string braces = labels.empty() ? "" : "{" + std::string(labels) + "}";
    double seen = 0;
    for (auto &&bin : histogram::indexed(bins_->samples)) {
        seen += *bin;
        if ((static_cast<unsigned>(bin.index()) + 1) % binsToDecade != 0)
            continue;
        output += prefix + "_bucket{" + std::string(labels) + separator + "le=\""
            + std::to_string(std::llround(bin.bin().upper())) + "\"} "
            + std::to_string(static_cast<std::uint64_t>(seen)) + "\n";
    }
    output += prefix + "_bucket{" + std::string(labels) + separator + "le=\"+Inf\"} "
        + std::to_string(count_) + "\n";
    output += prefix + "_sum" + braces + " " + std::to_string(sumMicroseconds_) + "\n";
    output += prefix + "_count" + braces + " " + std::to_string(count_) + "\n";
}

void Metrics::add(std::string_view name, std::string_view labels, std::uint64_t amount)
{
    counters_[std::string(name)][std::string(labels)] += amount;
}

void Metrics::set(std::string_view name, std::string_view labels, std::int64_t value)
{
    gauges_[std::string(name)][std::string(labels)] = value;
}

void Metrics::record(std::string_view name, std::string_view labels, std::uint64_t microseconds)
{
    histograms_[std::string(name)][std::string(labels)].record(microseconds);
}

std::uint64_t Metrics::counter(std::string_view name, std::string_view labels) const
{
    const auto series = counters_.find(name);
    if (series == counters_.end())
        return 0;
    const auto value = series->second.find(labels);
    return value == series->second.end() ? 0 : value->second;
}

namespace {

template<typename AllSeries>
void writePlain(const AllSeries &all, std::string_view type, std::string &output)
{
    for (const auto &[name, series] : all) {
        output += "# TYPE " + name + " " + std::string(type) + "\n";
        for (const auto &[labels, value] : series) {
            const std::string braces = labels.empty() ? "" : "{" + labels + "}";
            output += name + braces + " " + std::to_string(value) + "\n";
        }
    }
}

} // namespace

std::string Metrics::text() const
{
    std::string output;
    writePlain(counters_, "counter", output);
    writePlain(gauges_, "gauge", output);
    for (const auto &[name, series] : histograms_) {
        output += "# TYPE " + name + " histogram\n";
        for (const auto &[labels, times] : series)
            times.writeText(name, labels, output);
    }
    return output;
}

} // namespace Chervilpin::Observe
