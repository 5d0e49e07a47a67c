#pragma once

#include <Core/Milliseconds.h>
#include <Fleet/FleetView.h>
#include <Fleet/ObjectKind.h>

#include <vector>

/// What a proxy asks of a feed, which follows the store for its data centre, and what it is told.
namespace Chervilpin::Fleet {

struct RelayQuestion
{
    enum class Form {
        List,  ///< All objects of the kind.
        Watch, ///< The changes after a revision, once there are any.
    };

    ObjectKind kind = ObjectKind::Records;
    Form form = Form::List;
    /// What the asker knows. A feed that knows less doesn't answer with a page.
    Revision since = 0;
    /// How long the feed may hold the question back.
    Core::Duration wait;
};

enum class RelayOutcome {
    Page,
    HistoryGone, ///< The asker has to list.
    StoreLost,   ///< The feed has lost the store, or what it knows is too old.
    NotAFeed,    ///< The asked proxy doesn't follow the store itself, or is stopping.
};

struct RelayAnswer
{
    RelayOutcome outcome = RelayOutcome::NotAFeed;
    std::vector<StoredObject> objects;
    Revision revision = 0; ///< Of the store, which the asker now knows.
    /// From the moment when the question came to the moment as of which the store confirmed the
    /// page; negative if it did so before. A span and no instant, for the clocks differ.
    Core::Duration confirmed;
};

} // namespace Chervilpin::Fleet
