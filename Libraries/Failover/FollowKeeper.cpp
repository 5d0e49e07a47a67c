#include <Failover/FollowKeeper.h>

namespace Chervilpin::Failover {

void FollowKeeper::setPrimary(Core::Term term, const Core::DatabaseName &primary)
{
    term_ = term;
    primary_ = primary;
    strays_.clear();
}

bool FollowKeeper::shallTell(const Core::DatabaseName &database, const Upstream::Status &status,
                             Core::Duration patience, Core::Instant now)
{
    if (isInPlace(database, status)) {
        strays_.erase(database);
        return false;
    }
    Stray &stray = strays_.try_emplace(database, Stray{.since = now}).first->second;
    const bool isDue = !stray.toldAt || now - *stray.toldAt >= interval_;
    // A primary that forgot its promotion can only be replaced, by a promotion of a higher term.
    if (database == primary_ || !isDue || now - stray.since < patience)
        return false;
    stray.toldAt = now;
    return true;
}

std::optional<Core::Instant> FollowKeeper::primaryLostSince() const
{
    const auto found = strays_.find(primary_);
    if (found == strays_.end())
        return std::nullopt;
    return found->second.since;
}

bool FollowKeeper::isInPlace(const Core::DatabaseName &database,
                             const Upstream::Status &status) const
{
    if (status.knownTerm != term_)
        return false;
    if (database == primary_)
        return status.role == Upstream::Role::Primary;
    return status.role == Upstream::Role::Replica && status.primary == primary_;
}

} // namespace Chervilpin::Failover
