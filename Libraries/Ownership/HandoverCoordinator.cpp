#include <Failover/PeerMessages.h>
#include <Ownership/HandoverCoordinator.h>

#include <iterator>
#include <string>
#include <utility>

namespace Chervilpin::Ownership {

std::string_view toString(HandoverState state)
{
    switch (state) {
    case HandoverState::Serving:
        return "serving";
    case HandoverState::Waiting:
        return "waiting";
    case HandoverState::TakingTerm:
        return "taking_term";
    case HandoverState::Draining:
        return "draining";
    case HandoverState::Promoting:
        return "promoting";
    }
    return "serving";
}

HandoverCoordinator::HandoverCoordinator(Failover::FailoverManager &failover, HandoverPolicy policy)
    : failover_(failover)
    , policy_(policy)
{ }

void HandoverCoordinator::setDesiredOwner(const Core::GroupName &group, const Core::HalfName &owner,
                                          Core::Instant now)
{
    if (owner.isEmpty()) {
        removeGroup(group);
        return;
    }
    Handover &handover = handovers_[group];
    if (handover.desiredOwner == owner)
        return;
    // A handover in progress to another owner is dropped here. The handover that starts now reverts
    // what it has already done.
    failover_.dropOwnershipRequest(group);
    handover = Handover{.desiredOwner = owner, .since = now};
}

void HandoverCoordinator::removeGroup(const Core::GroupName &group)
{
    failover_.dropOwnershipRequest(group);
    handovers_.erase(group);
}

Failover::Actions HandoverCoordinator::tick(Core::Instant now)
{
    for (auto &[group, handover] : handovers_) {
        const std::optional<View> view = failover_.view(group);
        if (!view || view->term == 0)
            continue;
        if (isComplete(handover, *view))
            complete(group, handover, now);
        else
            advance(group, handover, *view, now);
    }
    return std::exchange(actions_, {});
}

std::optional<HandoverStatus> HandoverCoordinator::status(const Core::GroupName &group) const
{
    const auto found = handovers_.find(group);
    const std::optional<View> view = failover_.view(group);
    if (found == handovers_.end() || !view)
        return std::nullopt;
    const Handover &handover = found->second;
    return HandoverStatus{handover.state, view->owner, handover.desiredOwner, handover.since};
}

void HandoverCoordinator::enterState(Handover &handover, HandoverState state, Core::Instant now)
{
    handover.state = state;
    handover.since = now;
}

bool HandoverCoordinator::isComplete(const Handover &handover, const View &view) const
{
    // Terms granted after an unfinished handover carry its owner, so it has to be reverted even
    // though it never took effect.
    if (policy_.revertUnfinished == Failover::Guard::Off)
        return view.owner == handover.desiredOwner;
    return view.owner == handover.desiredOwner
        && view.grantedOwner.value_or(view.owner) == handover.desiredOwner;
}

void HandoverCoordinator::complete(const Core::GroupName &group, Handover &handover,
                                   Core::Instant now)
{
    handover.pendingSince.reset();
    if (handover.state == HandoverState::Serving)
        return;
    failover_.dropOwnershipRequest(group);
    enterState(handover, HandoverState::Serving, now);
}

void HandoverCoordinator::advance(const Core::GroupName &group, Handover &handover,
                                  const View &view, Core::Instant now)
{
    if (!handover.pendingSince)
        handover.pendingSince = now;
    switch (handover.state) {
    case HandoverState::Serving:
        enterState(handover, HandoverState::Waiting, now);
        [[fallthrough]];
    case HandoverState::Waiting:
        if (isDueToDrive(handover, view, now))
            requestTerm(group, handover, now);
        return;
    case HandoverState::TakingTerm:
        if (view.ownershipTerm)
            startDraining(group, handover, *view.ownershipTerm, now);
        return;
    case HandoverState::Draining:
        if (now - handover.since >= policy_.drainDuration)
            startPromotion(group, handover, now);
        return;
    case HandoverState::Promoting:
        if (!view.isPromoting)
            scheduleRetry(group, handover, now);
        return;
    }
}

bool HandoverCoordinator::isDueToDrive(const Handover &handover, const View &view,
                                       Core::Instant now) const
{
    if (!view.isWatcher || view.isPromoting)
        return false;
    if (handover.nextAttemptAt && now < *handover.nextAttemptAt)
        return false;
    const auto rank = static_cast<std::int64_t>(view.watcherRank);
    return now - *handover.pendingSince >= policy_.takeOverTimeout * rank;
}

void HandoverCoordinator::requestTerm(const Core::GroupName &group, Handover &handover,
                                      Core::Instant now)
{
    enterState(handover, HandoverState::TakingTerm, now);
    failover_.requestOwnership(group, handover.desiredOwner);
}

void HandoverCoordinator::startDraining(const Core::GroupName &group, Handover &handover,
                                        Core::Term term, Core::Instant now)
{
    enterState(handover, HandoverState::Draining, now);
    // Peers hold back new work until they learn of the new term. If this node fails, they resume
    // after twice the drain duration.
    const Core::Duration remaining = policy_.drainDuration * 2;
    actions_.emplace_back(Failover::GroupDraining{group, term, remaining});
    const std::string notice = Failover::encode(Failover::DrainingNotice{group, term, remaining});
    for (const auto &node : failover_.nodes()) {
        if (node.name != failover_.self().name)
            actions_.emplace_back(Failover::SendToPeer{
                {.to = node.name, .kind = Peer::MessageKind::Failover, .payload = notice}});
    }
}

void HandoverCoordinator::startPromotion(const Core::GroupName &group, Handover &handover,
                                         Core::Instant now)
{
    enterState(handover, HandoverState::Promoting, now);
    addActions(failover_.startHandover(group, now));
}

void HandoverCoordinator::scheduleRetry(const Core::GroupName &group, Handover &handover,
                                        Core::Instant now)
{
    failover_.dropOwnershipRequest(group);
    handover.nextAttemptAt = now + policy_.retryDelay;
    enterState(handover, HandoverState::Waiting, now);
}

void HandoverCoordinator::addActions(Failover::Actions actions)
{
    std::move(actions.begin(), actions.end(), std::back_inserter(actions_));
}

} // namespace Chervilpin::Ownership
