#pragma once

#include <Confirm/AcknowledgementPolicy.h>
#include <Confirm/Confirmable.h>
#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Route/GroupView.h>
#include <Upstream/Messages.h>

#include <map>
#include <memory>
#include <vector>

namespace Chervilpin::Confirm {

struct ConfirmationOptions
{
    Core::Duration maximumQueryWait{100}; ///< The longest wait requested in one query.
    /// Minimum time between the starts of two queries to a database, if the first one failed or its
    /// answer does not show the queried mark.
    Core::Duration minimumQueryInterval{20};
};

/// The answers that no longer wait. Each id is reported exactly once, unless forget() removes it.
struct ConfirmationResult
{
    std::vector<ConfirmationId> confirmed;  ///< To be answered Done.
    std::vector<ConfirmationId> superseded; ///< A write is answered Unknown, a read routed again.
    std::vector<ConfirmationId> timedOut;   ///< The deadline passed; a write is answered Unknown.
};

/// A status query for the caller to send now. The caller takes a stamp just before it sends the
/// query, and reports the query's end with queryEnded().
struct StatusRequest
{
    Core::DatabaseName database;
    Upstream::StatusQuery query;
};

enum class QueryEnd {
    Answered, ///< The view has observed the answer.
    Failed,   ///< There was no connection, or it was lost.
};

/// Holds the answers of one group until they are confirmed, superseded or timed out.
///
/// The engine calls review() and then neededQueries() after each status that the view observed and
/// on each tick. At most one query per database is outstanding; it covers all waiting answers.
class ConfirmationTracker
{
public:
    ConfirmationTracker(ConfirmationOptions options, std::unique_ptr<AcknowledgementPolicy> policy);

    /// Adds an answer. The view must have observed its status already.
    void track(const Confirmable &waiting, Core::Instant now);
    /// Removes an answer for which no caller waits any more.
    void forget(ConfirmationId id, Core::Instant now);
    [[nodiscard]] ConfirmationResult review(const Route::GroupView &view, Core::Instant now);
    [[nodiscard]] std::vector<StatusRequest> neededQueries(const Route::GroupView &view,
                                                           Core::Instant now);
    void queryEnded(const Core::DatabaseName &database, QueryEnd end, Core::Instant now);

    [[nodiscard]] std::size_t waitingCount() const { return waiting_.size(); }

private:
    enum class Need {
        Nothing,
        Mark, ///< A query that waits until the database holds the mark.
        Term, ///< A query that is answered at once with the known term.
    };

    [[nodiscard]] static Need need(const Confirmable &waiting, const Route::DatabaseView &database);
    [[nodiscard]] std::optional<Upstream::StatusQuery> queryFor(const Route::DatabaseView &database,
                                                                Core::Instant now) const;
    [[nodiscard]] bool canQuery(const Route::DatabaseView &database, Core::Instant now) const;

    struct QueryState
    {
        bool isOutstanding = false;
        Core::Instant started;
        Core::LogMark atLeast;
        QueryEnd end = QueryEnd::Answered;
    };

    ConfirmationOptions options_;
    std::unique_ptr<AcknowledgementPolicy> policy_;
    std::vector<Confirmable> waiting_; ///< In order of arrival.
    std::map<Core::DatabaseName, QueryState> queries_;
};

} // namespace Chervilpin::Confirm
