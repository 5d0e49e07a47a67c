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

/// One node's failover of all groups: the whole of this module to the engine.
///
/// Each input returns the actions to carry out, in order. Nothing waits: what takes time is done
/// by later ticks.
class FailoverManager
{
public:
    static Core::ErrorOr<FailoverManager> create(ThisNode, FailoverPolicy = {});

    /// Sets the groups as configured; what is known of those that stay is kept.
    [[nodiscard]] Actions setGroups(const std::vector<Group> &, Core::Instant now);
    /// Sets the nodes that membership believes live, this one included or not.
    [[nodiscard]] Actions setNodes(std::vector<PeerNode> live, Core::Instant now);

    [[nodiscard]] Actions observe(const Observation &, Core::Instant now);
    [[nodiscard]] Actions databaseAnswer(RequestToken, const Upstream::Answer &, Core::Instant now);
    [[nodiscard]] Actions databaseRequestFailed(RequestToken, RequestFailure, Core::Instant now);
    [[nodiscard]] Actions platformReply(const Platform::Reply &, Core::Instant now);
    [[nodiscard]] Actions peerMessage(const Peer::Incoming &, Core::Instant now);
    [[nodiscard]] Actions tick(Core::Instant now);
    /// Gives reservations back, for a planned stop. Ticks go on until the platform has answered.
    [[nodiscard]] Actions release(Core::Instant now);

    /// Asks for a term in which the half owns the group; see GroupView::ownershipTerm.
    void requestOwnership(const Core::GroupName &, const Core::HalfName &);
    void dropOwnershipRequest(const Core::GroupName &);
    /// Fences the group with that term and promotes, if possible the same database.
    [[nodiscard]] Actions startHandover(const Core::GroupName &, Core::Instant now);

    [[nodiscard]] std::optional<GroupView> view(const Core::GroupName &) const;
    /// What this node makes of a database; for status and for the router.
    [[nodiscard]] Health health(const Core::DatabaseName &, Core::Instant now) const;
    /// The group's platform object as last seen, or nothing.
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
    std::map<Platform::CallId, Core::GroupName> pendingCalls_; ///< The last one of each group.
    GroupNumber lastGroupNumber_ = 0;
    Platform::CallId lastCallId_ = 0;
};

} // namespace Chervilpin::Failover
