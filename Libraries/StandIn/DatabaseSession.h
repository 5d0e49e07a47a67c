#pragma once

#include <Core/Milliseconds.h>
#include <StandIn/DatabaseState.h>
#include <Upstream/Messages.h>

#include <optional>
#include <string>
#include <vector>

namespace Chervilpin::StandIn {

/// What one database connection adds to its database: at most one open transaction.
///
/// Writes of a transaction are kept here until COMMIT appends them as one log entry, so dropping
/// the session rolls back.
class DatabaseSession
{
public:
    /// Runs one statement, which held a slot. A read that must wait for its mark is not given
    /// before DatabaseState::refusal() lets it pass, or its wait is over.
    [[nodiscard]] Upstream::Answer execute(DatabaseState &, const Upstream::Statement &,
                                           Core::Instant now);

    /// Tells that a statement arrived, so that the transaction isn't idle while it is queued.
    void touch(Core::Instant now) { lastUse_ = now; }

    /// Rolls back if the transaction was idle for its whole allowance. True if it did.
    bool rollBackIfIdle(Core::Instant now);

    [[nodiscard]] bool isInTransaction() const { return transaction_.has_value(); }
    /// The name given by BEGIN; empty without a transaction.
    [[nodiscard]] std::string transactionName() const;

private:
    struct Transaction
    {
        std::string name;
        Core::Term term = 0;
        Core::Duration idle; ///< Zero: no limit.
        std::vector<std::string> writes;
    };

    [[nodiscard]] std::optional<Upstream::Answer> refusal(const DatabaseState &,
                                                          const Upstream::Statement &) const;
    [[nodiscard]] Upstream::Answer begin(DatabaseState &, const Upstream::Statement &);
    [[nodiscard]] Upstream::Answer commit(DatabaseState &, const Upstream::Statement &);
    [[nodiscard]] Upstream::Answer rollBack(DatabaseState &, const Upstream::Statement &);
    [[nodiscard]] Upstream::Answer read(DatabaseState &, const Upstream::Statement &);
    [[nodiscard]] Upstream::Answer write(DatabaseState &, const Upstream::Statement &);
    void endWithTerm(const DatabaseState &);

    std::optional<Transaction> transaction_;
    Core::Instant lastUse_;
};

} // namespace Chervilpin::StandIn
