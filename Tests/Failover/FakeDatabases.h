#pragma once

#include <Core/LogMark.h>
#include <Core/Name.h>
#include <Upstream/Messages.h>

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace Chervilpin::Failover::Fakes {

/// A log entry; the entry that a promotion appends has write 0.
struct Entry
{
    Core::Term term = 0;
    std::uint64_t write = 0;

    bool operator==(const Entry &) const = default;
};

/// A database with the behaviour required by docs/notes/failover.md: `held` is the mark of the last
/// entry, and a promotion appends an entry of its term.
struct FakeDatabase
{
    Core::DatabaseName name;
    Core::DataCentreName dataCentre;
    Core::Term knownTerm = 1;
    std::vector<Entry> log{};
    Upstream::Role role = Upstream::Role::Replica;
    Core::DatabaseName primary{};

    [[nodiscard]] Core::LogMark held() const
    {
        return log.empty() ? Core::LogMark{} : Core::LogMark{log.back().term, log.size()};
    }

    [[nodiscard]] bool holds(Core::LogMark mark, std::uint64_t write) const
    {
        return log.size() >= mark.position && log[mark.position - 1] == Entry{mark.term, write};
    }

    [[nodiscard]] bool isPrimaryIn(Core::Term term) const
    {
        return role == Upstream::Role::Primary && knownTerm == term;
    }

    [[nodiscard]] Upstream::Answer refuse(Upstream::Reason reason) const
    {
        return {.verdict = Upstream::Verdict::NotRun, .reason = reason, .status = status()};
    }

    [[nodiscard]] Upstream::Answer done() const { return {.status = status()}; }

    [[nodiscard]] Upstream::Status status() const
    {
        return {.knownTerm = knownTerm, .held = held(), .role = role, .primary = primary};
    }

    Upstream::Answer take(const Upstream::RequestBody &request)
    {
        return std::visit([this](const auto &body) { return run(body); }, request);
    }

    Upstream::Answer run(const Upstream::StatusQuery & /*query*/) const { return done(); }

    Upstream::Answer run(const Upstream::Fence &fence)
    {
        if (fence.term < knownTerm)
            return refuse(Upstream::Reason::Superseded);
        if (fence.term > knownTerm) {
            knownTerm = fence.term;
            role = Upstream::Role::Replica;
            primary = {};
        }
        return done();
    }

    Upstream::Answer run(const Upstream::Promote &promote)
    {
        if (promote.term != knownTerm)
            return refuse(Upstream::Reason::Superseded);
        if (role != Upstream::Role::Primary) {
            role = Upstream::Role::Primary;
            primary = {};
            log.push_back({promote.term, 0});
        }
        return done();
    }

    Upstream::Answer run(const Upstream::Follow &follow)
    {
        if (follow.term < knownTerm)
            return refuse(Upstream::Reason::Superseded);
        if (follow.primary == name)
            return done();
        knownTerm = follow.term;
        role = Upstream::Role::Replica;
        primary = follow.primary;
        return done();
    }

    Upstream::Answer run(const Upstream::Statement &statement)
    {
        if (statement.term < knownTerm)
            return refuse(Upstream::Reason::Superseded);
        if (statement.term > knownTerm || role != Upstream::Role::Primary)
            return refuse(Upstream::Reason::NotPrimary);
        log.push_back({statement.term, std::stoull(statement.text)});
        return done();
    }

    /// Replicates at most \a limit entries from the primary that it follows.
    void pullFrom(const FakeDatabase &from, std::size_t limit)
    {
        if (primary != from.name || !from.isPrimaryIn(knownTerm))
            return;
        std::size_t common = 0;
        while (common < std::min(log.size(), from.log.size()) && log[common] == from.log[common])
            ++common;
        if (common < from.log.size())
            log.resize(common);
        for (std::size_t taken = 0; taken < limit && log.size() < from.log.size(); ++taken)
            log.push_back(from.log[log.size()]);
    }
};

/// Whether a majority holds the mark in its term, which is the condition for acknowledging a write.
/// A database that knows a higher term does not count.
[[nodiscard]] inline bool isHeldByMajority(const std::vector<FakeDatabase> &databases,
                                           Core::LogMark mark)
{
    const auto holders = std::ranges::count_if(databases, [&](const FakeDatabase &database) {
        return database.knownTerm == mark.term && database.held().term == mark.term
            && database.held().position >= mark.position;
    });
    return static_cast<std::size_t>(holders) > databases.size() / 2;
}

} // namespace Chervilpin::Failover::Fakes
