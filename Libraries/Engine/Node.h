#pragma once

#include <Authenticate/Keyring.h>
#include <Configuration/Snapshot.h>
#include <Core/Random.h>
#include <Engine/ConnectionTable.h>
#include <Engine/GroupRuntime.h>
#include <Engine/NodeSettings.h>
#include <Engine/Outbox.h>
#include <Route/Stamp.h>

#include <map>
#include <optional>
#include <set>

namespace Chervilpin::Engine {

/// What the parts of one engine share.
struct Node
{
    Node(NodeSettings nodeSettings, std::uint64_t seed)
        : settings(std::move(nodeSettings))
        , random(seed)
        , snapshot(Configuration::Snapshot::empty())
    { }

    [[nodiscard]] GroupRuntime *findGroup(const Core::GroupName &name)
    {
        const auto found = groups.find(name);
        return found == groups.end() ? nullptr : &found->second;
    }

    /// Sends a request on an open connection. Nothing is sent if the connection can't take it.
    std::optional<Route::Stamp> send(ConnectionId, const Upstream::RequestBody &, Purpose,
                                     Execute::Sharing, Core::Instant now);

    NodeSettings settings;
    Core::Random random;
    Route::StampSource stamps;
    Outbox outbox;
    ConnectionTable connections;
    std::map<Core::GroupName, GroupRuntime> groups;
    std::set<Core::GroupName> changedGroups; ///< Whose queues and confirmations need a look.
    Configuration::SnapshotPointer snapshot;
    Authenticate::Keyring keyring;
};

} // namespace Chervilpin::Engine
