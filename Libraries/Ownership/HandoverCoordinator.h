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

/// The time limits of a handover.
struct HandoverPolicy
{
    Core::Duration drainDuration{300};    ///< Running transactions get this long to finish.
    Core::Duration takeOverTimeout{1500}; ///< The next watcher takes over a handover after this.
    Core::Duration retryDelay{300};       ///< Between two attempts of one node.
    /// A handover that took a term without coming into force is undone by another handover.
    Failover::Guard revertUnfinished = Failover::Guard::On;
};

enum class HandoverState {
    Serving,    ///< The group's owner is the desired one, or there is nothing to do.
    Waiting,    ///< Another node is expected to drive the handover.
    TakingTerm, ///< The platform is asked for a term with the new owner.
    Draining,   ///< New work is held back; running transactions finish.
    Promoting,  ///< The group is fenced and promoted under that term.
};

/// The name of a state in status and logs, such as `taking_term`.
[[nodiscard]] std::string_view toString(HandoverState);

/// How far a group's handover is, for the status of its resource.
struct HandoverStatus
{
    HandoverState state = HandoverState::Serving;
    Core::HalfName owner;        ///< Who owns it now; empty until known.
    Core::HalfName desiredOwner; ///< Who shall own it.
    Core::Instant since;         ///< When the state began.
};

/// Brings each group to the owner that the configuration names, as planned promotions.
///
/// Each node has one. All of them see the same desire; the first live watcher of a group drives,
/// the next ones take over when it doesn't come to an end. Nothing needs to be remembered: what a
/// dead driver left is in the platform's object and in the databases' terms. A handover reversed
/// midway is another handover with a higher term.
class HandoverCoordinator
{
public:
    /// The manager must outlive this object.
    HandoverCoordinator(Failover::FailoverManager &, HandoverPolicy = {});

    /// Sets the owner that the configuration names; with an empty name the group is left alone.
    void setDesiredOwner(const Core::GroupName &, const Core::HalfName &, Core::Instant now);
    void removeGroup(const Core::GroupName &);

    /// Moves every handover on. Call it right after the manager's own tick.
    [[nodiscard]] Failover::Actions tick(Core::Instant now);

    [[nodiscard]] std::optional<HandoverStatus> status(const Core::GroupName &) const;

private:
    struct Handover
    {
        Core::HalfName desiredOwner;
        HandoverState state = HandoverState::Serving;
        Core::Instant since;
        std::optional<Core::Instant> pendingSince;  ///< Since when owner and desire differ.
        std::optional<Core::Instant> nextAttemptAt; ///< The next attempt of this node.
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
