#include <Route/Router.h>

#include <Route/Containment.h>
#include <Route/ReplicaChoice.h>

#include <algorithm>

namespace Chervilpin::Route {

namespace {

bool isExcluded(const RouteRequest &request, const Core::DatabaseName &database)
{
    return std::ranges::find(request.excluded, database) != request.excluded.end();
}

std::optional<Primary> usablePrimary(const RouteRequest &request, const GroupView &view)
{
    auto primary = view.primary();
    if (!primary || isExcluded(request, primary->database))
        return std::nullopt;
    if (!view.databases().at(primary->database).isReachable())
        return std::nullopt;
    return primary;
}

bool needsStrong(const RouteRequest &request)
{
    // Without a readable token, the session's own writes are unknown.
    if (request.freshness == Engine::Freshness::Strong || !request.tokenMark)
        return true;
    return request.freshness == Engine::Freshness::StatedAge
        && request.maximumAge <= Core::Duration(0);
}

Core::Duration statedAge(const RouteRequest &request)
{
    const bool isStated = request.freshness == Engine::Freshness::StatedAge;
    return isStated ? request.maximumAge : Core::Duration(0);
}

bool isHeldByAny(const GroupView &view, Core::LogMark mark)
{
    return std::ranges::any_of(view.databases(), [&](const auto &entry) {
        const auto &status = entry.second.status();
        return status && contains(status->held, mark);
    });
}

} // namespace

Router::Router(RouterOptions options, const Core::Random &random)
    : options_(options)
    , random_(random)
{ }

RouteDecision Router::route(const RouteRequest &request, const GroupView &view, Core::Instant now)
{
    if (now >= request.deadline)
        return refuse(Engine::RefusalReason::DeadlinePassed);
    if (request.kind != Engine::RequestKind::Read)
        return routeToPrimary(request, view);
    if (needsStrong(request))
        return routeStrongRead(request, view, now);
    if (request.freshness == Engine::Freshness::StatedAge)
        return routeStatedAgeRead(request, view, now);
    return routeSessionRead(request, view, now);
}

RouteDecision Router::routeToPrimary(const RouteRequest &request, const GroupView &view) const
{
    const auto primary = usablePrimary(request, view);
    if (!primary)
        return refuse(Engine::RefusalReason::NoPrimary);
    return SendTo{.database = primary->database, .term = primary->term};
}

RouteDecision Router::routeSessionRead(const RouteRequest &request, const GroupView &view,
                                       Core::Instant now)
{
    const ReadDemand demand{.freshness = Engine::Freshness::Session,
                            .mark = *request.tokenMark,
                            .arrived = request.arrived};
    if (auto sent = sendToReplica(request, demand, view, now))
        return *sent;
    return sendReadToPrimary(request, demand, view, now);
}

RouteDecision Router::routeStrongRead(const RouteRequest &request, const GroupView &view,
                                      Core::Instant now)
{
    const auto primary = usablePrimary(request, view);
    if (mayUseReplicas(request)) {
        const auto sample = view.samples().latestAfter(request.arrived);
        if (sample && !view.isFencedAbove(sample->mark.term))
            return routeSampledRead(request, *sample, view, now);
        const auto replicas = eligibleReplicas(view, request.excluded, {}, Core::Duration(0), now);
        if (primary && !replicas.empty())
            return AwaitSample{primary->database};
    }
    if (!primary)
        return refuse(Engine::RefusalReason::NoPrimary);
    const ReadDemand demand{.freshness = Engine::Freshness::Strong,
                            .mark = request.tokenMark.value_or(Core::LogMark{}),
                            .term = primary->term,
                            .arrived = request.arrived,
                            .maximumAge = statedAge(request),
                            .origin = SampleOrigin::OwnAnswer};
    return sendReadToPrimary(request, demand, view, now);
}

RouteDecision Router::routeStatedAgeRead(const RouteRequest &request, const GroupView &view,
                                         Core::Instant now)
{
    const auto primary = usablePrimary(request, view);
    if (mayUseReplicas(request)) {
        const Core::Instant oldest = now + options_.serviceAllowance - request.maximumAge;
        const auto sample = view.samples().oldestSince(oldest);
        const auto latest = view.samples().latest();
        // The oldest sample requires the lowest mark. After a promotion, that mark may include
        // unacknowledged entries that no longer exist, so the latest sample is used instead.
        const bool isOutdated = sample && latest->mark.term > sample->mark.term;
        if (sample)
            return routeSampledRead(request, isOutdated ? *latest : *sample, view, now);
        const auto replicas = eligibleReplicas(view, request.excluded, {}, Core::Duration(0), now);
        const bool isWorthSampling = request.maximumAge > options_.serviceAllowance;
        if (primary && isWorthSampling && !replicas.empty())
            return AwaitSample{primary->database};
    }
    if (!primary)
        return refuse(Engine::RefusalReason::NotFreshEnough);
    const ReadDemand demand{.freshness = Engine::Freshness::StatedAge,
                            .mark = *request.tokenMark,
                            .term = primary->term,
                            .arrived = request.arrived,
                            .maximumAge = request.maximumAge,
                            .origin = SampleOrigin::OwnAnswer};
    return sendReadToPrimary(request, demand, view, now);
}

RouteDecision Router::routeSampledRead(const RouteRequest &request, const Sample &sample,
                                       const GroupView &view, Core::Instant now)
{
    const bool isStrong = request.freshness == Engine::Freshness::Strong || !request.tokenMark;
    ReadDemand demand{.freshness =
                          isStrong ? Engine::Freshness::Strong : Engine::Freshness::StatedAge,
                      .mark = sample.mark,
                      .term = sample.mark.term,
                      .arrived = request.arrived,
                      .sampledAt = sample.asked.at,
                      .maximumAge = statedAge(request)};
    const Core::LogMark tokenMark = request.tokenMark.value_or(Core::LogMark{});
    // If the terms differ, the higher term with the higher position covers both marks.
    demand.mark = {std::max(sample.mark.term, tokenMark.term),
                   std::max(sample.mark.position, tokenMark.position)};
    if (auto sent = sendToReplica(request, demand, view, now))
        return *sent;
    const auto primary = usablePrimary(request, view);
    if (primary) {
        demand.mark = tokenMark;
        demand.term = primary->term;
        demand.origin = SampleOrigin::OwnAnswer;
        return sendReadToPrimary(request, demand, view, now);
    }
    return refuse(Engine::RefusalReason::NotFreshEnough);
}

RouteDecision Router::sendReadToPrimary(const RouteRequest &request, ReadDemand demand,
                                        const GroupView &view, Core::Instant now) const
{
    const auto primary = usablePrimary(request, view);
    if (!primary)
        return refuse(Engine::RefusalReason::NoPrimary);
    const Core::LogMark held = view.databases().at(primary->database).status()->held;
    const Core::LogMark atLeast = markToCheck(demand, options_.guard);
    if (!contains(held, atLeast))
        return awaitFutureMark(request, view, now);
    return SendTo{.database = primary->database,
                  .term = primary->term,
                  .atLeast = atLeast,
                  .wait = Core::Duration(0),
                  .demand = demand};
}

RouteDecision Router::awaitFutureMark(const RouteRequest &request, const GroupView &view,
                                      Core::Instant now) const
{
    const auto primary = usablePrimary(request, view);
    if (!primary)
        return refuse(Engine::RefusalReason::NoPrimary);
    const Core::LogMark mark = *request.tokenMark;
    const auto sample = view.samples().latestAfter(request.arrived);
    if (!sample)
        return AwaitSample{primary->database};
    const bool isKnownToLack = sample->mark.term >= mark.term && !contains(sample->mark, mark);
    const bool isOutOfTime = now >= request.arrived.at + options_.futureMarkWait;
    if ((isKnownToLack || isOutOfTime) && !isHeldByAny(view, mark))
        return refuse(Engine::RefusalReason::NotFreshEnough);
    if (isOutOfTime)
        return refuse(Engine::RefusalReason::NotFreshEnough);
    return AwaitSample{primary->database};
}

std::optional<SendTo> Router::sendToReplica(const RouteRequest &request, const ReadDemand &demand,
                                            const GroupView &view, Core::Instant now)
{
    if (!mayUseReplicas(request))
        return std::nullopt;
    const Core::LogMark atLeast = markToCheck(demand, options_.guard);
    const Core::Duration wait = std::min(options_.catchUpWait, request.deadline - now);
    // A mark beyond all samples may be forged, but a write through another proxy looks the same.
    // Only the first attempt may therefore wait for it.
    const bool isBeyondSamples = atLeast > view.samples().highestMark().value_or(Core::LogMark{});
    const bool mayWait = !isBeyondSamples || request.excluded.empty();
    const Core::Duration maximumWait = mayWait ? wait : Core::Duration(0);
    const auto candidates = eligibleReplicas(view, request.excluded, atLeast, maximumWait, now);
    const auto chosen = chooseOfTwo(candidates, options_.probeOneIn, now, random_);
    if (!chosen)
        return std::nullopt;
    return SendTo{.database = chosen->view->name(),
                  .term = view.highestKnownTerm(),
                  .atLeast = atLeast,
                  .wait = wait,
                  .demand = demand};
}

bool Router::mayUseReplicas(const RouteRequest &request) const
{
    switch (options_.strategy) {
    case ReadStrategy::PrimaryOnly:
        return false;
    case ReadStrategy::TokenOnly:
        return request.freshness == Engine::Freshness::Session && request.tokenMark.has_value();
    case ReadStrategy::Full:
        return true;
    }
    return true;
}

Refuse Router::refuse(Engine::RefusalReason reason) const
{
    return {reason, options_.retryAfter};
}

} // namespace Chervilpin::Route
