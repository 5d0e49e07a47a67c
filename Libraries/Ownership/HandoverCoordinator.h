#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Failover/Actions.h>
#include <Failover/FailoverManager.h>

#include <map>
#include <optional>
#include <string_view>

/// Changes of the half that owns a group.
namespace Chervilpin::Ownership {

/// The time limits of a change.
struct HandoverPolicy
{
    Core::Duration drain{300};          ///< Running transactions get this long to finish.
    Core::Duration takeOverAfter{1500}; ///< The next watcher takes over a change after this.
    Core::Duration retryAfter{300};     ///< Between two attempts of one node.
    /// A change that took a term without coming into force is undone by another change.
    Failover::Guard undoUnfinished = Failover::Guard::On;
};

enum class HandoverState {
    Serving,    ///< The group's owner is the desired one, or there is nothing to do.
    Waiting,    ///< Another node is expected to drive the change.
    TakingTerm, ///< The platform is asked for a term with the new owner.
    Draining,   ///< New work is held back; running transactions finish.
    Promoting,  ///< The group is fenced and promoted under that term.
};

/// The name of a state in status and logs, such as `taking_term`.
[[nodiscard]] std::string_view toString(HandoverState);

/// How far a group's change is, for the status of its resource.
struct HandoverStatus
{
    HandoverState state = HandoverState::Serving;
    Core::HalfName owner;   ///< Who owns it now; empty until known.
    Core::HalfName desired; ///< Who shall own it.
    Core::Instant since;    ///< When the state began.
};

/// Brings each group to the owner that the configuration names, as planned promotions.
///
/// Each node has one. All of them see the same desire; the first live watcher of a group drives,
/// the next ones take over when it doesn't come to an end. Nothing needs to be remembered: what a
/// dead driver left is in the platform's object and in the databases' terms. A change reversed
/// midway is another change with a higher term.
class HandoverCoordinator
{
public:
    /// The manager must outlive this object.
    HandoverCoordinator(Failover::FailoverManager &, HandoverPolicy = {});

    /// Sets the owner that the configuration names; with an empty name the group is left alone.
    void setDesired(const Core::GroupName &, const Core::HalfName &, Core::Instant now);
    void forget(const Core::GroupName &);

    /// Moves every change on. Call it right after the manager's own tick.
    [[nodiscard]] Failover::Actions tick(Core::Instant now);

    [[nodiscard]] std::optional<HandoverStatus> status(const Core::GroupName &) const;

private:
    struct Change
    {
        Core::HalfName desired;
        HandoverState state = HandoverState::Serving;
        Core::Instant since;
        std::optional<Core::Instant> wantedSince; ///< Since when owner and desire differ.
        std::optional<Core::Instant> notBefore;   ///< The next attempt of this node.
    };

    using View = Failover::GroupView;

    void enter(Change &, HandoverState, Core::Instant now);
    [[nodiscard]] bool isSettled(const Change &, const View &) const;
    void settle(const Core::GroupName &, Change &, Core::Instant now);
    void advance(const Core::GroupName &, Change &, const View &, Core::Instant now);
    [[nodiscard]] bool isOwnTurn(const Change &, const View &, Core::Instant now) const;
    void takeTerm(const Core::GroupName &, Change &, Core::Instant now);
    void startDrain(const Core::GroupName &, Change &, Core::Term, Core::Instant now);
    void startPromotion(const Core::GroupName &, Change &, Core::Instant now);
    void tryAgain(const Core::GroupName &, Change &, Core::Instant now);
    void add(Failover::Actions);

    Failover::FailoverManager &failover_;
    HandoverPolicy policy_;
    std::map<Core::GroupName, Change> changes_;
    Failover::Actions actions_;
};

} // namespace Chervilpin::Ownership
