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

void HandoverCoordinator::setDesired(const Core::GroupName &group, const Core::HalfName &owner,
                                     Core::Instant now)
{
    if (owner.isEmpty()) {
        forget(group);
        return;
    }
    Change &change = changes_[group];
    if (change.desired == owner)
        return;
    // A change that was under way to another owner is dropped here; what it did already is undone
    // by the change that starts now.
    failover_.dropOwnershipRequest(group);
    change = Change{.desired = owner, .since = now};
}

void HandoverCoordinator::forget(const Core::GroupName &group)
{
    failover_.dropOwnershipRequest(group);
    changes_.erase(group);
}

Failover::Actions HandoverCoordinator::tick(Core::Instant now)
{
    for (auto &[group, change] : changes_) {
        const std::optional<View> view = failover_.view(group);
        if (!view || view->term == 0)
            continue;
        if (isSettled(change, *view))
            settle(group, change, now);
        else
            advance(group, change, *view, now);
    }
    return std::exchange(actions_, {});
}

std::optional<HandoverStatus> HandoverCoordinator::status(const Core::GroupName &group) const
{
    const auto found = changes_.find(group);
    const std::optional<View> view = failover_.view(group);
    if (found == changes_.end() || !view)
        return std::nullopt;
    const Change &change = found->second;
    return HandoverStatus{change.state, view->owner, change.desired, change.since};
}

void HandoverCoordinator::enter(Change &change, HandoverState state, Core::Instant now)
{
    change.state = state;
    change.since = now;
}

bool HandoverCoordinator::isSettled(const Change &change, const View &view) const
{
    // Terms granted after an unfinished change carry its owner, so that it has to be undone even
    // though it never came into force.
    if (policy_.undoUnfinished == Failover::Guard::Off)
        return view.owner == change.desired;
    return view.owner == change.desired && view.grantedOwner.value_or(view.owner) == change.desired;
}

void HandoverCoordinator::settle(const Core::GroupName &group, Change &change, Core::Instant now)
{
    change.wantedSince.reset();
    if (change.state == HandoverState::Serving)
        return;
    failover_.dropOwnershipRequest(group);
    enter(change, HandoverState::Serving, now);
}

void HandoverCoordinator::advance(const Core::GroupName &group, Change &change, const View &view,
                                  Core::Instant now)
{
    if (!change.wantedSince)
        change.wantedSince = now;
    switch (change.state) {
    case HandoverState::Serving:
        enter(change, HandoverState::Waiting, now);
        [[fallthrough]];
    case HandoverState::Waiting:
        if (isOwnTurn(change, view, now))
            takeTerm(group, change, now);
        return;
    case HandoverState::TakingTerm:
        if (view.ownershipTerm)
            startDrain(group, change, *view.ownershipTerm, now);
        return;
    case HandoverState::Draining:
        if (now - change.since >= policy_.drain)
            startPromotion(group, change, now);
        return;
    case HandoverState::Promoting:
        if (!view.isPromoting)
            tryAgain(group, change, now);
        return;
    }
}

bool HandoverCoordinator::isOwnTurn(const Change &change, const View &view, Core::Instant now) const
{
    if (!view.isWatcher || view.isPromoting)
        return false;
    if (change.notBefore && now < *change.notBefore)
        return false;
    const auto rank = static_cast<std::int64_t>(view.watcherRank);
    return now - *change.wantedSince >= policy_.takeOverAfter * rank;
}

void HandoverCoordinator::takeTerm(const Core::GroupName &group, Change &change, Core::Instant now)
{
    enter(change, HandoverState::TakingTerm, now);
    failover_.requestOwnership(group, change.desired);
}

void HandoverCoordinator::startDrain(const Core::GroupName &group, Change &change, Core::Term term,
                                     Core::Instant now)
{
    enter(change, HandoverState::Draining, now);
    // The peers hold new work back until they hear of the new term; should this node die, they go
    // on after twice the time.
    const Core::Duration remaining = policy_.drain * 2;
    actions_.emplace_back(Failover::GroupDraining{group, term, remaining});
    const std::string notice = Failover::encode(Failover::DrainingNotice{group, term, remaining});
    for (const auto &node : failover_.nodes()) {
        if (node.name != failover_.self().name)
            actions_.emplace_back(Failover::SendToPeer{
                {.to = node.name, .kind = Peer::MessageKind::Failover, .payload = notice}});
    }
}

void HandoverCoordinator::startPromotion(const Core::GroupName &group, Change &change,
                                         Core::Instant now)
{
    enter(change, HandoverState::Promoting, now);
    add(failover_.startHandover(group, now));
}

void HandoverCoordinator::tryAgain(const Core::GroupName &group, Change &change, Core::Instant now)
{
    failover_.dropOwnershipRequest(group);
    change.notBefore = now + policy_.retryAfter;
    enter(change, HandoverState::Waiting, now);
}

void HandoverCoordinator::add(Failover::Actions actions)
{
    std::move(actions.begin(), actions.end(), std::back_inserter(actions_));
}

} // namespace Chervilpin::Ownership
