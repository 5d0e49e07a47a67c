#include <Sessions/FreshnessTracker.h>

#include <algorithm>

namespace Chervilpin::Sessions {

namespace {

/// Samples are merged within this span, which costs reads at most as much of their stated age.
constexpr Core::Duration sampleInterval{20};
/// Longer than the ages that routes usually state; a longer age is served by the oldest sample.
constexpr Core::Duration history{5'000};

} // namespace

void FreshnessTracker::add(Core::Instant sentAt, Core::LogMark mark)
{
    if (mark.term < firstOfTerm_.term)
        return;
    if (mark.term > firstOfTerm_.term) {
        samples_.clear();
        firstOfTerm_ = mark;
    }
    // Answers to statements that were sent earlier may come later; they prove nothing more.
    if (!samples_.empty() && sentAt < samples_.back().sentAt + sampleInterval)
        return;
    if (!samples_.empty() && mark < samples_.back().mark)
        return;
    samples_.push_back({sentAt, mark});
    while (samples_.size() > 1 && samples_.front().sentAt < sentAt - history)
        samples_.pop_front();
}

std::optional<Core::LogMark> FreshnessTracker::requiredFor(Core::Duration age,
                                                           Core::Instant now) const
{
    const auto found = std::ranges::lower_bound(samples_, now - age, {}, &Sample::sentAt);
    if (found == samples_.end())
        return {};
    return found->mark;
}

std::optional<Core::LogMark> FreshnessTracker::requiredForOwnCommit(Core::LogMark own) const
{
    if (own.term >= firstOfTerm_.term)
        return own;
    return firstOfTerm_;
}

std::optional<Core::Instant> FreshnessTracker::knownSince(Core::LogMark mark) const
{
    const auto found = std::ranges::lower_bound(samples_, mark, {}, &Sample::mark);
    if (found == samples_.end())
        return {};
    return found->sentAt;
}

Core::Duration FreshnessTracker::ageOf(Core::LogMark mark, Core::Instant now) const
{
    const auto newer = std::ranges::upper_bound(samples_, mark, {}, &Sample::mark);
    return newer == samples_.end() ? Core::Duration() : now - newer->sentAt;
}

} // namespace Chervilpin::Sessions
