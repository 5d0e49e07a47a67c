#include <Fleet/StoreFeed.h>

#include <Fleet/RelayTiming.h>

#include <algorithm>

namespace Chervilpin::Fleet {

namespace {

/// How long a call may take beside its own wait. The store answers in 4 ms, and at times a hundred
/// times slower.
constexpr Core::Duration answerTime{1'200};
/// The store's clock may run a little faster than the own.
constexpr Core::Duration clockTolerance{100};
constexpr Core::Duration firstDelay{150};
/// Bounds the calls that an unreachable store is charged with, and how late its return is noticed.
constexpr Core::Duration longestDelay{600};
/// The same for feeds that are told by another one; its word may be late or lost.
constexpr Core::Duration longestUntoldDelay{3'000};
/// The first watch after a failure is held back no longer than this, so that the store's return is
/// noticed by its answer.
constexpr Core::Duration firstWatchWait{20};
/// Between two watches, the second of which follows a change. When all proxies of a large fleet
/// register at once, each would otherwise make a call for each of them.
constexpr Core::Duration firstInterval{200};
/// While changes go on, the interval doubles up to this; a third of the time in which the users
/// expect a configuration to be in force.
constexpr Core::Duration longestInterval{1'000};

} // namespace

StoreFeed::StoreFeed(Core::Duration wait)
    : wait_(wait)
    , interval_(firstInterval)
{ }

StoreFeed::Call StoreFeed::next() const
{
    if (isListing_)
        return List{after_};
    return Watch{since_, watchWait()};
}

Core::Duration StoreFeed::watchWait() const
{
    return delay_ == Core::Duration() ? wait_ : firstWatchWait;
}

Core::Duration StoreFeed::pause(Core::Instant askedAt, Core::Instant now) const
{
    const Core::Instant earliest = askedAt + interval_;
    return isListing_ || now >= earliest ? Core::Duration() : earliest - now;
}

Core::Duration StoreFeed::timeout() const
{
    return isListing_ ? answerTime : watchWait() + answerTime;
}

RelayQuestion StoreFeed::question(ObjectKind kind) const
{
    RelayQuestion question;
    question.kind = kind;
    question.form = isListing_ ? RelayQuestion::Form::List : RelayQuestion::Form::Watch;
    question.since = since_;
    question.wait = isListing_ ? listRelayWait : relayWait(kind);
    return question;
}

StoreFeed::Position StoreFeed::listed(std::string lastName, bool hasMore, Revision storeRevision)
{
    delay_ = {};
    // Changes made between two pages are seen by the watch, which starts from the first page.
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

void StoreFeed::changed(Revision storeRevision, bool hasChanges)
{
    delay_ = {};
    if (!hasChanges)
        interval_ = firstInterval;
    else
        interval_ = std::min(interval_ * 2, longestInterval);
    since_ = storeRevision;
}

Core::Instant StoreFeed::confirmedAt(Core::Instant askedAt, bool hasChanges,
                                     Core::Instant now) const
{
    const Core::Instant heldUntil = askedAt + wait_ - clockTolerance;
    return hasChanges || now < heldUntil ? askedAt : heldUntil;
}

void StoreFeed::restart()
{
    isListing_ = true;
    after_.clear();
}

void StoreFeed::failed()
{
    after_.clear();
    if (probing_ == Probing::No) {
        delay_ = longestUntoldDelay;
        return;
    }
    delay_ = delay_ == Core::Duration() ? firstDelay : std::min(delay_ * 2, longestDelay);
}

} // namespace Chervilpin::Fleet
