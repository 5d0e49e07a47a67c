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
    Core::Duration maximumQueryWait{100}; ///< The longest wait asked of a database at a time.
    /// The least time between the starts of two queries to a database, if the first one failed or
    /// told nothing new.
    Core::Duration minimumQueryInterval{20};
};

/// The answers whose waiting has ended. Each id is named once in its life.
struct ConfirmationResult
{
    std::vector<ConfirmationId> confirmed;  ///< To be answered Done.
    std::vector<ConfirmationId> superseded; ///< Write: Unknown. Read: to be routed again.
    std::vector<ConfirmationId> timedOut;   ///< The deadline came; a write is Unknown.
};

/// A status query to be sent now. Stamp it, and end it by queryEnded().
struct StatusRequest
{
    Core::DatabaseName database;
    Upstream::StatusQuery query;
};

enum class QueryEnd {
    Answered, ///< The view has observed the answer.
    Failed,   ///< No connection, or it broke.
};

/// The answers of one group that wait for their proof.
///
/// After every status that the view observed, and on tick, the engine calls review() and then
/// neededQueries(). At most one query is outstanding per database; it covers all waiting answers.
class ConfirmationTracker
{
public:
    ConfirmationTracker(ConfirmationOptions options, std::unique_ptr<AcknowledgementPolicy> policy);

    /// Adds an answer. The view must have observed its status already.
    void track(const Confirmable &waiting, Core::Instant now);
    /// Stops waiting for an answer whose caller has gone.
    void forget(ConfirmationId id, Core::Instant now);
    [[nodiscard]] ConfirmationResult review(const Route::GroupView &view, Core::Instant now);
    [[nodiscard]] std::vector<StatusRequest> neededQueries(const Route::GroupView &view,
                                                           Core::Instant now);
    void queryEnded(const Core::DatabaseName &database, QueryEnd end, Core::Instant now);

    [[nodiscard]] std::size_t waitingCount() const { return waiting_.size(); }

private:
    enum class Need {
        Nothing,
        Mark, ///< Until it holds the mark.
        Term, ///< At once, for the known term.
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
