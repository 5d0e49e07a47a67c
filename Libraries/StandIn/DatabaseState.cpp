#include <StandIn/DatabaseState.h>

#include <Core/Verify.h>
#include <StandIn/StatementText.h>

#include <algorithm>
#include <utility>

namespace Chervilpin::StandIn {

using Upstream::Answer;
using Upstream::Reason;
using Upstream::Role;
using Upstream::StatementKind;
using Upstream::Verdict;

namespace {

bool needsPrimary(const Upstream::Statement &statement)
{
    return statement.kind != StatementKind::Read || !statement.transaction.empty();
}

} // namespace

DatabaseState::DatabaseState(Settings settings)
    : settings_(std::move(settings))
    , knownTerm_(settings_.term)
    , lineage_(settings_.term)
    , role_(settings_.role)
    , primary_(settings_.role == Role::Primary ? settings_.name : settings_.primary)
    , primaryAddress_(settings_.primaryAddress)
{ }

Upstream::Status DatabaseState::status() const
{
    return {knownTerm_, {lineage_, lastPosition()}, role_, primary_, 0};
}

bool DatabaseState::holds(Core::LogMark mark) const
{
    return lineage_ >= mark.term && lastPosition() >= mark.position;
}

Answer DatabaseState::done() const
{
    Answer answer;
    answer.status = status();
    return answer;
}

Answer DatabaseState::notRun(Reason reason, std::string_view message) const
{
    auto answer = done();
    answer.verdict = Verdict::NotRun;
    answer.reason = reason;
    answer.message = message;
    return answer;
}

void DatabaseState::raiseTerm(Core::Term term)
{
    knownTerm_ = term;
    pullFrom_ = lastPosition();
    pullStep_ = 1;
    if (!settings_.rules.stopsReplication)
        return;
    role_ = Role::Replica;
    primary_ = {};
    primaryAddress_.clear();
}

Answer DatabaseState::fence(const Upstream::Fence &fence)
{
    if (fence.term < knownTerm_ && settings_.rules.refusesLowerTerms)
        return notRun(Reason::Superseded, "a higher term is known");
    // A repeated fence of the known term changes nothing, whatever followed the first one.
    if (fence.term > knownTerm_) {
        raiseTerm(fence.term);
        record(lastPosition(), {});
    }
    return done();
}

Answer DatabaseState::promote(const Upstream::Promote &promote)
{
    if (promote.term < knownTerm_)
        return notRun(Reason::Superseded, "a higher term is known");
    if (promote.term > knownTerm_)
        return notRun(Reason::NotPrimary, "not fenced in this term");
    if (role_ == Role::Primary && lineage_ == promote.term)
        return done();
    // One term has one primary: whoever follows another in this term stays a replica.
    const auto isFollowing = !primary_.isEmpty() && settings_.rules.stopsReplication;
    if (isFollowing || lineage_ == promote.term)
        return notRun(Reason::NotPrimary, "follows another primary in this term");
    role_ = Role::Primary;
    primary_ = settings_.name;
    lineage_ = promote.term;
    log_.push_back({{promote.term, lastPosition() + 1}, {}});
    record(lastPosition() - 1, {log_.back()});
    return done();
}

Answer DatabaseState::follow(const Upstream::Follow &follow)
{
    if (follow.term < knownTerm_)
        return notRun(Reason::Superseded, "a higher term is known");
    const auto isKnown = follow.term == knownTerm_;
    const auto isFollowing = !primary_.isEmpty() && settings_.rules.stopsReplication;
    if (isKnown && isFollowing && primary_ != follow.primary)
        return notRun(Reason::BadStatement, "the term has another primary");
    if (follow.primary == settings_.name)
        return isKnown && role_ == Role::Primary
            ? done()
            : notRun(Reason::BadStatement, "a database can't follow itself");
    if (!isKnown)
        raiseTerm(follow.term);
    role_ = Role::Replica;
    primary_ = follow.primary;
    primaryAddress_ = follow.primaryAddress;
    record(lastPosition(), {});
    return done();
}

std::optional<Answer> DatabaseState::refusal(const Upstream::Statement &statement) const
{
    if (statement.term < knownTerm_ && settings_.rules.refusesLowerTerms)
        return notRun(Reason::Superseded, "a higher term is known");
    const auto isPrimary = role_ == Role::Primary
        && (statement.term == lineage_ || !settings_.rules.refusesLowerTerms);
    if (needsPrimary(statement) && !isPrimary)
        return notRun(Reason::NotPrimary, "not the primary of this term");
    if (statement.kind == StatementKind::Read && !holds(statement.atLeast))
        return notRun(Reason::Behind, "the mark isn't held yet");
    return std::nullopt;
}

Answer DatabaseState::read(std::string_view text, std::span<const std::string> pending) const
{
    const auto statement = StatementText::create(text);
    if (!statement || statement->verb != Verb::Get)
        return notRun(Reason::BadStatement, "not a read");
    auto answer = done();
    if (auto row = rows_.read(statement->key, pending))
        answer.rows.push_back(std::move(*row));
    return answer;
}

Answer DatabaseState::commit(std::span<const std::string> writes)
{
    if (writes.empty())
        return done();
    const Core::LogMark mark{lineage_, lastPosition() + 1};
    if (const auto applied = rows_.apply(writes, mark.position); !applied) {
        auto answer = done();
        answer.verdict = Verdict::Failed;
        answer.reason = Reason::BadStatement;
        answer.message = applied.error().message;
        return answer;
    }
    log_.push_back({mark, {writes.begin(), writes.end()}});
    record(lastPosition() - 1, {log_.back()});
    return done();
}

Core::LogMark DatabaseState::markAt(Core::LogPosition position) const
{
    VERIFY(position <= lastPosition());
    return position == 0 ? Core::LogMark() : log_[position - 1].mark;
}

bool DatabaseState::isReplicaOf(Core::Term term) const
{
    return role_ == Role::Replica && !primary_.isEmpty()
        && (term == knownTerm_ || !settings_.rules.stopsReplication);
}

std::optional<ReplicationPull> DatabaseState::nextPull() const
{
    if (!isReplicaOf(knownTerm_))
        return std::nullopt;
    const auto isReconciled = lineage_ == knownTerm_ || !settings_.rules.stopsReplication;
    const auto from = isReconciled ? lastPosition() : pullFrom_;
    const auto term = settings_.rules.stopsReplication ? knownTerm_ : lineage_;
    return ReplicationPull{term, settings_.name, markAt(from)};
}

Core::LogPosition DatabaseState::lowerPlace(Core::LogMark asked) const
{
    auto place = std::min(asked.position - 1, lastPosition());
    // The asker's entries up to there have no higher terms, so higher ones here are not common.
    while (place > 0 && markAt(place).term > asked.term)
        --place;
    return place;
}

std::size_t DatabaseState::batchEnd(Core::LogPosition after) const
{
    auto end = std::min<std::size_t>(after + settings_.maximumBatchEntries, log_.size());
    if (!settings_.rules.reconcilesAtOnce)
        return end;
    // However long that is, a batch reaches the term's first entry; see reconcile().
    while (end < log_.size() && markAt(end).term != lineage_)
        ++end;
    return end;
}

ReplicationBatch DatabaseState::serve(const ReplicationPull &pull) const
{
    ReplicationBatch batch;
    batch.term = pull.term;
    batch.knownTerm = knownTerm_;
    const auto isKnown = pull.term == knownTerm_ || !settings_.rules.stopsReplication;
    if (role_ != Role::Primary || !isKnown || pull.term != lineage_) {
        batch.isRefused = true;
        return batch;
    }
    const auto asked = pull.held;
    // Equal marks mean equal logs up to them, since each term has one primary.
    const auto isCommon = asked.position <= lastPosition() && markAt(asked.position) == asked;
    if (!isCommon && asked.position > 0) {
        batch.after = lowerPlace(asked);
        return batch;
    }
    batch.after = asked.position;
    const auto first = log_.begin() + static_cast<std::ptrdiff_t>(batch.after);
    const auto last = log_.begin() + static_cast<std::ptrdiff_t>(batchEnd(batch.after));
    batch.entries.assign(first, last);
    return batch;
}

bool DatabaseState::receive(const ReplicationBatch &batch)
{
    if (batch.isRefused || !isReplicaOf(batch.term))
        return false;
    if (lineage_ == batch.term)
        return extend(batch);
    if (batch.entries.empty())
        return askLower(batch.after);
    return reconcile(batch);
}

bool DatabaseState::extend(const ReplicationBatch &batch)
{
    // Both logs are prefixes of one log, so what is held already is skipped, never dropped.
    const auto before = lastPosition();
    std::vector<LogEntry> added;
    for (const auto &entry : batch.entries) {
        if (entry.mark.position != lastPosition() + 1)
            continue;
        const auto applied = rows_.apply(entry.writes, entry.mark.position);
        VERIFY(applied.has_value());
        log_.push_back(entry);
        added.push_back(entry);
    }
    if (added.empty())
        return false;
    record(before, std::move(added));
    return true;
}

bool DatabaseState::askLower(Core::LogPosition hint)
{
    if (hint >= pullFrom_)
        return false;
    const auto stepped = pullFrom_ > pullStep_ ? pullFrom_ - pullStep_ : 0;
    pullFrom_ = std::min(hint, stepped);
    pullStep_ *= 2;
    return true;
}

bool DatabaseState::reconcile(const ReplicationBatch &batch)
{
    const auto reachesTerm = batch.entries.back().mark.term == batch.term;
    if (batch.after > lastPosition() || (!reachesTerm && settings_.rules.reconcilesAtOnce))
        return false;
    log_.resize(batch.after);
    log_.insert(log_.end(), batch.entries.begin(), batch.entries.end());
    lineage_ = batch.term;
    rebuildRows();
    record(batch.after, batch.entries);
    return true;
}

void DatabaseState::rebuildRows()
{
    rows_.clear();
    for (const auto &entry : log_) {
        const auto applied = rows_.apply(entry.writes, entry.mark.position);
        VERIFY(applied.has_value());
    }
}

void DatabaseState::wipe()
{
    raiseTerm(0);
    role_ = Role::Replica;
    primary_ = {};
    primaryAddress_.clear();
    lineage_ = 0;
    log_.clear();
    rows_.clear();
    pullFrom_ = 0;
    record(0, {});
}

void DatabaseState::record(Core::LogPosition kept, std::vector<LogEntry> entries)
{
    if (settings_.journal == Journal::Off)
        return;
    journal_.push_back(
        {knownTerm_, lineage_, role_, primary_, primaryAddress_, kept, std::move(entries)});
}

std::vector<JournalRecord> DatabaseState::takeJournal()
{
    return std::exchange(journal_, {});
}

void DatabaseState::restore(std::span<const JournalRecord> records)
{
    for (const auto &entry : records) {
        log_.resize(std::min<std::size_t>(entry.kept, log_.size()));
        log_.insert(log_.end(), entry.entries.begin(), entry.entries.end());
        knownTerm_ = entry.knownTerm;
        lineage_ = entry.lineage;
        role_ = entry.role;
        primary_ = entry.primary;
        primaryAddress_ = entry.primaryAddress;
    }
    pullFrom_ = lastPosition();
    rebuildRows();
}

} // namespace Chervilpin::StandIn
