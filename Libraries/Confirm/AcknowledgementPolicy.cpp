#include <Confirm/AcknowledgementPolicy.h>

namespace Chervilpin::Confirm {

Judgement AcknowledgeAtCommit::judge(const Confirmable &, const Route::GroupView &) const
{
    return Judgement::Confirmed;
}

Judgement AcknowledgeAfterTermCheck::judge(const Confirmable &waiting,
                                           const Route::GroupView &view) const
{
    const auto database = view.databases().find(waiting.database);
    if (database == view.databases().end())
        return Judgement::Superseded;
    const Route::TermEvidence &evidence = database->second.evidence();
    if (evidence.wasUnfencedAfter(waiting.term, waiting.since))
        return Judgement::Confirmed;
    return evidence.highestKnownTerm() > waiting.term ? Judgement::Superseded : Judgement::Pending;
}

Judgement AcknowledgeAtMajority::judge(const Confirmable &waiting,
                                       const Route::GroupView &view) const
{
    // The mark of an answer in a later term does not give the log position of the write.
    if (waiting.kind == ConfirmationKind::Write && waiting.mark.term != waiting.term)
        return Judgement::Superseded;
    if (view.canNeverBeHeldByMajority(waiting.mark))
        return Judgement::Superseded;
    if (!view.isHeldByMajority(waiting.mark))
        return Judgement::Pending;
    if (waiting.kind == ConfirmationKind::Write)
        return Judgement::Confirmed;
    if (view.wasCurrentAfter(waiting.term, waiting.since))
        return Judgement::Confirmed;
    return view.isFencedAbove(waiting.term) ? Judgement::Superseded : Judgement::Pending;
}

} // namespace Chervilpin::Confirm
