#include <Route/ReadVerification.h>

#include <Route/Containment.h>

namespace Chervilpin::Route {

namespace {

/// Instants are truncated to milliseconds, so a difference can be too small by almost 1 ms.
constexpr Core::Duration clockResolution{1};

bool isPrimaryOf(const Upstream::Status &status, Core::Term term)
{
    return status.role == Upstream::Role::Primary && status.knownTerm == term
        && status.held.term == term;
}

/// Whether no later primary can have acknowledged anything that the sample lacks.
bool isCurrent(const ReadDemand &demand, const GroupView &view, ReadGuard guard)
{
    return guard == ReadGuard::WithoutCurrency || view.wasCurrentAfter(demand.term, demand.arrived);
}

bool isWithinMaximumAge(const ReadDemand &demand, const Stamp &asked, const GroupView &view,
                        Core::Instant now, ReadGuard guard)
{
    const Core::Instant oldest = now + clockResolution - demand.maximumAge;
    const bool isOwnSample = demand.origin == SampleOrigin::OwnAnswer;
    const Core::Instant sampledAt = isOwnSample ? asked.at : demand.sampledAt;
    if (sampledAt < oldest)
        return false;
    return guard == ReadGuard::WithoutCurrency || view.wasCurrentSince(demand.term, oldest);
}

ReadVerdict verifyStrong(const ReadDemand &demand, const Upstream::Status &status,
                         const GroupView &view, ReadGuard guard)
{
    // A promotion could discard these entries, so the caller must not see them.
    if (view.canNeverBeHeldByMajority(status.held))
        return ReadVerdict::Reject;
    if (view.isHeldByMajority(status.held) && isCurrent(demand, view, guard))
        return ReadVerdict::Release;
    return ReadVerdict::Confirm;
}

} // namespace

ReadVerdict verifyRead(const ReadDemand &demand, const Upstream::Status &status, const Stamp &asked,
                       const GroupView &view, Core::Instant now, ReadGuard guard)
{
    if (guard == ReadGuard::Off)
        return ReadVerdict::Release;
    if (!contains(status.held, markToCheck(demand, guard)))
        return ReadVerdict::Reject;
    if (demand.origin == SampleOrigin::OwnAnswer && !isPrimaryOf(status, demand.term))
        return ReadVerdict::Reject;
    // A slow strong read can exceed its stated age, so both are checked.
    const bool hasMaximumAge =
        demand.freshness == Engine::Freshness::StatedAge || demand.maximumAge > Core::Duration(0);
    if (hasMaximumAge && !isWithinMaximumAge(demand, asked, view, now, guard))
        return ReadVerdict::Reject;
    if (demand.freshness == Engine::Freshness::Strong)
        return verifyStrong(demand, status, view, guard);
    return ReadVerdict::Release;
}

Core::LogMark markToCheck(const ReadDemand &demand, ReadGuard guard)
{
    switch (guard) {
    case ReadGuard::On:
    case ReadGuard::WithoutCurrency:
        return demand.mark;
    case ReadGuard::WithoutTerms:
        return {0, demand.mark.position};
    case ReadGuard::Off:
        break;
    }
    return {};
}

Core::LogMark coveredMark(const ReadDemand &demand, const Upstream::Status &status)
{
    return demand.origin == SampleOrigin::OwnAnswer ? status.held : demand.mark;
}

} // namespace Chervilpin::Route
