#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>

#include <deque>
#include <optional>

namespace Chervilpin::Sessions {

/// Determines which log positions (marks) prove that a read is fresh enough.
///
/// The mark in the primary's reply to a statement that was sent while this proxy held the lease
/// covers every commit acknowledged before the statement was sent. So a read with a maximum age is
/// fresh if its database has applied the oldest mark that was sampled within that age.
class FreshnessTracker
{
public:
    /// Adds a sample of the primary. A mark of a newer term invalidates the samples of older terms;
    /// samples of older terms are ignored.
    void add(Core::Instant sentAt, Core::LogMark mark);

    /// Removes all samples, after a change of primary.
    void clear() { samples_.clear(); }

    /// The lowest mark that proves an age of at most \a age at \a now; empty if no sample does.
    [[nodiscard]] std::optional<Core::LogMark> requiredFor(Core::Duration age,
                                                           Core::Instant now) const;

    /// The mark that covers a session's own commit: \a own itself or, if the primary changed since,
    /// the first sample of the new term, which covers all commits that survived the change.
    [[nodiscard]] std::optional<Core::LogMark> requiredForOwnCommit(Core::LogMark own) const;

    /// Since when the primary is known to have the mark; empty if no sample has reached it.
    [[nodiscard]] std::optional<Core::Instant> knownSince(Core::LogMark mark) const;

    /// The replication lag of a database whose log ends at \a mark; zero if no sample is newer.
    [[nodiscard]] Core::Duration ageOf(Core::LogMark mark, Core::Instant now) const;

private:
    struct Sample
    {
        Core::Instant sentAt;
        Core::LogMark mark;
    };

    std::deque<Sample> samples_; ///< Of one term, ordered by sentAt; marks never decrease.
    Core::LogMark firstOfTerm_; ///< The first sample of the current term, kept as long as it lasts.
};

} // namespace Chervilpin::Sessions
