#include <Sessions/FreshnessTracker.h>

#include <algorithm>

namespace Chervilpin::Sessions {

namespace {

/// The minimum interval between samples. It reduces the usable part of a read's maximum age by at
/// most as much.
constexpr Core::Duration sampleInterval{20};
/// How long samples are kept. Longer than the usual maximum ages of routes; for a longer one the
/// oldest sample is used.
constexpr Core::Duration sampleRetention{5'000};

} // namespace

void FreshnessTracker::add(Core::Instant sentAt, Core::LogMark mark)
{
    if (mark.term < firstOfTerm_.term)
        return;
    if (mark.term > firstOfTerm_.term) {
        samples_.clear();
        firstOfTerm_ = mark;
    }
    // An answer to a statement that was sent earlier can arrive later, and proves nothing further.
    if (!samples_.empty() && sentAt < samples_.back().sentAt + sampleInterval)
        return;
    if (!samples_.empty() && mark < samples_.back().mark)
        return;
    samples_.push_back({sentAt, mark});
    while (samples_.size() > 1 && samples_.front().sentAt < sentAt - sampleRetention)
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
