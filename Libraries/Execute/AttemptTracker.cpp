#include <Execute/AttemptTracker.h>

#include <Core/Verify.h>

#include <algorithm>

namespace Chervilpin::Execute {

namespace {

using Engine::RefusalReason;
using Engine::RequestKind;

/// Excluding more databases would leave a group of three with no candidate.
constexpr std::size_t maximumExcluded = 2;

/// Whether another attempt can have a different result.
bool isRetryable(Upstream::Reason reason, RequestKind kind)
{
    switch (reason) {
    case Upstream::Reason::Superseded:
    case Upstream::Reason::NotPrimary:
    case Upstream::Reason::Behind:
        return true;
    case Upstream::Reason::None:
    case Upstream::Reason::NoTransaction:
    case Upstream::Reason::BadStatement:
        return false;
    case Upstream::Reason::Overloaded:
        // Another database may have capacity for a read, but there is only one primary.
        return kind == RequestKind::Read;
    }
    return false;
}

RefusalReason refusalFor(Upstream::Reason reason)
{
    switch (reason) {
    case Upstream::Reason::Superseded:
    case Upstream::Reason::NotPrimary:
        return RefusalReason::NoPrimary;
    case Upstream::Reason::Behind:
        return RefusalReason::NotFreshEnough;
    case Upstream::Reason::NoTransaction:
        return RefusalReason::TransactionEnded;
    case Upstream::Reason::BadStatement:
        return RefusalReason::BadRequest;
    case Upstream::Reason::Overloaded:
        return RefusalReason::QueueFull;
    case Upstream::Reason::None:
        return RefusalReason::UpstreamFailed;
    }
    return RefusalReason::UpstreamFailed;
}

} // namespace

AttemptTracker::AttemptTracker(StatementTraits traits, RetryPolicy policy)
    : traits_(traits)
    , policy_(policy)
{ }

AttemptId AttemptTracker::sent(const Core::DatabaseName &database, Core::Instant)
{
    ++tryCount_;
    attempts_.push_back({database, AttemptState::Open});
    return attempts_.size() - 1;
}

AttemptStep AttemptTracker::notSent(const Core::DatabaseName &database, RetryContext &context,
                                    Core::Instant now)
{
    if (isFinished_ || isDelivered_)
        return KeepWaiting{};
    ++tryCount_;
    exclude(database);
    return retryOrFinish(RefusalReason::NoPrimary, context, now);
}

AttemptStep AttemptTracker::notSent(AttemptId attempt, RetryContext &context, Core::Instant now)
{
    VERIFY(attempt < attempts_.size());
    attempts_[attempt].state = AttemptState::Settled;
    if (isFinished_ || isDelivered_ || hasAttemptIn(AttemptState::Open))
        return KeepWaiting{};
    exclude(attempts_[attempt].database);
    return retryOrFinish(RefusalReason::NoPrimary, context, now);
}

AttemptStep AttemptTracker::answered(AttemptId attempt, Upstream::Verdict verdict,
                                     Upstream::Reason reason, RetryContext &context,
                                     Core::Instant now)
{
    VERIFY(attempt < attempts_.size());
    if (attempts_[attempt].state == AttemptState::Settled)
        return KeepWaiting{};
    attempts_[attempt].state = AttemptState::Settled;
    if (isFinished_ || isDelivered_)
        return KeepWaiting{};
    switch (verdict) {
    case Upstream::Verdict::Done:
        isDelivered_ = true;
        return Deliver{attempt};
    case Upstream::Verdict::Failed:
        return finish(RefusalReason::UpstreamFailed, Core::Duration(0));
    case Upstream::Verdict::NotRun:
        return handleNotRun(attempt, reason, context, now);
    }
    return KeepWaiting{};
}

AttemptStep AttemptTracker::lost(AttemptId attempt, RetryContext &context, Core::Instant now)
{
    VERIFY(attempt < attempts_.size());
    if (attempts_[attempt].state != AttemptState::Open)
        return KeepWaiting{};
    attempts_[attempt].state = AttemptState::Lost;
    if (isFinished_ || isDelivered_ || hasAttemptIn(AttemptState::Open))
        return KeepWaiting{};
    exclude(attempts_[attempt].database);
    if (!canRepeatLost())
        return finish(RefusalReason::AnswerLost, Core::Duration(0));
    return retryOrFinish(RefusalReason::AnswerLost, context, now);
}

AttemptStep AttemptTracker::rejected(AttemptId attempt, RetryContext &context, Core::Instant now)
{
    VERIFY(attempt < attempts_.size());
    VERIFY(traits_.kind == RequestKind::Read || traits_.kind == RequestKind::Begin);
    if (isFinished_)
        return KeepWaiting{};
    isDelivered_ = false;
    exclude(attempts_[attempt].database);
    if (hasAttemptIn(AttemptState::Open))
        return KeepWaiting{};
    return retryOrFinish(RefusalReason::NotFreshEnough, context, now);
}

AttemptStep AttemptTracker::refused(RefusalReason reason, Core::Duration retryAfter, Core::Instant)
{
    if (isFinished_ || isDelivered_ || hasAttemptIn(AttemptState::Open))
        return KeepWaiting{};
    return finish(reason, retryAfter);
}

AttemptStep AttemptTracker::tick(Core::Instant now)
{
    if (isFinished_ || isDelivered_ || now < traits_.deadline)
        return KeepWaiting{};
    return finish(RefusalReason::DeadlinePassed, Core::Duration(0));
}

bool AttemptTracker::mayHedge() const
{
    return traits_.kind == RequestKind::Read && traits_.pinning == Pinning::Free && !isFinished_
        && !isDelivered_ && attempts_.size() == 1 && attempts_.front().state == AttemptState::Open;
}

bool AttemptTracker::hasAttemptIn(AttemptState state) const
{
    return std::ranges::any_of(attempts_,
                               [&](const Attempt &attempt) { return attempt.state == state; });
}

bool AttemptTracker::canRepeatLost() const
{
    if (traits_.guard == RepeatGuard::Off)
        return true;
    if (traits_.pinning == Pinning::Transaction)
        return false;
    switch (traits_.kind) {
    case RequestKind::Read:
    case RequestKind::Begin:
        // Closing the connection rolls back a transaction whose BEGIN was not answered.
        return true;
    case RequestKind::Write:
        return traits_.repeatability == Engine::Repeatability::Idempotent;
    case RequestKind::Commit:
    case RequestKind::Rollback:
        return false;
    }
    return false;
}

AttemptStep AttemptTracker::handleNotRun(AttemptId attempt, Upstream::Reason reason,
                                         RetryContext &context, Core::Instant now)
{
    if (hasAttemptIn(AttemptState::Open))
        return KeepWaiting{};
    if (reason == Upstream::Reason::Behind || reason == Upstream::Reason::Overloaded)
        exclude(attempts_[attempt].database);
    const RefusalReason refusal = refusalFor(reason);
    if (traits_.pinning == Pinning::Transaction || !isRetryable(reason, traits_.kind))
        return finish(refusal, traits_.retryAfter);
    return retryOrFinish(refusal, context, now);
}

AttemptStep AttemptTracker::retryOrFinish(RefusalReason reason, RetryContext &context,
                                          Core::Instant now)
{
    if (traits_.pinning == Pinning::Transaction)
        return finish(reason, traits_.retryAfter);
    const auto delay =
        policy_.nextDelay(tryCount_, lastDelay_, traits_.deadline, now, context.random);
    if (!delay || !context.budget.tryTake(now))
        return finish(reason, traits_.retryAfter);
    lastDelay_ = *delay;
    return Retry{*delay, excluded_};
}

AttemptStep AttemptTracker::finish(RefusalReason reason, Core::Duration retryAfter)
{
    isFinished_ = true;
    const bool mayHaveRun = hasAttemptIn(AttemptState::Open) || hasAttemptIn(AttemptState::Lost);
    // The database ran a failed statement, though without effect, so NotRun would be wrong.
    const bool isFailed = reason == RefusalReason::UpstreamFailed;
    if (mayHaveRun && traits_.guard == RepeatGuard::On) {
        const bool isDeadline = reason == RefusalReason::DeadlinePassed;
        return Finish{Core::Outcome::Unknown, isDeadline ? RefusalReason::AnswerLost : reason,
                      Core::Duration(0)};
    }
    if (isFailed)
        return Finish{Core::Outcome::Unknown, reason, Core::Duration(0)};
    return Finish{Core::Outcome::NotRun, reason, retryAfter};
}

void AttemptTracker::exclude(const Core::DatabaseName &database)
{
    std::erase(excluded_, database);
    excluded_.push_back(database);
    if (excluded_.size() > maximumExcluded)
        excluded_.erase(excluded_.begin());
}

} // namespace Chervilpin::Execute
