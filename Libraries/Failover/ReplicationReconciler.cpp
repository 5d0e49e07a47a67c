#include <Failover/ReplicationReconciler.h>

namespace Chervilpin::Failover {

void ReplicationReconciler::setPrimary(Core::Term term, const Core::DatabaseName &primary)
{
    term_ = term;
    primary_ = primary;
    mismatches_.clear();
}

bool ReplicationReconciler::shouldSendFollow(const Core::DatabaseName &database,
                                             const Upstream::Status &status,
                                             Core::Duration gracePeriod, Core::Instant now)
{
    if (matchesExpectedRole(database, status)) {
        mismatches_.erase(database);
        return false;
    }
    Mismatch &mismatch = mismatches_.try_emplace(database, Mismatch{.since = now}).first->second;
    const bool isDue = !mismatch.followSentAt || now - *mismatch.followSentAt >= interval_;
    // A primary that lost the record of its promotion can only be replaced, by a promotion under a
    // higher term.
    if (database == primary_ || !isDue || now - mismatch.since < gracePeriod)
        return false;
    mismatch.followSentAt = now;
    return true;
}

std::optional<Core::Instant> ReplicationReconciler::primaryMismatchSince() const
{
    const auto found = mismatches_.find(primary_);
    if (found == mismatches_.end())
        return std::nullopt;
    return found->second.since;
}

bool ReplicationReconciler::matchesExpectedRole(const Core::DatabaseName &database,
                                                const Upstream::Status &status) const
{
    if (status.knownTerm != term_)
        return false;
    if (database == primary_)
        return status.role == Upstream::Role::Primary;
    return status.role == Upstream::Role::Replica && status.primary == primary_;
}

} // namespace Chervilpin::Failover
