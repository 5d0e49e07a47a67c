#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Upstream/Messages.h>

#include <map>
#include <optional>

namespace Chervilpin::Failover {

/// Notices databases that are not in their place under the known primary, such as an old primary
/// that came back, and tells when each is to be reported whom to follow.
class ReplicationReconciler
{
public:
    /// \a interval is the least time between two tellings of one database.
    explicit ReplicationReconciler(Core::Duration interval)
        : interval_(interval)
    { }

    /// Starts anew under another primary.
    void setPrimary(Core::Term, const Core::DatabaseName &);

    /// Takes a database's status, and returns whether it is to be reported now. \a gracePeriod is
    /// how long it may find its place by itself or through others.
    [[nodiscard]] bool shouldSendFollow(const Core::DatabaseName &, const Upstream::Status &,
                                        Core::Duration gracePeriod, Core::Instant now);

    /// Since when the primary itself has not been one, or nothing.
    [[nodiscard]] std::optional<Core::Instant> primaryMismatchSince() const;

private:
    struct Mismatch
    {
        Core::Instant since;
        std::optional<Core::Instant> followSentAt;
    };

    [[nodiscard]] bool matchesExpectedRole(const Core::DatabaseName &,
                                           const Upstream::Status &) const;

    Core::Duration interval_;
    Core::Term term_ = 0;
    Core::DatabaseName primary_;
    std::map<Core::DatabaseName, Mismatch> mismatches_;
};

} // namespace Chervilpin::Failover
