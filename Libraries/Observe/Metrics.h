#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Chervilpin::Observe {

/// The distribution of a time in microseconds, held by Boost.Histogram in logarithmic bins.
class TimeHistogram
{
public:
    TimeHistogram();
    ~TimeHistogram();
    TimeHistogram(TimeHistogram &&) noexcept;
    TimeHistogram &operator=(TimeHistogram &&) noexcept;
    TimeHistogram(const TimeHistogram &) = delete;
    TimeHistogram &operator=(const TimeHistogram &) = delete;

    void record(std::uint64_t microseconds);
    /// The upper edge in microseconds of the bin that holds the given fraction (0 to 1); 0 if
    /// empty.
    [[nodiscard]] std::uint64_t percentile(double fraction) const;
    [[nodiscard]] std::uint64_t count() const { return count_; }
    [[nodiscard]] std::uint64_t sumMicroseconds() const { return sumMicroseconds_; }
    /// Samples at or below each decade's edge, for the text format.
    void writeText(std::string_view name, std::string_view labels, std::string &output) const;

private:
    struct Bins;
    std::unique_ptr<Bins> bins_;
    std::uint64_t count_ = 0;
    std::uint64_t sumMicroseconds_ = 0;
};

/// The counters, gauges and histograms of one process, written in the Prometheus text format.
///
/// A series is named by metric and label text such as `team="north"`. Keys and statements are never
/// labels.
class Metrics
{
public:
    void add(std::string_view name, std::string_view labels, std::uint64_t amount = 1);
    void set(std::string_view name, std::string_view labels, std::int64_t value);
    void record(std::string_view name, std::string_view labels, std::uint64_t microseconds);

    [[nodiscard]] std::uint64_t counter(std::string_view name, std::string_view labels) const;
    [[nodiscard]] std::string text() const;

private:
    template<typename Value>
    using Series = std::map<std::string, std::map<std::string, Value, std::less<>>, std::less<>>;

    Series<std::uint64_t> counters_;
    Series<std::int64_t> gauges_;
    Series<TimeHistogram> histograms_;
};

} // namespace Chervilpin::Observe
