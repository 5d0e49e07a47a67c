#include <Sessions/SessionEngine.h>

#include <Sessions/Timing.h>

#include <algorithm>

/// Restrictions on the databases that may be used: evacuated data centres, the regions that a route
/// or team is limited to, and databases that are slow after their start.
namespace Chervilpin::Sessions {

namespace {

/// The part of the rate allowed for a cold database that its pooler uses. The rest covers further
/// statements of transactions and, while the proxies disagree on the members, a second pooler.
constexpr double coldRateFraction = 0.5;
/// Statements that a cold database may get at once after a pause.
constexpr double coldBurst = 1.0;

std::string joined(std::span<const Core::DataCentreName> names)
{
    std::string result;
    for (const auto &name : names)
        result += (result.empty() ? "" : ",") + name.value();
    return result;
}

} // namespace

void SessionEngine::evacuationsChanged(std::span<const Core::DataCentreName> dataCentres,
                                       Core::Instant now)
{
    evacuations_.replace(dataCentres, now);
    log(Importance::Always, "evacuations_in_force", {{"data_centres", joined(dataCentres)}});
    scheduleReview(std::max(now, evacuations_.nextStop()));
    dispatchAll(now);
}

void SessionEngine::reviewEvacuations(Core::Instant now)
{
    for (const auto &dataCentre : evacuations_.takeStopped(now)) {
        std::vector<Core::DatabaseName> names;
        for (const auto &[name, database] : databases_) {
            if (database.entry.dataCentre == dataCentre)
                names.push_back(name);
        }
        for (const auto &name : names)
            closeActiveConnections(name, "its data centre is being evacuated", now);
    }
    scheduleReview(evacuations_.nextStop());
}

bool SessionEngine::isInAllowedRegion(const Session &session,
                                      const Core::DataCentreName &dataCentre) const
{
    if (!isAnyRegionLimited_)
        return true;
    if (!regions_.isAllowed(session.route->permittedRegions, dataCentre))
        return false;
    const auto team = table_->teamRegions.find(session.team);
    return team == table_->teamRegions.end() || regions_.isAllowed(team->second, dataCentre);
}

bool SessionEngine::isRestricted(const Session &session, const Database &database, bool isPrimary,
                                 Core::Instant now) const
{
    const auto use = evacuations_.useOf(database.entry.dataCentre, now);
    const bool isEvacuated = use == EvacuationTable::Use::None
        || (use == EvacuationTable::Use::PrimaryOnly && !isPrimary);
    return isEvacuated || !isInAllowedRegion(session, database.entry.dataCentre);
}

bool SessionEngine::isOutsideAllowedRegions(const Session &session,
                                            const Placement::Requirement &need, const Group &group)
{
    if (need.isPrimaryOnly || !need.mark) {
        const Database *primary = findDatabase(group.primary);
        return primary && !isInAllowedRegion(session, primary->entry.dataCentre);
    }
    return !group.databases.empty()
        && std::ranges::none_of(group.databases, [&](const Core::DatabaseName &name) {
               return isInAllowedRegion(session, databases_.at(name).entry.dataCentre);
           });
}

double SessionEngine::coldRateOf(const Database &database, Core::Instant now) const
{
    if (now >= database.coldUntil)
        return 0;
    const auto limits = limitsOf(database);
    return limits ? limits->coldRatePerSecond * coldRateFraction : 0;
}

bool SessionEngine::isCold(const Database &database, Core::Instant now) const
{
    return coldRateOf(database, now) > 0;
}

bool SessionEngine::mayStartOnCold(Database &database, Core::Instant now)
{
    // One proxy keeps the rate for the whole fleet.
    const bool isOwnTask = memberCount_ == 1 || poolers_.isSelf(database.entry, now);
    return isOwnTask && database.coldPace.isReady(coldRateOf(database, now), coldBurst, now);
}

void SessionEngine::countColdStart(Database &database, Core::Instant now)
{
    const double rate = coldRateOf(database, now);
    if (rate > 0)
        (void)database.coldPace.take(rate, coldBurst, now);
}

} // namespace Chervilpin::Sessions
