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

/// Counts the attempts of one statement, from 0.
using AttemptId = std::size_t;

/// Whether a statement runs by itself or on the connection of a transaction.
enum class Pinning {
    Free,
    Transaction, ///< Must run on its transaction's connection; never goes elsewhere.
};

/// The guard against repeating what may have run. Off only in tests.
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
    Core::Duration retryAfter{250}; ///< The hint given with refusals.
    RepeatGuard guard = RepeatGuard::On;
};

/// Nothing to do before the next event.
struct KeepWaiting
{ };

/// Route and send again after a delay, preferably not to the databases named.
struct Retry
{
    Core::Duration after;
    std::vector<Core::DatabaseName> excluded;
};

/// The answer of this attempt is the one to verify, confirm and hand to the caller.
struct Deliver
{
    AttemptId attempt = 0;
};

/// Answer the caller now.
struct Finish
{
    Core::Outcome outcome = Core::Outcome::NotRun;
    Engine::RefusalReason reason = Engine::RefusalReason::None;
    Core::Duration retryAfter;
};

/// What a decision to retry draws on.
struct RetryContext
{
    RetryBudget &budget; ///< Of the team on the group.
    Core::Random &random;
};

using AttemptStep = std::variant<KeepWaiting, Retry, Deliver, Finish>;

/// Follows the attempts of one statement and decides after each event what to do.
///
/// After Finish every further event is answered by KeepWaiting. After Deliver only rejected() is
/// followed. A late answer of a lost attempt can still bring Deliver, which cancels a pending
/// Retry.
class AttemptTracker
{
public:
    AttemptTracker(StatementTraits traits, RetryPolicy policy);

    /// The statement is about to be handed to a connection; from now on it may run.
    [[nodiscard]] AttemptId sent(const Core::DatabaseName &database, Core::Instant now);
    /// No connection to the database could be had in this round, so nothing was sent.
    [[nodiscard]] AttemptStep notSent(const Core::DatabaseName &database, RetryContext &context,
                                      Core::Instant now);
    /// No byte of the attempt left after all; the connection was gone.
    [[nodiscard]] AttemptStep notSent(AttemptId attempt, RetryContext &context, Core::Instant now);
    [[nodiscard]] AttemptStep answered(AttemptId attempt, Upstream::Verdict verdict,
                                       Upstream::Reason reason, RetryContext &context,
                                       Core::Instant now);
    /// The connection broke or stays silent; an answer may still come.
    [[nodiscard]] AttemptStep lost(AttemptId attempt, RetryContext &context, Core::Instant now);
    /// A delivered read was not proved fresh enough, or a transaction began where it must not.
    [[nodiscard]] AttemptStep rejected(AttemptId attempt, RetryContext &context, Core::Instant now);
    /// A module refused before anything was sent in this round. Final at once.
    [[nodiscard]] AttemptStep refused(Engine::RefusalReason reason, Core::Duration retryAfter,
                                      Core::Instant now);
    /// Ends the statement once its deadline came.
    [[nodiscard]] AttemptStep tick(Core::Instant now);

    /// Whether a second attempt may run beside an open one.
    [[nodiscard]] bool mayHedge() const;

private:
    enum class AttemptState {
        Open,    ///< Sent; it may have run.
        Lost,    ///< Open, and given up.
        Settled, ///< It ran and was answered, or had no effect.
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
