#include <Failover/PrimaryTracker.h>

namespace Chervilpin::Failover {

PrimaryTracker::Effect PrimaryTracker::learn(const KnownPrimary &reported, Core::Instant now)
{
    if (reported.term == known_.term && reported.primary != known_.primary)
        return Effect::Contradicted;
    if (reported.term <= known_.term)
        return Effect::None;
    known_ = reported;
    if (primaryWithoutOwner_ && primaryWithoutOwner_->term <= reported.term)
        primaryWithoutOwner_.reset();
    recordTerm(reported.term, now);
    return Effect::Learned;
}

bool PrimaryTracker::recordPrimaryWithoutOwner(Core::Term term, const Core::DatabaseName &primary)
{
    if (term <= known_.term || (primaryWithoutOwner_ && primaryWithoutOwner_->term >= term))
        return false;
    primaryWithoutOwner_ = KnownPrimary{.term = term, .primary = primary};
    return true;
}

std::optional<KnownPrimary> PrimaryTracker::withOwnerFrom(const TermObject &object) const
{
    if (!primaryWithoutOwner_)
        return std::nullopt;
    const std::optional<Core::HalfName> owner = object.ownerIn(primaryWithoutOwner_->term);
    if (!owner)
        return std::nullopt;
    return KnownPrimary{primaryWithoutOwner_->term, primaryWithoutOwner_->primary, *owner};
}

bool PrimaryTracker::recordTerm(Core::Term term, Core::Instant now)
{
    if (term <= highestTerm_)
        return false;
    highestTerm_ = term;
    termSeenAt_ = now;
    return true;
}

bool PrimaryTracker::hasPrimaryInHighestTerm() const
{
    if (primaryWithoutOwner_ && primaryWithoutOwner_->term == highestTerm_)
        return true;
    return known_.term != 0 && known_.term == highestTerm_;
}

} // namespace Chervilpin::Failover
