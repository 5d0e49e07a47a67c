#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>

#include <deque>
#include <optional>

namespace Chervilpin::Sessions {

/// Which log marks prove that a read is fresh enough.
///
/// A mark in an answer of the primary to a statement that was sent at an instant, while this proxy
/// had the right to use that primary, covers every commit acknowledged before that instant. So a
/// read that may be of a given age is proved fresh by the oldest mark sampled within that age.
class FreshnessTracker
{
public:
    /// Notes a sample of the primary. A mark of a newer term makes all older terms' samples void,
    /// and samples of older terms are ignored.
    void add(Core::Instant sentAt, Core::LogMark mark);

    /// Forgets all samples; for a change of primary.
    void clear() { samples_.clear(); }

    /// The lowest mark that proves an age of at most \a age at \a now; nothing if no sample does.
    [[nodiscard]] std::optional<Core::LogMark> requiredFor(Core::Duration age,
                                                           Core::Instant now) const;

    /// The mark that stands for a session's own commit: itself, or, if a new primary was made
    /// since, the first sample of the new term, which holds all commits that survived the change.
    [[nodiscard]] std::optional<Core::LogMark> requiredForOwnCommit(Core::LogMark own) const;

    /// When the primary was first known to hold the mark; nothing if that is not known.
    [[nodiscard]] std::optional<Core::Instant> knownSince(Core::LogMark mark) const;

    /// How old the state of a database is whose log ends at \a mark.
    [[nodiscard]] Core::Duration ageOf(Core::LogMark mark, Core::Instant now) const;

private:
    struct Sample
    {
        Core::Instant sentAt;
        Core::LogMark mark;
    };

    std::deque<Sample> samples_; ///< By sentAt; marks never fall. All of one term.
    Core::LogMark firstOfTerm_;  ///< The first sample of the present term, kept for all its time.
};

} // namespace Chervilpin::Sessions
