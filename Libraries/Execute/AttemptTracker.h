#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Core/Outcome.h>
#include <Core/Random.h>
#include <Engine/CallerMessages.h>
#include <Execute/RetryBudget.h>
#include <Execute/RetryPolicy.h>
#include <Upstream/Messages.h>

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

namespace Chervilpin::Execute {

/// Index of an attempt of one statement, from 0.
using AttemptId = std::size_t;

/// Whether a statement may use any connection or is pinned to that of its transaction.
enum class Pinning {
    Free,
    Transaction, ///< Runs on its transaction's connection only, so it is never retried.
};

/// Prevents the retry of statements that may have run and must not run twice. Off only in tests.
enum class RepeatGuard {
    On,
    Off,
};

struct StatementTraits
{
    Engine::RequestKind kind = Engine::RequestKind::Read;
    Engine::Repeatability repeatability = Engine::Repeatability::NotRepeatable;
    Pinning pinning = Pinning::Free;
    Core::Instant deadline;
    Core::Duration retryAfter{250}; ///< Hint that is sent to the caller with a refusal.
    RepeatGuard guard = RepeatGuard::On;
};

/// No action until the next event.
struct KeepWaiting
{ };

/// Route and send again after a delay, avoiding the excluded databases if possible.
struct Retry
{
    Core::Duration after;
    std::vector<Core::DatabaseName> excluded;
};

/// Verify and confirm the answer of this attempt, then return it to the caller.
struct Deliver
{
    AttemptId attempt = 0;
};

/// Make no further attempt and return this outcome to the caller.
struct Finish
{
    Core::Outcome outcome = Core::Outcome::NotRun;
    Engine::RefusalReason reason = Engine::RefusalReason::None;
    Core::Duration retryAfter;
};

/// State outside the statement that a decision to retry consumes.
struct RetryContext
{
    RetryBudget &budget; ///< Budget of the team for the group.
    Core::Random &random;
};

using AttemptStep = std::variant<KeepWaiting, Retry, Deliver, Finish>;

/// Tracks the attempts of one statement and decides the next step after each event.
///
/// After Finish, every event returns KeepWaiting. After Deliver, only rejected() returns anything
/// else. A late answer to a lost attempt can still return Deliver, which cancels a pending Retry.
class AttemptTracker
{
public:
    AttemptTracker(StatementTraits traits, RetryPolicy policy);

    /// Records an attempt that is about to be written to a connection. From now on it may run.
    [[nodiscard]] AttemptId sent(const Core::DatabaseName &database, Core::Instant now);
    /// No connection to the database was available in this round, so nothing was sent.
    [[nodiscard]] AttemptStep notSent(const Core::DatabaseName &database, RetryContext &context,
                                      Core::Instant now);
    /// The connection had closed before any byte of the attempt was written.
    [[nodiscard]] AttemptStep notSent(AttemptId attempt, RetryContext &context, Core::Instant now);
    [[nodiscard]] AttemptStep answered(AttemptId attempt, Upstream::Verdict verdict,
                                       Upstream::Reason reason, RetryContext &context,
                                       Core::Instant now);
    /// The connection failed or timed out. An answer may still arrive.
    [[nodiscard]] AttemptStep lost(AttemptId attempt, RetryContext &context, Core::Instant now);
    /// The delivered answer can't be used: a read was not proved fresh enough, or a transaction
    /// began on an unsuitable database.
    [[nodiscard]] AttemptStep rejected(AttemptId attempt, RetryContext &context, Core::Instant now);
    /// The statement was refused before anything was sent in this round. Final, unless an attempt
    /// is still open.
    [[nodiscard]] AttemptStep refused(Engine::RefusalReason reason, Core::Duration retryAfter,
                                      Core::Instant now);
    /// Finishes the statement once its deadline has passed.
    [[nodiscard]] AttemptStep tick(Core::Instant now);

    /// Whether a second attempt may be sent while the first is open.
    [[nodiscard]] bool mayHedge() const;

private:
    enum class AttemptState {
        Open,    ///< Sent and unanswered; it may have run.
        Lost,    ///< Unanswered after a failure or timeout; it may have run.
        Settled, ///< Answered, or known not to have been sent.
    };
    struct Attempt
    {
        Core::DatabaseName database;
        AttemptState state = AttemptState::Open;
    };

    [[nodiscard]] bool hasAttemptIn(AttemptState state) const;
    [[nodiscard]] bool canRepeatLost() const;
    [[nodiscard]] AttemptStep handleNotRun(AttemptId attempt, Upstream::Reason reason,
                                           RetryContext &context, Core::Instant now);
    [[nodiscard]] AttemptStep retryOrFinish(Engine::RefusalReason reason, RetryContext &context,
                                            Core::Instant now);
    [[nodiscard]] AttemptStep finish(Engine::RefusalReason reason, Core::Duration retryAfter);
    void exclude(const Core::DatabaseName &database);

    StatementTraits traits_;
    RetryPolicy policy_;
    std::vector<Attempt> attempts_;
    std::vector<Core::DatabaseName> excluded_;
    std::uint32_t tryCount_ = 0;
    Core::Duration lastDelay_;
    bool isFinished_ = false;
    bool isDelivered_ = false;
};

} // namespace Chervilpin::Execute
