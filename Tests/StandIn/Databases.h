#pragma once

#include <StandIn/DatabaseSession.h>
#include <StandIn/DatabaseState.h>

#include <string_view>

/// Makes databases and statements for tests.
namespace Chervilpin::StandIn {

inline DatabaseState::Settings settingsOf(std::string_view name, DatabaseRules rules = {})
{
    DatabaseState::Settings settings;
    settings.name = Core::DatabaseName(name);
    settings.primary = Core::DatabaseName("a");
    settings.role = name == "a" ? Upstream::Role::Primary : Upstream::Role::Replica;
    settings.rules = rules;
    return settings;
}

inline DatabaseState databaseOf(std::string_view name, DatabaseRules rules = {})
{
    return DatabaseState(settingsOf(name, rules));
}

inline Upstream::Statement statementOf(Upstream::StatementKind kind, Core::Term term,
                                       std::string_view text, std::string_view transaction = {})
{
    Upstream::Statement statement;
    statement.kind = kind;
    statement.term = term;
    statement.text = text;
    statement.transaction = transaction;
    return statement;
}

inline Upstream::Answer write(DatabaseState &database, Core::Term term, std::string_view text)
{
    DatabaseSession session;
    return session.execute(database, statementOf(Upstream::StatementKind::Write, term, text), {});
}

inline Upstream::Answer read(DatabaseState &database, Core::Term term, std::string_view key,
                             Core::LogMark atLeast = {})
{
    DatabaseSession session;
    auto statement = statementOf(Upstream::StatementKind::Read, term, "get " + std::string(key));
    statement.atLeast = atLeast;
    return session.execute(database, statement, {});
}

/// Pulls until nothing changes any more.
inline void replicate(DatabaseState &replica, const DatabaseState &primary)
{
    for (auto pull = replica.nextPull(); pull; pull = replica.nextPull()) {
        if (!replica.receive(primary.serve(*pull)))
            return;
    }
}

} // namespace Chervilpin::StandIn
