#include <StandIn/DatabaseSession.h>

#include <StandIn/StatementText.h>

#include <array>
#include <utility>

namespace Chervilpin::StandIn {

using Upstream::Answer;
using Upstream::Reason;
using Upstream::Statement;
using Upstream::StatementKind;

std::string DatabaseSession::transactionName() const
{
    return transaction_ ? transaction_->name : std::string();
}

bool DatabaseSession::rollBackIfIdle(Core::Instant now)
{
    if (!transaction_ || transaction_->idle == Core::Duration())
        return false;
    if (now - lastUse_ < transaction_->idle)
        return false;
    transaction_.reset();
    return true;
}

void DatabaseSession::endWithTerm(const DatabaseState &state)
{
    const auto isOver = transaction_ && transaction_->term != state.status().knownTerm;
    if (isOver && state.rules().endsTransactions)
        transaction_.reset();
}

std::optional<Answer> DatabaseSession::refusal(const DatabaseState &state,
                                               const Statement &statement) const
{
    if (auto refused = state.refusal(statement))
        return refused;
    if (statement.kind == StatementKind::Begin) {
        if (transaction_)
            return state.notRun(Reason::BadStatement, "a transaction is open already");
        return std::nullopt;
    }
    const auto ends =
        statement.kind == StatementKind::Commit || statement.kind == StatementKind::Rollback;
    if (!transaction_ && (ends || !statement.transaction.empty()))
        return state.notRun(Reason::NoTransaction, "no such transaction on this connection");
    const auto isOther = transaction_ && !statement.transaction.empty()
        && statement.transaction != transaction_->name;
    if (isOther)
        return state.notRun(Reason::NoTransaction, "another transaction is open");
    return std::nullopt;
}

Answer DatabaseSession::execute(DatabaseState &state, const Statement &statement, Core::Instant now)
{
    rollBackIfIdle(now);
    endWithTerm(state);
    lastUse_ = now;
    if (auto refused = refusal(state, statement))
        return *refused;
    using Handler = Answer (DatabaseSession::*)(DatabaseState &, const Statement &);
    constexpr std::array<Handler, 5> handlers{
        &DatabaseSession::read,   &DatabaseSession::write,    &DatabaseSession::begin,
        &DatabaseSession::commit, &DatabaseSession::rollBack,
    };
    return (this->*handlers.at(static_cast<std::size_t>(statement.kind)))(state, statement);
}

Answer DatabaseSession::begin(DatabaseState &state, const Statement &statement)
{
    transaction_ =
        Transaction{statement.transaction, statement.term, statement.transactionIdle, {}};
    return state.done();
}

Answer DatabaseSession::commit(DatabaseState &state, const Statement &)
{
    const auto writes = std::exchange(transaction_, std::nullopt)->writes;
    return state.commit(writes);
}

Answer DatabaseSession::rollBack(DatabaseState &state, const Statement &)
{
    transaction_.reset();
    return state.done();
}

Answer DatabaseSession::read(DatabaseState &state, const Statement &statement)
{
    if (!transaction_)
        return state.read(statement.text);
    return state.read(statement.text, transaction_->writes);
}

Answer DatabaseSession::write(DatabaseState &state, const Statement &statement)
{
    const auto text = StatementText::create(statement.text);
    if (!text || text->verb == Verb::Get)
        return state.notRun(Reason::BadStatement, "not a write");
    if (!transaction_)
        return state.commit(std::array{statement.text});
    transaction_->writes.push_back(statement.text);
    return state.done();
}

} // namespace Chervilpin::StandIn
