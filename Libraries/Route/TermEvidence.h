#pragma once

#include <Core/LogMark.h>
#include <Route/Stamp.h>
#include <Upstream/Messages.h>

#include <vector>

namespace Chervilpin::Route {

/// The facts proved by the statuses of one database, per term. Once proved, they stay true:
///
/// 1. A database that held position p in term T holds it until it is fenced by a higher term, and
///    the reply to that fence contains its position.
/// 2. A database that replied to a query sent at s with a known term of at most T was not fenced
///    by any higher term at s.
class TermEvidence
{
public:
    /// Adds a status requested at \a asked.
    void add(const Upstream::Status &status, const Stamp &asked);

    /// Discards evidence of every position above the given one, for a database that lost entries.
    void discardAbove(Core::LogMark held);

    /// Whether it was proved to hold the mark in the mark's own term.
    [[nodiscard]] bool held(Core::LogMark mark) const;
    /// Whether it can no longer come to hold the mark in the mark's own term.
    [[nodiscard]] bool canNeverHold(Core::LogMark mark) const;
    /// Whether it was proved not to be fenced above the term at or after the stamp.
    [[nodiscard]] bool wasUnfencedAfter(Core::Term term, const Stamp &since) const;
    /// Like wasUnfencedAfter(), but compares times: at or after the instant.
    [[nodiscard]] bool wasUnfencedSince(Core::Term term, Core::Instant since) const;
    /// The highest known term that it has reported.
    [[nodiscard]] Core::Term highestKnownTerm() const { return highestKnownTerm_; }

private:
    struct Entry
    {
        Core::Term term = 0;
        Core::LogPosition highestHeld = 0; ///< Valid if `isHeld`.
        bool isHeld = false;
        Stamp lastKnownAsked; ///< Valid if `isKnown`: the latest request answered with this known
                              ///< term.
        bool isKnown = false;
    };

    Entry &entry(Core::Term term);
    void recordHeld(Core::LogMark held);
    void recordKnownTerm(Core::Term term, const Stamp &asked);

    std::vector<Entry> entries_; ///< By ascending term; only the latest few.
    Core::Term highestKnownTerm_ = 0;
};

} // namespace Chervilpin::Route
