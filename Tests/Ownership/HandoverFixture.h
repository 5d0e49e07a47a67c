#pragma once

#include <Ownership/HandoverCoordinator.h>
#include <Tests/Failover/FakeFleet.h>

#include <map>
#include <memory>
#include <vector>

namespace Chervilpin::Ownership::Fakes {

using Failover::Fakes::FakeFleet;

const Core::HalfName east("east");
const Core::HalfName west("west");

/// A simulated fleet in which each node has a handover coordinator.
struct HandoverFixture
{
    explicit HandoverFixture(const HandoverPolicy &policy = {})
    {
        for (auto &node : fleet.nodes)
            coordinators.push_back(std::make_unique<HandoverCoordinator>(node.manager, policy));
        fleet.afterTick = [this](std::size_t node) {
            fleet.execute(node, coordinators[node]->tick(fleet.now));
        };
        setDesiredOwner(east);
        fleet.run(Core::Duration(1000));
        fleet.writingNodes = {0, 1, 2};
        fleet.run(Core::Duration(200));
        fleet.longestGap = {};
    }

    void setDesiredOwner(const Core::HalfName &owner)
    {
        for (auto &coordinator : coordinators)
            coordinator->setDesiredOwner(FakeFleet::groupName(), owner, fleet.now);
    }

    [[nodiscard]] HandoverState state(std::size_t node) const
    {
        return coordinators[node]->status(FakeFleet::groupName())->state;
    }

    /// Returns the node that drives a handover: the watcher of rank 0.
    [[nodiscard]] std::size_t driver() const
    {
        for (std::size_t node = 0; node < fleet.nodes.size(); ++node)
            if (fleet.nodes[node].manager.view(FakeFleet::groupName())->watcherRank == 0)
                return node;
        return 0;
    }

    /// Runs until the driver is in the \a target state, for at most two seconds.
    void runUntil(HandoverState target)
    {
        for (int step = 0; step < 200 && state(driver()) != target; ++step)
            fleet.run(Core::Duration(10));
    }

    /// Whether every running node serves the group for this owner, under one term.
    [[nodiscard]] bool isOwnedBy(const Core::HalfName &owner) const
    {
        for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
            const auto &known = fleet.nodes[node].known.back();
            const bool isServedForOwner = known.owner == owner
                && known.term == fleet.nodes[1].known.back().term
                && state(node) == HandoverState::Serving;
            if (fleet.nodes[node].isAlive && !fleet.nodes[node].isPaused && !isServedForOwner)
                return false;
        }
        return true;
    }

    /// Whether no term has acknowledged writes of two owners, so that the owner changes only with
    /// the term.
    [[nodiscard]] bool hasOneOwnerPerTerm() const
    {
        std::map<Core::Term, Core::HalfName> owners;
        for (const auto &write : fleet.acknowledged)
            if (owners.emplace(write.mark.term, write.owner).first->second != write.owner)
                return false;
        return true;
    }

    FakeFleet fleet;
    std::vector<std::unique_ptr<HandoverCoordinator>> coordinators;
};

} // namespace Chervilpin::Ownership::Fakes
