#pragma once

#include <Core/LogMark.h>
#include <Route/Stamp.h>

#include <deque>
#include <optional>

namespace Chervilpin::Route {

/// A primary's reply to a request sent at `asked`: it held `mark` in its own term.
///
/// Every write acknowledged before `asked` in that term or a lower one is at or below `mark`.
struct Sample
{
    Stamp asked;
    Core::LogMark mark;
};

/// The samples of a group's primaries, limited to a few hundred. Older samples are kept at a lower
/// density than recent ones.
class SampleHistory
{
public:
    void add(const Sample &sample);

    /// The sample with the lowest mark among those requested at or after the instant.
    [[nodiscard]] std::optional<Sample> oldestSince(Core::Instant since) const;
    /// The latest sample, if it was requested after the stamp.
    [[nodiscard]] std::optional<Sample> latestAfter(const Stamp &since) const;
    [[nodiscard]] std::optional<Sample> latest() const;
    /// The highest mark of all samples.
    [[nodiscard]] std::optional<Core::LogMark> highestMark() const { return highestMark_; }
    /// The request time of the first sample that holds the mark or a later one.
    [[nodiscard]] std::optional<Core::Instant> firstSeen(Core::LogMark mark) const;

private:
    void discardOldSamples();

    std::deque<Sample> samples_; ///< By ascending `asked.order`.
    std::optional<Core::LogMark> highestMark_;
};

} // namespace Chervilpin::Route
