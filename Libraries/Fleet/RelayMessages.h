#pragma once

#include <Core/Milliseconds.h>
#include <Fleet/FleetView.h>
#include <Fleet/ObjectKind.h>
#include <Fleet/TextDelta.h>

#include <memory>
#include <vector>

/// Requests of a proxy to a feed, which follows the store for its data centre, and the feed's
/// responses.
namespace Chervilpin::Fleet {

struct RelayQuestion
{
    enum class Form {
        List,  ///< All objects of the kind.
        Watch, ///< The changes after a revision, as soon as there are any.
    };

    ObjectKind kind = ObjectKind::Records;
    Form form = Form::List;
    /// The revision that the requesting proxy knows. A feed that knows an older one doesn't answer
    /// with a page.
    Revision since = 0;
    /// How long the feed may hold the request back.
    Core::Duration wait;
    /// Whether large objects may be sent as changes to what was known as of \a since.
    bool acceptsDeltas = false;
};

/// An object in a feed's answer.
struct RelayedObject : StoredObject
{
    /// Instead of the text, if the object is large and the requesting proxy knows an earlier text.
    std::shared_ptr<const TextDelta> delta;
};

enum class RelayOutcome {
    Page,
    HistoryGone, ///< The requesting proxy has to list.
    StoreLost,   ///< The feed has lost the store, or its state is too old.
    NotAFeed,    ///< The asked proxy doesn't follow the store itself, is overloaded or is stopping.
};

struct RelayAnswer
{
    RelayOutcome outcome = RelayOutcome::NotAFeed;
    std::vector<RelayedObject> objects;
    Revision revision = 0; ///< The revision of the store as of which the objects are complete.
    /// From the time at which the feed received the request to the time as of which the store
    /// confirmed the page; negative if that was before the request. A duration and no instant,
    /// since clocks differ.
    Core::Duration confirmed;
};

} // namespace Chervilpin::Fleet
