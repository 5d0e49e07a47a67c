#pragma once

#include <Borrow/ConnectionPool.h>
#include <Configuration/Resource.h>
#include <Confirm/ConfirmationTracker.h>
#include <Core/Name.h>
#include <Engine/CallerMessages.h>
#include <Execute/HedgePolicy.h>
#include <Queue/ConcurrencyLimit.h>
#include <Queue/FairQueue.h>
#include <Route/GroupView.h>

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace Chervilpin::Engine {

/// What this node holds for one database.
struct DatabaseRuntime
{
    Configuration::Database settings;
    Borrow::ConnectionPool pool;
    Queue::ConcurrencyLimit limit;
    std::deque<RequestId> waiting; ///< Routed here, and waiting for a connection.

    /// Whether a statement could be sent now.
    [[nodiscard]] bool hasRoom() const
    {
        return limit.canStart() && pool.count(Borrow::ConnectionState::Idle) > 0;
    }
};

/// What this node holds for one group of databases.
struct GroupRuntime
{
    GroupRuntime(const Core::GroupName &, const Configuration::UpstreamGroupSpec &);

    /// Takes over a changed configuration; returns the databases that are no longer in it.
    std::vector<Core::DatabaseName> configure(const Configuration::UpstreamGroupSpec &,
                                              Core::Instant now);

    [[nodiscard]] DatabaseRuntime *find(const Core::DatabaseName &);
    /// The half that owns the group: by the term in force, or by the configuration until known.
    [[nodiscard]] const Core::HalfName &effectiveOwner() const;
    /// Whether the owner in this term is known, so that writes may be sent under it.
    [[nodiscard]] bool isOwnerKnown(Core::Term term) const { return term == ownedTerm; }
    [[nodiscard]] bool isDraining(Core::Instant now) const { return now < drainingUntil; }
    [[nodiscard]] std::uint32_t roomForReads() const;
    [[nodiscard]] std::uint32_t roomForWrites();
    /// Statements that all databases together, or the primary alone, take at a time now.
    [[nodiscard]] std::uint32_t slots(RequestKind) const;

    Queue::FairQueue &queue(RequestKind);

    Configuration::UpstreamGroupSpec spec;
    Route::GroupView view;
    Confirm::ConfirmationTracker tracker;
    Queue::FairQueue reads;
    Queue::FairQueue writes;
    Execute::HedgePolicy hedges;
    std::map<Core::DatabaseName, DatabaseRuntime> databases;
    std::map<Confirm::ConfirmationId, RequestId> confirming;
    std::vector<RequestId> sampling; ///< Reads that wait for a sample of the primary.
    bool isSampleOutstanding = false;
    Core::Term ownedTerm = 0;    ///< The term whose owner is known.
    Core::HalfName owner;        ///< The owner in that term.
    Core::Instant drainingUntil; ///< Until then no new writes are started.
};

} // namespace Chervilpin::Engine
