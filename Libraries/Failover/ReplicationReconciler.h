#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Upstream/Messages.h>

#include <map>
#include <optional>

namespace Chervilpin::Failover {

/// Detects databases whose role or replication source does not match the known primary, such as a
/// former primary that came back, and decides when to send each a Follow request.
class ReplicationReconciler
{
public:
    /// \a interval is the minimum time between two Follow requests to one database.
    explicit ReplicationReconciler(Core::Duration interval)
        : interval_(interval)
    { }

    /// Sets the expected primary and discards all recorded mismatches.
    void setPrimary(Core::Term, const Core::DatabaseName &);

    /// Records a database's status and returns whether to send it a Follow request now. The
    /// database may take \a gracePeriod to reach its expected role, by itself or through another
    /// node.
    [[nodiscard]] bool shouldSendFollow(const Core::DatabaseName &, const Upstream::Status &,
                                        Core::Duration gracePeriod, Core::Instant now);

    /// Since when the expected primary has not acted as primary, or nothing.
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
