#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Failover/Actions.h>
#include <Failover/FailoverManager.h>

#include <map>
#include <optional>
#include <string_view>

/// Planned handovers of an upstream group from one owning half to the other.
namespace Chervilpin::Ownership {

/// Time limits and guards of a handover.
struct HandoverPolicy
{
    Core::Duration drainDuration{300};    ///< Time that running transactions get to finish.
    Core::Duration takeOverTimeout{1500}; ///< Time per rank before a watcher takes over.
    Core::Duration retryDelay{300};       ///< Between two attempts of the same node.
    /// Whether a handover that was granted a term but never took effect is reverted by another
    /// handover.
    Failover::Guard revertUnfinished = Failover::Guard::On;
};

enum class HandoverState {
    Serving,    ///< The owner is the desired one, or no handover has started.
    Waiting,    ///< Not driven by this node: another one drives it, or a retry is pending.
    TakingTerm, ///< A term with the new owner is being requested from the platform.
    Draining,   ///< New work is held back while running transactions finish.
    Promoting,  ///< The group is fenced and promoted under the granted term.
};

/// Returns the name of a state as status and logs show it, such as `taking_term`.
[[nodiscard]] std::string_view toString(HandoverState);

/// Progress of a group's handover, shown in the status of its resource.
struct HandoverStatus
{
    HandoverState state = HandoverState::Serving;
    Core::HalfName owner;        ///< The current owner; empty until known.
    Core::HalfName desiredOwner; ///< The owner that the configuration names.
    Core::Instant since;         ///< When the state was entered.
};

/// Hands each group over to the owner that the configuration names, by planned promotions.
///
/// Every node runs a coordinator, and all see the same configuration. The first live watcher of a
/// group drives its handover; the next ones take over if it does not complete in time. No state is
/// persisted here: what a failed driver left behind is in the platform's object and in the
/// databases' terms. Reversing a handover midway starts another handover with a higher term.
class HandoverCoordinator
{
public:
    /// The failover manager must outlive this object.
    HandoverCoordinator(Failover::FailoverManager &, HandoverPolicy = {});

    /// Sets the owner that the configuration names. An empty name stops managing the group.
    void setDesiredOwner(const Core::GroupName &, const Core::HalfName &, Core::Instant now);
    void removeGroup(const Core::GroupName &);

    /// Advances every handover. Must be called right after the failover manager's tick.
    [[nodiscard]] Failover::Actions tick(Core::Instant now);

    [[nodiscard]] std::optional<HandoverStatus> status(const Core::GroupName &) const;

private:
    struct Handover
    {
        Core::HalfName desiredOwner;
        HandoverState state = HandoverState::Serving;
        Core::Instant since;
        std::optional<Core::Instant> pendingSince; ///< Since when the owner is not the desired one.
        std::optional<Core::Instant> nextAttemptAt; ///< Earliest next attempt of this node.
    };

    using View = Failover::GroupView;

    void enterState(Handover &, HandoverState, Core::Instant now);
    [[nodiscard]] bool isComplete(const Handover &, const View &) const;
    void complete(const Core::GroupName &, Handover &, Core::Instant now);
    void advance(const Core::GroupName &, Handover &, const View &, Core::Instant now);
    [[nodiscard]] bool isDueToDrive(const Handover &, const View &, Core::Instant now) const;
    void requestTerm(const Core::GroupName &, Handover &, Core::Instant now);
    void startDraining(const Core::GroupName &, Handover &, Core::Term, Core::Instant now);
    void startPromotion(const Core::GroupName &, Handover &, Core::Instant now);
    void scheduleRetry(const Core::GroupName &, Handover &, Core::Instant now);
    void addActions(Failover::Actions);

    Failover::FailoverManager &failover_;
    HandoverPolicy policy_;
    std::map<Core::GroupName, Handover> handovers_;
    Failover::Actions actions_;
};

} // namespace Chervilpin::Ownership
