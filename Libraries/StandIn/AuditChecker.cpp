#include <StandIn/AuditChecker.h>

#include <StandIn/LogEntryJson.h>
#include <StandIn/StatementText.h>

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <optional>
#include <set>

namespace Chervilpin::StandIn {

namespace {

std::string textAt(const boost::json::value &json, std::string_view field)
{
    return std::string(json.at(field).as_string());
}

AuditedStatement statementFrom(const boost::json::value &json)
{
    AuditedStatement statement;
    statement.connection = json.at("connection").to_number<std::uint64_t>();
    statement.transaction = textAt(json, "transaction");
    statement.openTransaction = textAt(json, "open_transaction");
    statement.text = textAt(json, "text");
    statement.isDone = textAt(json, "verdict") == "done";
    statement.isWrite = textAt(json, "kind") == "write";
    statement.isBegin = textAt(json, "kind") == "begin";
    return statement;
}

AuditedDatabase databaseFrom(const boost::json::value &audit, const boost::json::value &log)
{
    AuditedDatabase database;
    database.name = textAt(log, "database");
    database.held.term = log.at("term").to_number<Core::Term>();
    database.held.position = log.at("position").to_number<Core::LogPosition>();
    for (const auto &entry : audit.at("entries").as_array())
        database.statements.push_back(statementFrom(entry));
    for (const auto &entry : log.at("entries").as_array())
        database.log.push_back(logEntryFromJson(entry));
    database.keySightings = audit.at("key_seen").as_array().size();
    return database;
}

std::optional<Core::Outcome> outcomeOf(std::string_view name)
{
    constexpr std::array outcomes{Core::Outcome::Done, Core::Outcome::NotRun,
                                  Core::Outcome::Unknown};
    for (const auto outcome : outcomes) {
        if (Core::toString(outcome) == name)
            return outcome;
    }
    return std::nullopt;
}

std::string optionalText(const boost::json::object &json, std::string_view field)
{
    return json.contains(field) ? std::string(json.at(field).as_string()) : std::string();
}

HistoryEntry historyFrom(const boost::json::object &json)
{
    HistoryEntry entry;
    entry.kind = json.at("kind").as_string() == "read" ? HistoryEntry::Kind::Read
                                                       : HistoryEntry::Kind::Write;
    entry.session = optionalText(json, "session");
    entry.key = std::string(json.at("key").as_string());
    entry.id = optionalText(json, "id");
    entry.outcome = outcomeOf(json.at("outcome").as_string()).value();
    if (json.contains("position"))
        entry.position = json.at("position").to_number<Core::LogPosition>();
    entry.isRepeatable = json.contains("repeatable") && json.at("repeatable").as_bool();
    entry.transaction = optionalText(json, "transaction");
    return entry;
}

/// Makes an error value of what Boost.JSON throws for a missing or mistyped member.
template<typename Read>
auto withErrors(const char *what, Read read) -> Core::ErrorOr<decltype(read())>
{
    try {
        return read();
    } catch (const std::exception &exception) {
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             std::string(what) + ": " + exception.what());
    }
}

std::optional<std::pair<std::string, std::string>> nameOfWrite(const std::string &text)
{
    const auto statement = StatementText::create(text);
    if (!statement || statement->verb == Verb::Get)
        return std::nullopt;
    return std::pair(statement->key, statement->value);
}

} // namespace

Core::ErrorOr<AuditedDatabase> AuditedDatabase::create(std::string_view auditJson,
                                                       std::string_view logJson)
{
    return withErrors("audit", [&] {
        return databaseFrom(boost::json::parse(auditJson), boost::json::parse(logJson));
    });
}

Core::ErrorOr<HistoryEntry> HistoryEntry::create(std::string_view json)
{
    return withErrors("history", [&] { return historyFrom(boost::json::parse(json).as_object()); });
}

bool AuditReport::isClean() const
{
    return lost + doubled + untrueNotRun + staleReads + mixedTransactions + keysSeen == 0;
}

std::string AuditReport::toText() const
{
    return "lost=" + std::to_string(lost) + " doubled=" + std::to_string(doubled)
        + " untrue_not_run=" + std::to_string(untrueNotRun) + " stale_reads="
        + std::to_string(staleReads) + " mixed_transactions=" + std::to_string(mixedTransactions)
        + " keys_seen=" + std::to_string(keysSeen);
}

AuditChecker::AuditChecker(std::span<const AuditedDatabase> databases,
                           std::span<const HistoryEntry> history)
    : databases_(databases)
    , history_(history)
{
    readFinalLog();
    readStatements();
}

void AuditChecker::readFinalLog()
{
    const auto last = std::max_element(
        databases_.begin(), databases_.end(),
        [](const auto &left, const auto &right) { return left.held < right.held; });
    if (last == databases_.end())
        return;
    for (const auto &entry : last->log) {
        for (const auto &write : entry.writes) {
            if (const auto name = nameOfWrite(write))
                inLog_[*name].push_back(entry.mark.position);
        }
    }
}

void AuditChecker::readStatements()
{
    for (const auto &database : databases_) {
        for (const auto &statement : database.statements) {
            const auto isAlone = statement.openTransaction.empty() && statement.transaction.empty();
            if (!statement.isWrite || !statement.isDone || !isAlone)
                continue;
            if (const auto name = nameOfWrite(statement.text))
                ++runAlone_[*name];
        }
    }
}

std::uint64_t AuditChecker::timesInLog(const HistoryEntry &entry) const
{
    const auto found = inLog_.find({entry.key, entry.id});
    return found == inLog_.end() ? 0 : found->second.size();
}

std::uint64_t AuditChecker::timesRun(const HistoryEntry &entry) const
{
    // A write of a transaction may be tried and rolled back, so only the log tells of it.
    const auto found = runAlone_.find({entry.key, entry.id});
    const auto alone = found == runAlone_.end() || !entry.transaction.empty() ? 0 : found->second;
    return std::max(timesInLog(entry), alone);
}

void AuditChecker::checkWrites(AuditReport &report) const
{
    for (const auto &entry : history_) {
        if (entry.kind != HistoryEntry::Kind::Write)
            continue;
        if (entry.outcome == Core::Outcome::Done && timesInLog(entry) == 0)
            ++report.lost;
        if (entry.outcome == Core::Outcome::NotRun && timesRun(entry) > 0)
            ++report.untrueNotRun;
        if (!entry.isRepeatable && timesRun(entry) > 1)
            ++report.doubled;
    }
}

void AuditChecker::checkReads(AuditReport &report) const
{
    std::map<std::pair<std::string, std::string>, Core::LogPosition> written;
    for (const auto &entry : history_) {
        if (entry.outcome != Core::Outcome::Done || entry.session.empty())
            continue;
        // A read in a transaction may show the transaction's own writes, which have no position.
        if (entry.kind == HistoryEntry::Kind::Read && !entry.transaction.empty())
            continue;
        auto &atLeast = written[{entry.session, entry.key}];
        if (entry.kind == HistoryEntry::Kind::Read) {
            if (entry.position < atLeast)
                ++report.staleReads;
            continue;
        }
        const auto found = inLog_.find({entry.key, entry.id});
        if (found != inLog_.end())
            atLeast = std::max(atLeast, found->second.front());
    }
}

void AuditChecker::checkTransactions(AuditReport &report) const
{
    std::set<std::string> begun;
    for (const auto &database : databases_) {
        for (const auto &statement : database.statements) {
            if (!statement.isDone)
                continue;
            const auto &name = statement.transaction;
            const auto &open = statement.openTransaction;
            if (!name.empty() && !open.empty() && name != open)
                ++report.mixedTransactions;
            if (statement.isBegin && !name.empty() && !begun.insert(name).second)
                ++report.mixedTransactions;
        }
    }
}

void AuditChecker::checkLogEntries(AuditReport &report) const
{
    std::map<Core::LogPosition, std::string> ownerOf;
    std::map<std::string, Core::LogPosition> placeOf;
    for (const auto &entry : history_) {
        const auto found = inLog_.find({entry.key, entry.id});
        if (entry.kind != HistoryEntry::Kind::Write || found == inLog_.end())
            continue;
        const auto position = found->second.front();
        const auto owner = entry.transaction.empty() ? "write " + entry.key + ' ' + entry.id
                                                     : "transaction " + entry.transaction;
        const auto isOwner = ownerOf.try_emplace(position, owner).first->second == owner;
        const auto isPlace = placeOf.try_emplace(owner, position).first->second == position;
        if (!isOwner || !isPlace)
            ++report.mixedTransactions;
    }
}

AuditReport AuditChecker::check() const
{
    AuditReport report;
    checkWrites(report);
    checkReads(report);
    checkTransactions(report);
    checkLogEntries(report);
    for (const auto &database : databases_)
        report.keysSeen += database.keySightings;
    return report;
}

} // namespace Chervilpin::StandIn
