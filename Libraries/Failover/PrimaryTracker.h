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

/// What one node knows of a group's primary and terms. It only ever goes to higher terms.
class PrimaryTracker
{
public:
    enum class Effect {
        None,
        Learned,
        Contradicted, ///< Another primary was reported for the known term.
    };

    explicit PrimaryTracker(Core::Instant now)
        : termSeenAt_(now)
    { }

    [[nodiscard]] Effect learn(const KnownPrimary &, Core::Instant now);
    /// A database was seen to be the primary of a term; returns whether that is news.
    [[nodiscard]] bool recordPrimaryWithoutOwner(Core::Term, const Core::DatabaseName &);
    /// The primary without known owner, completed from the group's object if that covers its term.
    [[nodiscard]] std::optional<KnownPrimary> withOwnerFrom(const TermObject &) const;
    /// A database knows this term; returns whether it is the highest so far.
    bool recordTerm(Core::Term, Core::Instant now);

    [[nodiscard]] const KnownPrimary &known() const { return known_; }
    [[nodiscard]] bool isAwaitingOwner() const { return primaryWithoutOwner_.has_value(); }
    [[nodiscard]] Core::Term highestTerm() const { return highestTerm_; }
    /// When the highest term was first seen, or the start.
    [[nodiscard]] Core::Instant termSeenAt() const { return termSeenAt_; }
    /// Whether there is, or may be, a primary that this node doesn't know yet.
    [[nodiscard]] bool isOutdated() const { return known_.term == 0 || highestTerm_ > known_.term; }
    /// Whether the highest term has a primary, be its owner known or not.
    [[nodiscard]] bool hasPrimaryInHighestTerm() const;

private:
    KnownPrimary known_;
    std::optional<KnownPrimary> primaryWithoutOwner_;
    Core::Term highestTerm_ = 0;
    Core::Instant termSeenAt_;
};

} // namespace Chervilpin::Failover
