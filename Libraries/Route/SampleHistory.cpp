#include <Route/SampleHistory.h>

#include <algorithm>

namespace Chervilpin::Route {

namespace {
constexpr std::size_t maximumSamples = 512;
} // namespace

void SampleHistory::add(const Sample &sample)
{
    highestMark_ = std::max(highestMark_.value_or(Core::LogMark{}), sample.mark);
    if (!samples_.empty() && samples_.back().asked.order >= sample.asked.order)
        return;
    // A reply of a superseded primary that arrives after one of its successor is of no use.
    if (!samples_.empty() && samples_.back().mark.term > sample.mark.term)
        return;
    // For stated ages, all samples of one millisecond are equivalent; strong reads use the latest,
    // so the first and the latest of each millisecond are kept.
    if (samples_.size() > 1 && samples_.back().asked.at == sample.asked.at
        && samples_[samples_.size() - 2].asked.at == sample.asked.at) {
        samples_.pop_back();
    }
    samples_.push_back(sample);
    if (samples_.size() > maximumSamples)
        discardOldSamples();
}

std::optional<Sample> SampleHistory::oldestSince(Core::Instant since) const
{
    const auto first = std::ranges::lower_bound(
        samples_, since, {}, [](const Sample &sample) { return sample.asked.at; });
    if (first == samples_.end())
        return std::nullopt;
    return *first;
}

std::optional<Sample> SampleHistory::latestAfter(const Stamp &since) const
{
    if (samples_.empty() || samples_.back().asked.order <= since.order)
        return std::nullopt;
    return samples_.back();
}

std::optional<Sample> SampleHistory::latest() const
{
    if (samples_.empty())
        return std::nullopt;
    return samples_.back();
}

std::optional<Core::Instant> SampleHistory::firstSeen(Core::LogMark mark) const
{
    // NOTE: Replies that arrive out of order can leave adjacent marks unsorted. The result is then
    // slightly inaccurate, which is acceptable since it is only used for estimates.
    const auto first = std::ranges::lower_bound(samples_, mark, {}, &Sample::mark);
    if (first == samples_.end())
        return std::nullopt;
    return first->asked.at;
}

void SampleHistory::discardOldSamples()
{
    std::deque<Sample> kept;
    const std::size_t olderHalf = samples_.size() / 2;
    for (std::size_t index = 0; index < samples_.size(); ++index) {
        if (index >= olderHalf || index % 2 == 0)
            kept.push_back(samples_[index]);
    }
    samples_ = std::move(kept);
}

} // namespace Chervilpin::Route
