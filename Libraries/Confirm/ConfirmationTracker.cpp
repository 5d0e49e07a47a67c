#include <Confirm/ConfirmationTracker.h>

#include <algorithm>
#include <utility>

namespace Chervilpin::Confirm {

ConfirmationTracker::ConfirmationTracker(ConfirmationOptions options,
                                         std::unique_ptr<AcknowledgementPolicy> policy)
    : options_(options)
    , policy_(std::move(policy))
{ }

void ConfirmationTracker::track(const Confirmable &waiting, Core::Instant)
{
    waiting_.push_back(waiting);
}

void ConfirmationTracker::forget(ConfirmationId id, Core::Instant)
{
    std::erase_if(waiting_, [&](const Confirmable &waiting) { return waiting.id == id; });
}

ConfirmationResult ConfirmationTracker::review(const Route::GroupView &view, Core::Instant now)
{
    ConfirmationResult result;
    std::vector<Confirmable> stillWaiting;
    for (const Confirmable &waiting : waiting_) {
        const Judgement judgement = policy_->judge(waiting, view);
        if (judgement == Judgement::Confirmed)
            result.confirmed.push_back(waiting.id);
        else if (judgement == Judgement::Superseded)
            result.superseded.push_back(waiting.id);
        else if (now >= waiting.deadline)
            result.timedOut.push_back(waiting.id);
        else
            stillWaiting.push_back(waiting);
    }
    waiting_ = std::move(stillWaiting);
    return result;
}

std::vector<StatusRequest> ConfirmationTracker::neededQueries(const Route::GroupView &view,
                                                              Core::Instant now)
{
    std::vector<StatusRequest> requests;
    if (waiting_.empty())
        return requests;
    for (const auto &[name, database] : view.databases()) {
        if (!database.isReachable() || !canQuery(database, now))
            continue;
        const auto query = queryFor(database, now);
        if (!query)
            continue;
        queries_[name] = {.isOutstanding = true, .started = now, .atLeast = query->atLeast};
        requests.push_back({name, *query});
    }
    return requests;
}

void ConfirmationTracker::queryEnded(const Core::DatabaseName &database, QueryEnd end,
                                     Core::Instant)
{
    QueryState &state = queries_[database];
    state.isOutstanding = false;
    state.end = end;
}

ConfirmationTracker::Need ConfirmationTracker::need(const Confirmable &waiting,
                                                    const Route::DatabaseView &database)
{
    const Route::TermEvidence &evidence = database.evidence();
    const bool isUnattainable = evidence.canNeverHold(waiting.mark);
    if (!isUnattainable && !evidence.held(waiting.mark) && database.name() != waiting.database)
        return Need::Mark;
    if (waiting.kind == ConfirmationKind::Write)
        return Need::Nothing;
    const bool isFenced = evidence.highestKnownTerm() > waiting.term;
    if (isFenced || evidence.wasUnfencedAfter(waiting.term, waiting.since))
        return Need::Nothing;
    return Need::Term;
}

std::optional<Upstream::StatusQuery>
ConfirmationTracker::queryFor(const Route::DatabaseView &database, Core::Instant now) const
{
    std::optional<Upstream::StatusQuery> query;
    for (const Confirmable &waiting : waiting_) {
        const Need needed = need(waiting, database);
        if (needed == Need::Nothing)
            continue;
        if (needed == Need::Term)
            return Upstream::StatusQuery{};
        // The lowest mark is queried: the answer also shows any higher mark reached by then.
        if (query && query->atLeast <= waiting.mark)
            continue;
        const Core::Duration remaining = std::max(Core::Duration(0), waiting.deadline - now);
        query = {waiting.mark, std::min(options_.maximumQueryWait, remaining)};
    }
    return query;
}

bool ConfirmationTracker::canQuery(const Route::DatabaseView &database, Core::Instant now) const
{
    const auto found = queries_.find(database.name());
    if (found == queries_.end())
        return true;
    const QueryState &state = found->second;
    if (state.isOutstanding)
        return false;
    // Avoids a tight loop with a database that answers without waiting for the mark.
    const bool wasQueryForMark = state.atLeast != Core::LogMark{};
    const bool isMarkStillMissing = wasQueryForMark && !database.evidence().held(state.atLeast);
    if (state.end == QueryEnd::Answered && !isMarkStillMissing)
        return true;
    return now >= state.started + options_.minimumQueryInterval;
}

} // namespace Chervilpin::Confirm
