#pragma once

#include <Allotment/Manager.h>
#include <Configuration/Settings.h>
#include <Engine/NodeSettings.h>
#include <Failover/FailoverManager.h>
#include <Membership/Settings.h>
#include <Operator/Handler.h>

#include <cstdint>
#include <memory>

/// The settings of each module of the control plane, as they follow from those of the node.
namespace Chervilpin::Engine {

[[nodiscard]] Membership::Settings membershipSettings(const NodeSettings &);
[[nodiscard]] Configuration::Settings configurationSettings(const NodeSettings &);
[[nodiscard]] Operator::Settings operatorSettings(const NodeSettings &);
[[nodiscard]] Failover::FailoverManager createFailover(const NodeSettings &, std::uint64_t seed);
[[nodiscard]] std::unique_ptr<Allotment::Manager> createAllotment(const NodeSettings &);

} // namespace Chervilpin::Engine
