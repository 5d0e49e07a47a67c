#include <Failover/PrimaryKnowledge.h>

namespace Chervilpin::Failover {

PrimaryKnowledge::Effect PrimaryKnowledge::learn(const KnownPrimary &told, Core::Instant now)
{
    if (told.term == known_.term && told.primary != known_.primary)
        return Effect::Contradicted;
    if (told.term <= known_.term)
        return Effect::None;
    known_ = told;
    if (unowned_ && unowned_->term <= told.term)
        unowned_.reset();
    noteTerm(told.term, now);
    return Effect::Learned;
}

bool PrimaryKnowledge::noteUnowned(Core::Term term, const Core::DatabaseName &primary)
{
    if (term <= known_.term || (unowned_ && unowned_->term >= term))
        return false;
    unowned_ = KnownPrimary{.term = term, .primary = primary};
    return true;
}

std::optional<KnownPrimary> PrimaryKnowledge::ownedBy(const TermObject &object) const
{
    if (!unowned_)
        return std::nullopt;
    const std::optional<Core::HalfName> owner = object.ownerIn(unowned_->term);
    if (!owner)
        return std::nullopt;
    return KnownPrimary{unowned_->term, unowned_->primary, *owner};
}

bool PrimaryKnowledge::noteTerm(Core::Term term, Core::Instant now)
{
    if (term <= highestTerm_)
        return false;
    highestTerm_ = term;
    termSeenAt_ = now;
    return true;
}

bool PrimaryKnowledge::hasPrimaryInHighestTerm() const
{
    if (unowned_ && unowned_->term == highestTerm_)
        return true;
    return known_.term != 0 && known_.term == highestTerm_;
}

} // namespace Chervilpin::Failover
