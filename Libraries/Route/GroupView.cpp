#include <Route/GroupView.h>

#include <Route/Containment.h>

#include <algorithm>
#include <utility>

namespace Chervilpin::Route {

namespace {
constexpr std::size_t maximumPrimariesKept = 6;
/// Represents a wait without a known bound.
constexpr Core::Duration unboundedWait{3'600'000};
} // namespace

GroupView::GroupView(Core::GroupName group, const std::vector<Core::DatabaseName> &databases)
    : group_(std::move(group))
{
    setDatabases(databases, Core::Instant());
}

void GroupView::setDatabases(const std::vector<Core::DatabaseName> &databases, Core::Instant)
{
    std::erase_if(databases_, [&](const auto &entry) {
        return std::ranges::find(databases, entry.first) == databases.end();
    });
    for (const Core::DatabaseName &database : databases)
        databases_.try_emplace(database, database);
}

void GroupView::observe(const Core::DatabaseName &database, const Upstream::Status &status,
                        const Stamp &asked, Core::Instant now)
{
    DatabaseView *const view = find(database);
    if (view == nullptr)
        return;
    const bool isPrimary =
        status.role == Upstream::Role::Primary && status.held.term == status.knownTerm;
    if (isPrimary)
        recordPrimarySample(database, {asked, status.held});
    else
        updateCatchUpDelay(*view, status, now);
    view->observe(status, asked, now);
}

void GroupView::setReachability(const Core::DatabaseName &database, Reachability reachability,
                                Core::Instant now)
{
    if (DatabaseView *const view = find(database))
        view->setReachability(reachability, now);
}

void GroupView::started(const Core::DatabaseName &database, Core::Instant now)
{
    if (DatabaseView *const view = find(database))
        view->started(now);
}

void GroupView::finished(const Core::DatabaseName &database, Core::Duration latency,
                         Core::Instant now)
{
    if (DatabaseView *const view = find(database))
        view->finished(latency, now);
}

void GroupView::wasBehind(const Core::DatabaseName &database, Core::Duration wait, Core::Instant)
{
    if (DatabaseView *const view = find(database))
        view->wasBehind(wait);
}

Core::Term GroupView::highestKnownTerm() const
{
    Core::Term highest = 0;
    for (const auto &[name, view] : databases_)
        highest = std::max(highest, view.evidence().highestKnownTerm());
    return highest;
}

std::optional<Primary> GroupView::primary() const
{
    std::optional<Primary> found;
    for (const auto &[name, view] : databases_) {
        if (view.isPrimary() && (!found || view.status()->held.term > found->term))
            found = Primary{name, view.status()->held.term};
    }
    if (found && isFencedAbove(found->term))
        return std::nullopt;
    return found;
}

bool GroupView::isFencedAbove(Core::Term term) const
{
    const auto fenced = std::ranges::count_if(databases_, [&](const auto &entry) {
        return entry.second.evidence().highestKnownTerm() > term;
    });
    return std::cmp_greater_equal(fenced, majority());
}

bool GroupView::isHeldByMajority(Core::LogMark mark) const
{
    const auto primary = primaryOfTerm_.find(mark.term);
    std::size_t holding = 0;
    bool isPrimaryCounted = false;
    for (const auto &[name, view] : databases_) {
        if (!view.evidence().held(mark))
            continue;
        ++holding;
        isPrimaryCounted =
            isPrimaryCounted || (primary != primaryOfTerm_.end() && primary->second == name);
    }
    // Replicas receive an entry from the primary of its term, which therefore holds it too.
    if (holding > 0 && !isPrimaryCounted && primary != primaryOfTerm_.end()
        && databases_.contains(primary->second)) {
        ++holding;
    }
    return holding >= majority();
}

bool GroupView::canNeverBeHeldByMajority(Core::LogMark mark) const
{
    const auto lost = std::ranges::count_if(
        databases_, [&](const auto &entry) { return entry.second.evidence().canNeverHold(mark); });
    return databases_.size() - static_cast<std::size_t>(lost) < majority();
}

bool GroupView::wasCurrentAfter(Core::Term term, const Stamp &since) const
{
    const auto unfenced = std::ranges::count_if(databases_, [&](const auto &entry) {
        return entry.second.evidence().wasUnfencedAfter(term, since);
    });
    return std::cmp_greater_equal(unfenced, majority());
}

bool GroupView::wasCurrentSince(Core::Term term, Core::Instant since) const
{
    const auto unfenced = std::ranges::count_if(databases_, [&](const auto &entry) {
        return entry.second.evidence().wasUnfencedSince(term, since);
    });
    return std::cmp_greater_equal(unfenced, majority());
}

Core::Duration GroupView::expectedWait(const Core::DatabaseName &database, Core::LogMark mark,
                                       Core::Instant now) const
{
    const DatabaseView *const view = find(database);
    if (view == nullptr || !view->status())
        return unboundedWait;
    if (contains(view->status()->held, mark))
        return Core::Duration(0);
    if (view->status()->held.term > mark.term || view->isPrimary())
        return unboundedWait;
    if (contains(view->predictedHeld(now), mark))
        return Core::Duration(1);
    const Core::Instant seen = samples_.firstSeen(mark).value_or(now);
    return std::max(Core::Duration(1), seen + view->catchUpDelay() - now);
}

void GroupView::recordPrimarySample(const Core::DatabaseName &database, const Sample &sample)
{
    samples_.add(sample);
    primaryOfTerm_.try_emplace(sample.mark.term, database);
    if (primaryOfTerm_.size() > maximumPrimariesKept)
        primaryOfTerm_.erase(primaryOfTerm_.begin());
}

void GroupView::updateCatchUpDelay(DatabaseView &view, const Upstream::Status &status,
                                   Core::Instant now) const
{
    if (!view.status() || status.held <= view.status()->held)
        return;
    const auto written = samples_.firstSeen(status.held);
    if (!written)
        return;
    // The replica reached the mark at an unknown time after its last status.
    const Core::Duration least = std::max(Core::Duration(0), view.statusSeen() - *written);
    view.caughtUpBetween(least, now - *written);
}

const DatabaseView *GroupView::find(const Core::DatabaseName &database) const
{
    const auto found = databases_.find(database);
    return found == databases_.end() ? nullptr : &found->second;
}

DatabaseView *GroupView::find(const Core::DatabaseName &database)
{
    const auto found = databases_.find(database);
    return found == databases_.end() ? nullptr : &found->second;
}

} // namespace Chervilpin::Route
