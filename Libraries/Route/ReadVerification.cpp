#include <Route/ReadVerification.h>

#include <Route/Containment.h>

namespace Chervilpin::Route {

namespace {

/// Instants are whole milliseconds, so that a difference may be short by almost one.
constexpr Core::Duration clockGrain{1};

bool isPrimaryOf(const Upstream::Status &status, Core::Term term)
{
    return status.role == Upstream::Role::Primary && status.knownTerm == term
        && status.held.term == term;
}

ReadVerdict verifyAge(const ReadDemand &demand, const Stamp &asked, const GroupView &view,
                      Core::Instant now)
{
    const Core::Instant oldest = now + clockGrain - demand.maximumAge;
    const bool isOwnSample = demand.origin == SampleOrigin::OwnAnswer;
    const Core::Instant sampledAt = isOwnSample ? asked.at : demand.sampledAt;
    if (sampledAt < oldest)
        return ReadVerdict::Reject;
    return view.wasCurrentSince(demand.term, oldest) ? ReadVerdict::Release : ReadVerdict::Reject;
}

ReadVerdict verifyStrong(const ReadDemand &demand, const Upstream::Status &status,
                         const GroupView &view)
{
    // The caller must not see entries that a promotion could drop.
    if (view.canNeverBeHeldByMajority(status.held))
        return ReadVerdict::Reject;
    if (view.isHeldByMajority(status.held) && view.wasCurrentAfter(demand.term, demand.arrived))
        return ReadVerdict::Release;
    return ReadVerdict::Confirm;
}

} // namespace

ReadVerdict verifyRead(const ReadDemand &demand, const Upstream::Status &status, const Stamp &asked,
                       const GroupView &view, Core::Instant now, ReadGuard guard)
{
    if (guard == ReadGuard::Off)
        return ReadVerdict::Release;
    if (!contains(status.held, demand.mark))
        return ReadVerdict::Reject;
    if (demand.origin == SampleOrigin::OwnAnswer && !isPrimaryOf(status, demand.term))
        return ReadVerdict::Reject;
    switch (demand.freshness) {
    case Engine::Freshness::Session:
        return ReadVerdict::Release;
    case Engine::Freshness::StatedAge:
        return verifyAge(demand, asked, view, now);
    case Engine::Freshness::Strong:
        return verifyStrong(demand, status, view);
    }
    return ReadVerdict::Reject;
}

} // namespace Chervilpin::Route
