#include <Fleet/StoreWatcher.h>

#include <Fleet/RelayTiming.h>

#include <algorithm>

namespace Chervilpin::Fleet {

namespace {

/// Time allowed for an answer beyond the wait of the call. The store answers in 4 ms, and at times
/// a hundred times slower.
constexpr Core::Duration answerTimeout{1'200};
/// Tolerance for a clock of the store that runs a little faster than that of this proxy.
constexpr Core::Duration clockTolerance{100};
constexpr Core::Duration initialRetryDelay{150};
/// Bounds the rate of calls to an unreachable store, and how late its recovery is noticed.
constexpr Core::Duration maximumRetryDelay{600};
/// Retry delay of a watcher that another one notifies when the store is reachable again. Only
/// needed if the notification is late or lost.
constexpr Core::Duration maximumNotifiedRetryDelay{3'000};
/// Wait of the first watch after a failure. Short, so that its answer shows soon that the store is
/// back.
constexpr Core::Duration firstWatchTimeout{20};
/// Minimum interval between two watches if the first returned changes. When all proxies of a large
/// fleet register at once, each proxy would otherwise make one call per registration.
constexpr Core::Duration minimumWatchInterval{200};
/// Maximum of the interval, which doubles while changes go on; a third of the time in which the
/// users expect a configuration to be in force.
constexpr Core::Duration maximumWatchInterval{1'000};

} // namespace

StoreWatcher::StoreWatcher(Core::Duration wait)
    : wait_(wait)
    , interval_(minimumWatchInterval)
{ }

StoreWatcher::Call StoreWatcher::next() const
{
    if (isListing_)
        return List{after_};
    return Watch{since_, effectiveWait()};
}

Core::Duration StoreWatcher::effectiveWait() const
{
    return delay_ == Core::Duration() ? wait_ : firstWatchTimeout;
}

Core::Duration StoreWatcher::batchDelay(Core::Instant askedAt, Core::Instant now) const
{
    const Core::Instant earliest = askedAt + interval_;
    return isListing_ || now >= earliest ? Core::Duration() : earliest - now;
}

Core::Duration StoreWatcher::timeout() const
{
    return isListing_ ? answerTimeout : effectiveWait() + answerTimeout;
}

RelayQuestion StoreWatcher::makeRelayQuestion(ObjectKind kind) const
{
    RelayQuestion question;
    question.kind = kind;
    question.form = isListing_ ? RelayQuestion::Form::List : RelayQuestion::Form::Watch;
    question.since = since_;
    question.acceptsDeltas = kind == ObjectKind::Configuration;
    question.wait = isListing_ ? listRelayHoldTimeout : relayHoldTimeout(kind);
    return question;
}

bool StoreWatcher::isFromOtherEra(Revision storeRevision) const
{
    const bool isFirstPage = isListing_ && after_.empty();
    return isFirstPage ? eraOf(storeRevision) < eraOf(since_)
                       : eraOf(storeRevision) != eraOf(since_);
}

StoreWatcher::Position StoreWatcher::listed(std::string lastName, bool hasMore,
                                            Revision storeRevision)
{
    delay_ = {};
    // Changes made between two pages are returned by the watch, which starts from the revision of
    // the first page.
    if (after_.empty())
        since_ = storeRevision;
    if (hasMore) {
        after_ = std::move(lastName);
        return Position::Partial;
    }
    after_.clear();
    isListing_ = false;
    return Position::Complete;
}

void StoreWatcher::changed(Revision storeRevision, bool hasChanges)
{
    delay_ = {};
    if (!hasChanges)
        interval_ = minimumWatchInterval;
    else
        interval_ = std::min(interval_ * 2, maximumWatchInterval);
    since_ = storeRevision;
}

Core::Instant StoreWatcher::confirmedAt(Core::Instant askedAt, bool hasChanges,
                                        Core::Instant now) const
{
    const Core::Instant heldUntil = askedAt + wait_ - clockTolerance;
    return hasChanges || now < heldUntil ? askedAt : heldUntil;
}

void StoreWatcher::restart()
{
    isListing_ = true;
    after_.clear();
}

void StoreWatcher::failed()
{
    after_.clear();
    if (probing_ == Probing::No) {
        delay_ = maximumNotifiedRetryDelay;
        return;
    }
    delay_ =
        delay_ == Core::Duration() ? initialRetryDelay : std::min(delay_ * 2, maximumRetryDelay);
}

} // namespace Chervilpin::Fleet
