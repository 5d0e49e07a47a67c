#pragma once

#include <Core/LogMark.h>
#include <Core/Outcome.h>
#include <Core/Result.h>
#include <StandIn/ReplicationMessages.h>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Checks the promises to callers from outside: what callers were told against what ran.
namespace Chervilpin::StandIn {

/// One statement from a database's audit.
struct AuditedStatement
{
    std::uint64_t connection = 0;
    std::string transaction;
    std::string openTransaction;
    std::string text;
    bool isDone = false;
    bool isWrite = false;
    bool isBegin = false;
};

/// One database as seen through its control address after a run.
struct AuditedDatabase
{
    std::string name;
    Core::LogMark held;
    std::vector<AuditedStatement> statements;
    std::vector<LogEntry> log;
    std::uint64_t keySightings = 0;

    /// From the bodies of `GET /audit` and `GET /log`; fails with InvalidArgument.
    [[nodiscard]] static Core::ErrorOr<AuditedDatabase> create(std::string_view auditJson,
                                                               std::string_view logJson);
};

/// One line of what callers were told, in the order of each session.
struct HistoryEntry
{
    enum class Kind {
        Write,
        Read,
    };

    Kind kind = Kind::Write;
    std::string session;
    std::string key;
    std::string id; ///< Of a write: its value, used by no other write.
    Core::Outcome outcome = Core::Outcome::Unknown;
    Core::LogPosition position = 0; ///< Of a read: the position in its row, 0 without a row.
    bool isRepeatable = false;
    std::string transaction; ///< The caller's own name for its transaction, or empty.

    /// From one JSON line; fails with InvalidArgument naming the field that is wrong.
    [[nodiscard]] static Core::ErrorOr<HistoryEntry> create(std::string_view json);
};

/// How often each promise was broken.
struct AuditReport
{
    std::uint64_t lost = 0;              ///< Told done, but not in the final log.
    std::uint64_t doubled = 0;           ///< Not repeatable, but ran more than once.
    std::uint64_t untrueNotRun = 0;      ///< Told not run, but ran.
    std::uint64_t staleReads = 0;        ///< Missed a write of the same session.
    std::uint64_t mixedTransactions = 0; ///< Statements or writes of two transactions in one.
    std::uint64_t keysSeen = 0;          ///< Sightings of callers' keys.

    [[nodiscard]] bool isClean() const;
    /// `lost=0 doubled=0 ...` on one line.
    [[nodiscard]] std::string toText() const;
};

/// Compares one group's databases with the callers' history.
class AuditChecker
{
public:
    AuditChecker(std::span<const AuditedDatabase>, std::span<const HistoryEntry>);

    [[nodiscard]] AuditReport check() const;

private:
    /// A write as callers know it: key and value.
    using WriteName = std::pair<std::string, std::string>;

    void readFinalLog();
    void readStatements();
    [[nodiscard]] std::uint64_t timesInLog(const HistoryEntry &) const;
    [[nodiscard]] std::uint64_t timesRun(const HistoryEntry &) const;
    void checkWrites(AuditReport &) const;
    void checkReads(AuditReport &) const;
    void checkTransactions(AuditReport &) const;
    void checkLogEntries(AuditReport &) const;

    std::span<const AuditedDatabase> databases_;
    std::span<const HistoryEntry> history_;
    std::map<WriteName, std::vector<Core::LogPosition>> inLog_;
    std::map<WriteName, std::uint64_t> runAlone_; ///< Writes that ran outside a transaction.
};

} // namespace Chervilpin::StandIn
