#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Core/Result.h>
#include <Failover/Actions.h>
#include <Failover/GroupFailover.h>
#include <Failover/Policy.h>
#include <Failover/Settings.h>
#include <Peer/Message.h>
#include <Platform/Messages.h>
#include <Upstream/Messages.h>

#include <map>
#include <optional>
#include <vector>

namespace Chervilpin::Failover {

/// Runs failover of all groups on one node; the engine's interface to this module.
///
/// Each input returns the actions to perform, in order. No call blocks: work that takes time
/// continues in later ticks.
class FailoverManager
{
public:
    static Core::ErrorOr<FailoverManager> create(ThisNode, FailoverPolicy = {});

    /// Sets the configured groups. The state of unchanged groups is kept.
    [[nodiscard]] Actions setGroups(const std::vector<Group> &, Core::Instant now);
    /// Sets the nodes that membership considers live; the list may include this node.
    [[nodiscard]] Actions setNodes(std::vector<PeerNode> live, Core::Instant now);

    [[nodiscard]] Actions observe(const Observation &, Core::Instant now);
    [[nodiscard]] Actions databaseAnswer(RequestToken, const Upstream::Answer &, Core::Instant now);
    [[nodiscard]] Actions databaseRequestFailed(RequestToken, RequestFailure, Core::Instant now);
    [[nodiscard]] Actions platformReply(const Platform::Reply &, Core::Instant now);
    [[nodiscard]] Actions peerMessage(const Peer::Incoming &, Core::Instant now);
    [[nodiscard]] Actions tick(Core::Instant now);
    /// Releases the reservations before a planned stop. tick() must be called until the platform
    /// has answered.
    [[nodiscard]] Actions release(Core::Instant now);

    /// Requests a term in which the half owns the group; see GroupView::ownershipTerm.
    void requestOwnership(const Core::GroupName &, const Core::HalfName &);
    void dropOwnershipRequest(const Core::GroupName &);
    /// Fences the group with the granted ownership term and promotes a database, preferably the
    /// current primary.
    [[nodiscard]] Actions startHandover(const Core::GroupName &, Core::Instant now);

    [[nodiscard]] std::optional<GroupView> view(const Core::GroupName &) const;
    /// This node's assessment of a database, for status output and for the router.
    [[nodiscard]] Health health(const Core::DatabaseName &, Core::Instant now) const;
    /// The group's term object as last read from the platform, or null.
    [[nodiscard]] const TermObject *termObject(const Core::GroupName &) const;
    [[nodiscard]] const std::vector<PeerNode> &nodes() const { return live_; }
    [[nodiscard]] const ThisNode &self() const { return self_; }

private:
    FailoverManager(ThisNode, FailoverPolicy);

    GroupFailover *find(const Core::GroupName &);
    [[nodiscard]] const GroupFailover *find(const Core::GroupName &) const;
    GroupFailover *groupOf(const Core::DatabaseName &);
    GroupFailover *groupOf(RequestToken);
    void call(const Core::GroupName &, Platform::CallBody, Actions &);

    ThisNode self_;
    FailoverPolicy policy_;
    Core::Random random_;
    std::vector<PeerNode> live_;
    std::map<Core::GroupName, GroupFailover> groups_;
    std::map<Core::DatabaseName, Core::GroupName> groupOfDatabase_;
    std::map<GroupNumber, Core::GroupName> groupOfNumber_;
    std::map<Platform::CallId, Core::GroupName> pendingCalls_; ///< The latest call of each group.
    GroupNumber lastGroupNumber_ = 0;
    Platform::CallId lastCallId_ = 0;
};

} // namespace Chervilpin::Failover
