#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Failover/TermObject.h>

#include <optional>

namespace Chervilpin::Failover {

/// The primary and owner of one term.
struct KnownPrimary
{
    Core::Term term = 0; ///< 0 until a primary is known.
    Core::DatabaseName primary;
    Core::HalfName owner;
};

/// Tracks what one node knows of a group's primary and terms. The known term never decreases.
class PrimaryTracker
{
public:
    enum class Effect {
        None,
        Learned,
        Contradicted, ///< A different primary was reported for the known term.
    };

    explicit PrimaryTracker(Core::Instant now)
        : termSeenAt_(now)
    { }

    [[nodiscard]] Effect learn(const KnownPrimary &, Core::Instant now);
    /// Records a database that reports itself as primary of a term whose owner is not yet known;
    /// returns whether that is new.
    [[nodiscard]] bool recordPrimaryWithoutOwner(Core::Term, const Core::DatabaseName &);
    /// The primary whose owner is unknown, with the owner from the term object if that covers its
    /// term.
    [[nodiscard]] std::optional<KnownPrimary> withOwnerFrom(const TermObject &) const;
    /// Records a term known to a database; returns whether it is the highest so far.
    bool recordTerm(Core::Term, Core::Instant now);

    [[nodiscard]] const KnownPrimary &known() const { return known_; }
    [[nodiscard]] bool isAwaitingOwner() const { return primaryWithoutOwner_.has_value(); }
    [[nodiscard]] Core::Term highestTerm() const { return highestTerm_; }
    /// When the highest term was first seen, or the construction time if none was.
    [[nodiscard]] Core::Instant termSeenAt() const { return termSeenAt_; }
    /// Whether no primary is known, or a higher term than the known primary's was seen.
    [[nodiscard]] bool isOutdated() const { return known_.term == 0 || highestTerm_ > known_.term; }
    /// Whether a primary is known for the highest term, with or without its owner.
    [[nodiscard]] bool hasPrimaryInHighestTerm() const;

private:
    KnownPrimary known_;
    std::optional<KnownPrimary> primaryWithoutOwner_;
    Core::Term highestTerm_ = 0;
    Core::Instant termSeenAt_;
};

} // namespace Chervilpin::Failover
