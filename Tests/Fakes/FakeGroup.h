#pragma once

#include <Core/LogMark.h>
#include <Core/Name.h>
#include <Upstream/Messages.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Chervilpin::Fakes {

/// A write as the fake databases log it; its text is the number.
using WriteNumber = std::uint64_t;

/// How a replica that was told to follow a new primary passes from the old log to the new one.
enum class TermAdoption {
    /// In one step, to at least the log that the primary was promoted with. The contract.
    AtOnce,
    /// Entry by entry under the new term: it outranks, in a later promotion, databases that hold
    /// more. Only for tests that show what breaks.
    TermFirst,
    /// Entry by entry under the old term: it seems to hold what the old primary logged there. Only
    /// for tests that show what breaks.
    EntriesFirst,
};

/// One database of a FakeGroup.
struct FakeDatabase
{
    struct Entry
    {
        Core::Term term = 0;
        WriteNumber write = 0;
        bool operator==(const Entry &) const = default;
    };

    Core::DatabaseName name;
    Core::Term knownTerm = 1;
    Core::Term logTerm = 1; ///< The term of the primary whose log it holds a prefix of.
    Upstream::Role role = Upstream::Role::Replica;
    Core::Term followedTerm = 1;
    std::size_t followed = 0; ///< Index of the primary it follows.
    std::vector<Entry> log;
    std::size_t promotedWith = 0; ///< The length of its log when it was promoted last.

    [[nodiscard]] Core::LogMark held() const { return {logTerm, log.size()}; }
    [[nodiscard]] bool isPrimary() const
    {
        return role == Upstream::Role::Primary && logTerm == knownTerm;
    }
    [[nodiscard]] std::set<WriteNumber> writes() const
    {
        std::set<WriteNumber> numbers;
        for (const Entry &entry : log)
            numbers.insert(entry.write);
        return numbers;
    }
};

/// A group of databases in memory that keeps the contract of docs/CONTRACTS.md: terms, fences,
/// promotions, replication by pulls. Nothing happens unless it is called; nothing waits.
class FakeGroup
{
public:
    explicit FakeGroup(std::size_t size = 3, TermAdoption adoption = TermAdoption::AtOnce)
        : adoption_(adoption)
    {
        for (std::size_t index = 0; index < size; ++index)
            databases_.push_back({.name = Core::DatabaseName("database-" + std::to_string(index))});
        databases_.front().role = Upstream::Role::Primary;
    }

    [[nodiscard]] std::size_t size() const { return databases_.size(); }
    [[nodiscard]] std::size_t majority() const { return size() / 2 + 1; }
    [[nodiscard]] const FakeDatabase &at(std::size_t index) const { return databases_.at(index); }
    [[nodiscard]] std::vector<Core::DatabaseName> names() const
    {
        std::vector<Core::DatabaseName> names;
        for (const FakeDatabase &database : databases_)
            names.push_back(database.name);
        return names;
    }
    [[nodiscard]] std::size_t indexOf(const Core::DatabaseName &name) const
    {
        for (std::size_t index = 0; index < size(); ++index) {
            if (databases_[index].name == name)
                return index;
        }
        return size();
    }

    [[nodiscard]] Upstream::Status status(std::size_t index) const
    {
        const FakeDatabase &database = databases_.at(index);
        return {.knownTerm = database.knownTerm,
                .held = database.held(),
                .role = database.role,
                .primary = databases_.at(database.followed).name};
    }

    /// Runs a statement; a read's rows are the numbers of all writes that the database holds.
    Upstream::Answer execute(std::size_t index, const Upstream::Statement &statement)
    {
        FakeDatabase &database = databases_.at(index);
        if (statement.term < database.knownTerm)
            return answer(index, Upstream::Verdict::NotRun, Upstream::Reason::Superseded);
        if (statement.kind == Upstream::StatementKind::Read)
            return read(index, statement);
        if (!database.isPrimary() || statement.term != database.knownTerm)
            return answer(index, Upstream::Verdict::NotRun, Upstream::Reason::NotPrimary);
        const WriteNumber number = std::stoull(statement.text);
        database.log.push_back({database.knownTerm, number});
        ++executions_[number];
        return answer(index, Upstream::Verdict::Done, Upstream::Reason::None);
    }

    [[nodiscard]] std::uint64_t executions(WriteNumber number) const
    {
        const auto found = executions_.find(number);
        return found == executions_.end() ? 0 : found->second;
    }

    /// Lets a replica pull at most so many entries; false if it was refused.
    bool pull(std::size_t index, std::size_t entries)
    {
        FakeDatabase &replica = databases_.at(index);
        const FakeDatabase &primary = databases_.at(replica.followed);
        if (index == replica.followed || replica.followedTerm < replica.knownTerm)
            return false;
        if (!primary.isPrimary() || primary.knownTerm != replica.followedTerm)
            return false;
        dropForeignEntries(replica, primary);
        std::size_t end = std::min(primary.log.size(), replica.log.size() + entries);
        if (adoption_ == TermAdoption::AtOnce)
            end = std::max(end, primary.promotedWith);
        for (std::size_t place = replica.log.size(); place < end; ++place)
            replica.log.push_back(primary.log[place]);
        if (end >= primary.promotedWith || adoption_ == TermAdoption::TermFirst)
            replica.logTerm = primary.knownTerm;
        return true;
    }

    Upstream::Answer fence(std::size_t index, Core::Term term)
    {
        FakeDatabase &database = databases_.at(index);
        if (term < database.knownTerm)
            return answer(index, Upstream::Verdict::NotRun, Upstream::Reason::Superseded);
        database.knownTerm = term;
        return answer(index, Upstream::Verdict::Done, Upstream::Reason::None);
    }

    Upstream::Answer promote(std::size_t index, Core::Term term)
    {
        FakeDatabase &database = databases_.at(index);
        if (term != database.knownTerm)
            return answer(index, Upstream::Verdict::NotRun, Upstream::Reason::Superseded);
        database.role = Upstream::Role::Primary;
        database.promotedWith = database.log.size();
        database.logTerm = term;
        database.followed = index;
        database.followedTerm = term;
        return answer(index, Upstream::Verdict::Done, Upstream::Reason::None);
    }

    Upstream::Answer follow(std::size_t index, Core::Term term, std::size_t primary)
    {
        FakeDatabase &database = databases_.at(index);
        if (term < database.knownTerm || index == primary)
            return answer(index, Upstream::Verdict::NotRun, Upstream::Reason::Superseded);
        database.knownTerm = term;
        database.followedTerm = term;
        database.followed = primary;
        database.role = Upstream::Role::Replica;
        return answer(index, Upstream::Verdict::Done, Upstream::Reason::None);
    }

    /// The whole of a legal promotion but for the others' following: fences the least majority that
    /// starts at an index, counted around, and promotes the highest mark in it. Returns the
    /// primary.
    std::size_t promoteFrom(std::size_t first, Core::Term term)
    {
        std::size_t best = first % size();
        for (std::size_t offset = 0; offset < majority(); ++offset) {
            const std::size_t index = (first + offset) % size();
            fence(index, term);
            if (databases_[index].held() > databases_[best].held())
                best = index;
        }
        promote(best, term);
        return best;
    }

    /// The same with a group of three and one left out.
    std::size_t promoteWithout(std::size_t leftOut, Core::Term term)
    {
        return promoteFrom(leftOut + 1, term);
    }

    [[nodiscard]] Core::Term highestTerm() const
    {
        Core::Term highest = 0;
        for (const FakeDatabase &database : databases_)
            highest = std::max(highest, database.knownTerm);
        return highest;
    }

private:
    [[nodiscard]] Upstream::Answer answer(std::size_t index, Upstream::Verdict verdict,
                                          Upstream::Reason reason) const
    {
        return {.verdict = verdict, .reason = reason, .status = status(index)};
    }

    [[nodiscard]] Upstream::Answer read(std::size_t index,
                                        const Upstream::Statement &statement) const
    {
        const FakeDatabase &database = databases_.at(index);
        const Core::LogMark held = database.held();
        const bool isBehind =
            held.term < statement.atLeast.term || held.position < statement.atLeast.position;
        if (isBehind)
            return answer(index, Upstream::Verdict::NotRun, Upstream::Reason::Behind);
        Upstream::Answer result = answer(index, Upstream::Verdict::Done, Upstream::Reason::None);
        for (const FakeDatabase::Entry &entry : database.log)
            result.rows.push_back(std::to_string(entry.write));
        return result;
    }

    static void dropForeignEntries(FakeDatabase &replica, const FakeDatabase &primary)
    {
        std::size_t common = 0;
        while (common < std::min(replica.log.size(), primary.log.size())
               && replica.log[common] == primary.log[common]) {
            ++common;
        }
        replica.log.resize(common);
    }

    TermAdoption adoption_;
    std::vector<FakeDatabase> databases_;
    std::map<WriteNumber, std::uint64_t> executions_;
};

} // namespace Chervilpin::Fakes
