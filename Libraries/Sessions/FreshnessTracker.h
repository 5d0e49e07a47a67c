#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>

#include <deque>
#include <optional>

namespace Chervilpin::Sessions {

/// Determines which log marks prove that a read is fresh enough.
///
/// If the primary answers a statement with a mark, and this proxy held the lease to use that
/// primary when it sent the statement, then the mark covers every commit acknowledged before the
/// statement was sent. So a read with a maximum age is proved fresh by the oldest mark sampled
/// within that age.
class FreshnessTracker
{
public:
    /// Adds a sample of the primary. A mark of a newer term discards all samples of older terms;
    /// samples of older terms are ignored.
    void add(Core::Instant sentAt, Core::LogMark mark);

    /// Discards all samples, when the primary changes.
    void clear() { samples_.clear(); }

    /// Returns the lowest mark that proves an age of at most \a age at \a now, or nothing if no
    /// sample does.
    [[nodiscard]] std::optional<Core::LogMark> requiredFor(Core::Duration age,
                                                           Core::Instant now) const;

    /// Returns the mark that covers a session's own commit: \a own itself, or, if the term has
    /// changed since, the first sample of the new term, which covers all commits that survived the
    /// failover.
    [[nodiscard]] std::optional<Core::LogMark> requiredForOwnCommit(Core::LogMark own) const;

    /// Returns when the primary was first known to have reached the mark, or nothing if that is
    /// unknown.
    [[nodiscard]] std::optional<Core::Instant> knownSince(Core::LogMark mark) const;

    /// Returns the age of the state of a database whose log ends at \a mark: the time since the
    /// first sample that it lacks was sent, or zero if it lacks none.
    [[nodiscard]] Core::Duration ageOf(Core::LogMark mark, Core::Instant now) const;

private:
    struct Sample
    {
        Core::Instant sentAt;
        Core::LogMark mark;
    };

    std::deque<Sample> samples_; ///< Ordered by sentAt; marks never decrease. All of one term.
    Core::LogMark firstOfTerm_; ///< The first sample of the current term, kept until the next term.
};

} // namespace Chervilpin::Sessions
