#pragma once

#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Route/Stamp.h>
#include <Route/TermEvidence.h>
#include <Upstream/Messages.h>

#include <cstdint>
#include <optional>

namespace Chervilpin::Route {

enum class Reachability {
    Open,   ///< A connection is open, or no failure is known that prevents opening one.
    Broken, ///< Connections fail or do not answer.
};

/// The state of one database as known to this node: its last status, the evidence from all
/// statuses, and its load.
class DatabaseView
{
public:
    explicit DatabaseView(Core::DatabaseName name);

    void observe(const Upstream::Status &status, const Stamp &asked, Core::Instant now);
    void setReachability(Reachability reachability, Core::Instant now);
    void started(Core::Instant now);
    void finished(Core::Duration latency, Core::Instant now);
    /// Records that the replica took between \a minimum and \a maximum to reach a mark of the
    /// primary.
    void caughtUpBetween(Core::Duration minimum, Core::Duration maximum);
    /// Records that the database did not reach a mark within \a wait.
    void wasBehind(Core::Duration wait);

    [[nodiscard]] const Core::DatabaseName &name() const { return name_; }
    [[nodiscard]] const TermEvidence &evidence() const { return evidence_; }
    [[nodiscard]] const std::optional<Upstream::Status> &status() const { return status_; }
    /// When the latest status was received.
    [[nodiscard]] Core::Instant statusSeen() const { return statusSeen_; }
    [[nodiscard]] bool isPrimary() const;
    [[nodiscard]] bool isReachable() const { return reachability_ == Reachability::Open; }
    /// The estimated replication delay behind the primary.
    [[nodiscard]] Core::Duration catchUpDelay() const;
    /// The mark extrapolated to the given time at the recent replication rate.
    [[nodiscard]] Core::LogMark predictedHeld(Core::Instant at) const;
    /// The expected latency of a statement in milliseconds. It decays while no statement finishes,
    /// so that a database that was slow is tried again.
    [[nodiscard]] double expectedLatency(Core::Instant now) const;
    [[nodiscard]] std::uint32_t inFlight() const { return inFlight_; }

private:
    void updateReplicationRate(const Upstream::Status &status, Core::Instant now);

    Core::DatabaseName name_;
    TermEvidence evidence_;
    std::optional<Upstream::Status> status_;
    Stamp statusAsked_;
    Core::Instant statusSeen_;
    Reachability reachability_ = Reachability::Open;
    std::uint32_t inFlight_ = 0;
    double latencyMilliseconds_ = 0;
    Core::Instant latencySeen_;
    double catchUpMilliseconds_;
    double positionsPerMillisecond_ = 0;
};

} // namespace Chervilpin::Route
