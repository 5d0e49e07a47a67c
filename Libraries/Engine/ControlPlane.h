#pragma once

#include <Allotment/Manager.h>
#include <Configuration/Manager.h>
#include <Engine/Node.h>
#include <Engine/PlatformCalls.h>
#include <Failover/FailoverManager.h>
#include <Membership/Manager.h>
#include <Operator/Handler.h>
#include <Ownership/HandoverCoordinator.h>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Chervilpin::Engine {

struct OperatorRequest;

/// A newer configuration is in force on this node.
struct ConfigurationApplied
{
    Configuration::SnapshotPointer snapshot;
};

/// What the control plane decided for the path of requests.
using ControlEvent =
    std::variant<ConfigurationApplied, Failover::PrimaryKnown, Failover::GroupDraining,
                 Failover::SendToDatabase, Allotment::Decision>;

/// Joins the modules that work for the fleet as a whole: membership, configuration, failover,
/// ownership, allotment and the operators' API.
///
/// Carries the actions of each to the others, to peers and to the platform. What concerns requests
/// is left as events, which the engine takes after each call.
class ControlPlane
{
public:
    explicit ControlPlane(Node &);
    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    void start(Core::Instant now);
    void tick(Core::Instant now);
    void platformReply(Platform::Reply, Core::Instant now);
    void peerMessage(const Peer::Incoming &, Core::Instant now);
    void operatorRequest(const OperatorRequest &, Core::Instant now);

    void observe(const Failover::Observation &, Core::Instant now);
    void failoverAnswer(Failover::RequestToken, const Upstream::Answer &, Core::Instant now);
    void failoverGotNoAnswer(Failover::RequestToken, Failover::RequestFailure, Core::Instant now);

    /// How many connections to a database this node may have now.
    [[nodiscard]] std::uint32_t share(const Core::DatabaseName &, Core::Instant now) const;
    [[nodiscard]] Allotment::Manager &allotment() { return *allotment_; }
    /// Sends what pending takes of tokens need.
    void flushAllotment(Core::Instant now);

    /// Tells the fleet that this node is stopping, and begins to hand back.
    void leave(Core::Instant now);
    /// Whether everything was handed back.
    [[nodiscard]] bool isLeft(Core::Instant now) const;

    [[nodiscard]] std::vector<ControlEvent> takeEvents();

private:
    void perform(Membership::Actions, Core::Instant now);
    void perform(Configuration::Actions, Core::Instant now);
    void perform(Failover::Actions, Core::Instant now);
    void perform(std::vector<Allotment::Action>, Core::Instant now);
    void perform(Operator::Actions, Core::Instant now);

    void call(Platform::Call, CallingModule, Core::Instant now);
    void send(Peer::Outgoing);
    void memberChanged(const Membership::Member &);
    void apply(const Configuration::SnapshotPointer &, Core::Instant now);
    void configureFailover(const Configuration::Snapshot &, Core::Instant now);
    void configureLimits(const Configuration::Snapshot &, Core::Instant now);
    void primaryKnown(Failover::PrimaryKnown);
    void logEvent(const Failover::Event &);
    void logTimings(const Failover::FailoverTimings &);
    void passOnMembers(Core::Instant now);
    void reportUse();
    void reportConditions(Core::Instant now);
    [[nodiscard]] std::string addressOf(const Core::NodeName &) const;

    Node &node_;
    PlatformCalls calls_;
    Membership::Manager membership_;
    Configuration::Manager configuration_;
    Operator::Handler operators_;
    Failover::FailoverManager failover_;
    Ownership::HandoverCoordinator handover_;
    std::unique_ptr<Allotment::Manager> allotment_;
    std::vector<ControlEvent> events_;
    Core::Instant nextReport_;
    bool areMembersChanged_ = true;
    bool isLeaving_ = false;
};

} // namespace Chervilpin::Engine
