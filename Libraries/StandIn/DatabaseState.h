#pragma once

#include <StandIn/ReplicationMessages.h>
#include <StandIn/Rows.h>
#include <Upstream/Messages.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Chervilpin::StandIn {

/// Which rules a database keeps. A test switches one off to show which promise rests on it.
struct DatabaseRules
{
    bool refusesLowerTerms = true; ///< Statements and orders of lower terms are refused.
    bool stopsReplication = true;  ///< After a fence no log of a lower term is taken or served.
    bool reconcilesAtOnce = true;  ///< A new term's log is taken only if it reaches that term.
    bool endsTransactions = true;  ///< A transaction ends with the term that it began in.
};

/// What makes a DatabaseState again after a restart: the log keeps its first `kept` entries, then
/// `entries` follow, and the other members are as given.
struct JournalRecord
{
    Core::Term knownTerm = 0;
    Core::Term lineage = 0;
    Upstream::Role role = Upstream::Role::Replica;
    Core::DatabaseName primary;
    std::string primaryAddress;
    Core::LogPosition kept = 0;
    std::vector<LogEntry> entries;
};

/// One database of a group: its terms, its log, its rows. Does no I/O and knows no time.
///
/// The term of `held` is that of the primary whose log the database's own log is a prefix of. A
/// promotion opens its term with an entry without writes, and a replica takes over the log of a new
/// term in one step that includes this entry. So a database whose held mark is of a term holds all
/// that the term's primary held when it was promoted, and the highest held mark of a majority
/// contains every write that a majority held before.
class DatabaseState
{
public:
    enum class Journal {
        Off,
        On, ///< Changes are kept for takeJournal().
    };
    struct Settings
    {
        Core::DatabaseName name;
        Core::Term term = 1; ///< The known term at the start.
        Upstream::Role role = Upstream::Role::Replica;
        Core::DatabaseName primary; ///< Followed at the start, if a replica.
        std::string primaryAddress;
        Journal journal = Journal::Off;
        std::size_t maximumBatchEntries = 2000; ///< Of a batch that needn't open a term.
        DatabaseRules rules;
    };

    explicit DatabaseState(Settings);

    [[nodiscard]] Upstream::Status status() const;
    [[nodiscard]] const Core::DatabaseName &name() const { return settings_.name; }
    [[nodiscard]] const std::string &primaryAddress() const { return primaryAddress_; }
    [[nodiscard]] const DatabaseRules &rules() const { return settings_.rules; }
    [[nodiscard]] std::span<const LogEntry> log() const { return log_; }

    /// Whether a write that was acknowledged under \a mark is in the log. Both the term and the
    /// position must be reached: a later term with a shorter log may lack it still.
    [[nodiscard]] bool holds(Core::LogMark mark) const;

    [[nodiscard]] Upstream::Answer fence(const Upstream::Fence &);
    [[nodiscard]] Upstream::Answer promote(const Upstream::Promote &);
    [[nodiscard]] Upstream::Answer follow(const Upstream::Follow &);

    /// Why a statement can't run now, apart from its text and its transaction.
    [[nodiscard]] std::optional<Upstream::Answer> refusal(const Upstream::Statement &) const;
    /// Runs `get` on the rows as they are after \a pending writes.
    [[nodiscard]] Upstream::Answer read(std::string_view text,
                                        std::span<const std::string> pending = {}) const;
    /// Appends the writes as one log entry. The caller has asked refusal().
    [[nodiscard]] Upstream::Answer commit(std::span<const std::string> writes);

    /// What a replica asks its primary for next; nothing without a primary to follow.
    [[nodiscard]] std::optional<ReplicationPull> nextPull() const;
    [[nodiscard]] ReplicationBatch serve(const ReplicationPull &) const;
    /// Takes a batch, be it late, doubled or of another term. True if the log or the place to ask
    /// from changed, so that the next pull should not wait.
    bool receive(const ReplicationBatch &);

    /// Loses everything, terms included, and follows nobody.
    void wipe();

    [[nodiscard]] std::vector<JournalRecord> takeJournal();
    void restore(std::span<const JournalRecord>);

    [[nodiscard]] Upstream::Answer done() const;
    [[nodiscard]] Upstream::Answer notRun(Upstream::Reason, std::string_view message) const;

private:
    [[nodiscard]] Core::LogPosition lastPosition() const { return log_.size(); }
    [[nodiscard]] Core::LogMark markAt(Core::LogPosition) const;
    [[nodiscard]] bool isReplicaOf(Core::Term) const;
    [[nodiscard]] Core::LogPosition lowerPlace(Core::LogMark asked) const;
    [[nodiscard]] std::size_t batchEnd(Core::LogPosition after) const;
    bool extend(const ReplicationBatch &);
    bool reconcile(const ReplicationBatch &);
    bool askLower(Core::LogPosition hint);
    void raiseTerm(Core::Term);
    void rebuildRows();
    void record(Core::LogPosition kept, std::vector<LogEntry> entries);

    Settings settings_;
    Core::Term knownTerm_ = 0;
    Core::Term lineage_ = 0; ///< The term whose primary's log this log is a prefix of.
    Upstream::Role role_ = Upstream::Role::Replica;
    Core::DatabaseName primary_;
    std::string primaryAddress_;
    std::vector<LogEntry> log_;
    Rows rows_;
    Core::LogPosition pullFrom_ = 0; ///< While not reconciled: the entry to ask about.
    Core::LogPosition pullStep_ = 1; ///< How far to go back if that entry isn't common.
    std::vector<JournalRecord> journal_;
};

} // namespace Chervilpin::StandIn
