#include <Execute/AttemptTracker.h>

#include <CppUTest/TestHarness.h>
#include <variant>
#include <vector>

using namespace Chervilpin;
using namespace Chervilpin::Execute;
using Core::Instant;
using Core::Outcome;
using Engine::RefusalReason;
using Engine::Repeatability;
using Engine::RequestKind;
using Upstream::Reason;
using Upstream::Verdict;

namespace {

const Core::DatabaseName database("registry-1-a");
const Instant start(1000);
const Instant deadline(2000);

enum class Event {
    Lost,
    NotSent,
    SendFailed,
    Rejected,
    Superseded,
    Behind,
    BadStatement,
    Overloaded,
    NoTransaction,
    Failed,
    Done,
    Refused,
    Deadline,
};

enum class Expected {
    Wait,
    Retry,
    Deliver,
    NotRun,
    Unknown,
};

Reason reasonOf(Event event)
{
    switch (event) {
    case Event::Superseded:
        return Reason::Superseded;
    case Event::Behind:
        return Reason::Behind;
    case Event::BadStatement:
        return Reason::BadStatement;
    case Event::Overloaded:
        return Reason::Overloaded;
    case Event::NoTransaction:
        return Reason::NoTransaction;
    default:
        return Reason::None;
    }
}

Verdict verdictOf(Event event)
{
    if (event == Event::Done)
        return Verdict::Done;
    return event == Event::Failed ? Verdict::Failed : Verdict::NotRun;
}

AttemptStep reject(AttemptTracker &tracker, RetryContext &context, AttemptId attempt)
{
    const auto step = tracker.answered(attempt, Verdict::Done, Reason::None, context, start);
    CHECK(std::holds_alternative<Deliver>(step));
    return tracker.rejected(attempt, context, start);
}

/// Sends an attempt if the event needs one, then applies the event to it.
AttemptStep apply(AttemptTracker &tracker, RetryContext &context, Event event)
{
    if (event == Event::NotSent)
        return tracker.notSent(database, context, start);
    if (event == Event::Refused)
        return tracker.refused(RefusalReason::NoPrimary, Core::Duration(250), start);
    const AttemptId attempt = tracker.sent(database, start);
    if (event == Event::SendFailed)
        return tracker.notSent(attempt, context, start);
    if (event == Event::Rejected)
        return reject(tracker, context, attempt);
    if (event == Event::Lost)
        return tracker.lost(attempt, context, start);
    if (event == Event::Deadline)
        return tracker.tick(deadline);
    return tracker.answered(attempt, verdictOf(event), reasonOf(event), context, start);
}

Expected classify(const AttemptStep &step)
{
    if (const auto *const finish = std::get_if<Finish>(&step))
        return finish->outcome == Outcome::NotRun ? Expected::NotRun : Expected::Unknown;
    if (std::holds_alternative<Retry>(step))
        return Expected::Retry;
    return std::holds_alternative<Deliver>(step) ? Expected::Deliver : Expected::Wait;
}

struct Case
{
    RequestKind kind;
    Repeatability repeatability;
    Pinning pinning;
    std::vector<Event> events;
    Expected lastStep;
};

constexpr auto once = Repeatability::NotRepeatable;
constexpr auto idempotent = Repeatability::Idempotent;
constexpr auto alone = Pinning::Free;
constexpr auto pinned = Pinning::Transaction;

const Case cases[] = {
    // Attempts that did not run or had no effect are retried, also those that must not run twice.
    {RequestKind::Write, once, alone, {Event::Superseded}, Expected::Retry},
    {RequestKind::Write, once, alone, {Event::NotSent}, Expected::Retry},
    {RequestKind::Write, once, alone, {Event::SendFailed}, Expected::Retry},
    {RequestKind::Write, once, alone, {Event::SendFailed, Event::Refused}, Expected::NotRun},
    {RequestKind::Write, once, pinned, {Event::SendFailed}, Expected::NotRun},
    {RequestKind::Read, once, alone, {Event::Rejected}, Expected::Retry},
    {RequestKind::Read, once, alone, {Event::Rejected, Event::Done}, Expected::Deliver},
    {RequestKind::Begin, once, alone, {Event::Rejected}, Expected::Retry},
    {RequestKind::Write, once, alone, {Event::Superseded, Event::Done}, Expected::Deliver},
    {RequestKind::Read, once, alone, {Event::Behind}, Expected::Retry},
    {RequestKind::Read, once, alone, {Event::Overloaded}, Expected::Retry},
    // A lost answer is final for statements that must not run twice or are pinned.
    {RequestKind::Write, once, alone, {Event::Lost}, Expected::Unknown},
    {RequestKind::Write, once, alone, {Event::Superseded, Event::Lost}, Expected::Unknown},
    {RequestKind::Commit, idempotent, pinned, {Event::Lost}, Expected::Unknown},
    {RequestKind::Write, idempotent, pinned, {Event::Lost}, Expected::Unknown},
    {RequestKind::Read, once, pinned, {Event::Lost}, Expected::Unknown},
    // A lost idempotent write is retried; unless a retry succeeds, the outcome is unknown.
    {RequestKind::Write, idempotent, alone, {Event::Lost}, Expected::Retry},
    {RequestKind::Write, idempotent, alone, {Event::Lost, Event::Done}, Expected::Deliver},
    {RequestKind::Write, idempotent, alone, {Event::Lost, Event::Refused}, Expected::Unknown},
    {RequestKind::Write, idempotent, alone, {Event::Lost, Event::BadStatement}, Expected::Unknown},
    {RequestKind::Write, idempotent, alone, {Event::Lost, Event::Deadline}, Expected::Unknown},
    {RequestKind::Read, once, alone, {Event::Lost}, Expected::Retry},
    {RequestKind::Begin, once, alone, {Event::Lost}, Expected::Retry},
    // Refusals are final, without a retry.
    {RequestKind::Write, once, alone, {Event::Refused}, Expected::NotRun},
    {RequestKind::Write, once, alone, {Event::BadStatement}, Expected::NotRun},
    {RequestKind::Write, once, alone, {Event::Overloaded}, Expected::NotRun},
    {RequestKind::Write, once, alone, {Event::Superseded, Event::Refused}, Expected::NotRun},
    {RequestKind::Write, once, pinned, {Event::Superseded}, Expected::NotRun},
    {RequestKind::Commit, once, pinned, {Event::NoTransaction}, Expected::NotRun},
    {RequestKind::Write, once, alone, {Event::Deadline}, Expected::Unknown},
    // The database ran the statement, so NotRun would be wrong.
    {RequestKind::Write, once, alone, {Event::Failed}, Expected::Unknown},
};

AttemptTracker makeTracker(const Case &item, RepeatGuard guard = RepeatGuard::On)
{
    return {{.kind = item.kind,
             .repeatability = item.repeatability,
             .pinning = item.pinning,
             .deadline = deadline,
             .guard = guard},
            RetryPolicy({})};
}

} // namespace

TEST_GROUP(AttemptTracker){};

TEST(AttemptTracker, DecidesByWhatMayHaveRun)
{
    std::size_t number = 0;
    for (const Case &item : cases) {
        AttemptTracker tracker = makeTracker(item);
        RetryBudget budget({});
        Core::Random random(1);
        RetryContext context{budget, random};
        AttemptStep step;
        for (const Event event : item.events)
            step = apply(tracker, context, event);
        LONGS_EQUAL_TEXT(static_cast<int>(item.lastStep), static_cast<int>(classify(step)),
                         std::to_string(number).c_str());
        ++number;
    }
}

TEST(AttemptTracker, RetriesALostWriteWithoutTheGuard)
{
    const Case item{RequestKind::Write, once, alone, {}, Expected::Unknown};
    AttemptTracker tracker = makeTracker(item, RepeatGuard::Off);
    RetryBudget budget({});
    Core::Random random(1);
    RetryContext context{budget, random};
    CHECK(classify(apply(tracker, context, Event::Lost)) == Expected::Retry);
    CHECK(classify(apply(tracker, context, Event::Refused)) == Expected::NotRun);
}

TEST(AttemptTracker, AcceptsALateAnswerOfALostAttempt)
{
    AttemptTracker tracker = makeTracker({RequestKind::Write, idempotent, alone, {}, {}});
    RetryBudget budget({});
    Core::Random random(1);
    RetryContext context{budget, random};
    const AttemptId attempt = tracker.sent(database, start);
    CHECK(classify(tracker.lost(attempt, context, start)) == Expected::Retry);
    CHECK(classify(tracker.answered(attempt, Verdict::Done, Reason::None, context, start))
          == Expected::Deliver);
    CHECK(classify(tracker.answered(attempt, Verdict::Done, Reason::None, context, start))
          == Expected::Wait);
}

TEST(AttemptTracker, DeliversOneOfTwoHedgedReads)
{
    AttemptTracker tracker = makeTracker({RequestKind::Read, once, alone, {}, {}});
    RetryBudget budget({});
    Core::Random random(1);
    RetryContext context{budget, random};
    const AttemptId slow = tracker.sent(database, start);
    CHECK(tracker.mayHedge());
    const AttemptId fast = tracker.sent(Core::DatabaseName("registry-1-b"), start);
    CHECK(!tracker.mayHedge());
    CHECK(classify(tracker.lost(slow, context, start)) == Expected::Wait);
    CHECK(classify(tracker.answered(fast, Verdict::Done, Reason::None, context, start))
          == Expected::Deliver);
}

TEST(AttemptTracker, DoesNotHedgeWrites)
{
    AttemptTracker tracker = makeTracker({RequestKind::Write, idempotent, alone, {}, {}});
    CHECK_EQUAL(0, tracker.sent(database, start));
    CHECK(!tracker.mayHedge());
}

TEST(AttemptTracker, StopsRetryingWhenTheBudgetIsSpent)
{
    RetryBudget budget({.retriesPerRequest = 0.1, .maximumSaved = 2});
    Core::Random random(1);
    RetryContext context{budget, random};
    std::size_t retries = 0;
    for (int request = 0; request < 100; ++request) {
        budget.noteRequest(start);
        AttemptTracker tracker = makeTracker({RequestKind::Read, once, alone, {}, {}});
        if (classify(apply(tracker, context, Event::Lost)) == Expected::Retry)
            ++retries;
    }
    // 10 of 100 requests by the ratio, and the 2 retries that the budget starts with.
    CHECK(retries >= 10 && retries <= 12);
}
