#pragma once

#include <Borrow/ConnectionPool.h>
#include <Core/Name.h>
#include <Engine/Actions.h>
#include <Execute/AnswerMatcher.h>
#include <Execute/AttemptTracker.h>
#include <Failover/Actions.h>
#include <Route/Stamp.h>
#include <Upstream/Messages.h>

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace Chervilpin::Engine {

/// A caller's statement.
struct StatementPurpose
{
    RequestId request = 0;
    Execute::AttemptId attempt = 0;
    RequestKind kind = RequestKind::Read;
    std::string transaction; ///< The transaction that it begins or belongs to, or empty.
};

/// A rollback that the engine itself sent, for a transaction whose caller is gone.
struct RollbackPurpose
{ };

/// The status of a primary, for reads that need a sample taken after they arrived.
struct SamplePurpose
{ };

/// The status of a database, for answers that wait for their confirmation.
struct ConfirmPurpose
{ };

/// A request of the failover module.
struct FailoverPurpose
{
    Failover::RequestToken token = 0;
};

/// A heartbeat of the connection pool.
struct HeartbeatPurpose
{ };

/// A status query on a connection whose answer is overdue.
struct ProbePurpose
{ };

using Purpose = std::variant<StatementPurpose, RollbackPurpose, SamplePurpose, ConfirmPurpose,
                             FailoverPurpose, HeartbeatPurpose, ProbePurpose>;

/// A request to a database whose answer hasn't come.
struct Outstanding
{
    ConnectionId connection = 0;
    Core::GroupName group;
    Core::DatabaseName database;
    Route::Stamp asked;
    Purpose purpose;
};

/// One connection, open or opening.
struct Connection
{
    Core::GroupName group;
    Core::DatabaseName database;
    std::optional<Borrow::Generation> generation; ///< Its place in the pool, if it is of the pool.
    bool isOpen = false;
    Core::Instant heardAt;                 ///< Of the last answer, or of the opening.
    std::optional<Core::Instant> probedAt; ///< A probe is unanswered since.
};

/// All connections to databases, and what each one owes an answer to.
class ConnectionTable
{
public:
    ConnectionId add(Connection);
    void opened(ConnectionId, Core::Instant now);
    /// Forgets a connection; returns the requests that will get no answer.
    [[nodiscard]] std::vector<Outstanding> remove(ConnectionId, Core::Instant now);

    /// Notes a request that is about to be sent; nothing if the connection can't take it.
    [[nodiscard]] std::optional<Upstream::CorrelationId>
    ask(ConnectionId, Purpose, Execute::Sharing, const Route::Stamp &asked, Core::Instant now);
    /// What an answer belongs to; nothing for late, doubled and foreign ones.
    [[nodiscard]] std::optional<Outstanding> answered(ConnectionId, Upstream::CorrelationId,
                                                      Core::Instant now);

    [[nodiscard]] Connection *find(ConnectionId);
    [[nodiscard]] std::optional<ConnectionId> findPooled(const Core::DatabaseName &,
                                                         Borrow::Generation) const;
    /// An open connection to the database, one without unread answers if there is one.
    [[nodiscard]] std::optional<ConnectionId> anyOpen(const Core::DatabaseName &) const;
    /// Open connections that owe an answer and gave none for at least \a silence.
    [[nodiscard]] std::vector<ConnectionId> silentFor(Core::Duration silence,
                                                      Core::Instant now) const;
    /// Whether the connection is open and can take a statement.
    [[nodiscard]] bool isLendable(ConnectionId id) const { return matcher_.isLendable(key(id)); }
    /// Whether a statement on the connection is unanswered.
    [[nodiscard]] bool owesStatement(ConnectionId) const;
    [[nodiscard]] std::vector<ConnectionId> connectionsOf(const Core::DatabaseName &) const;
    [[nodiscard]] std::size_t size() const { return connections_.size(); }

private:
    [[nodiscard]] static Execute::ConnectionKey key(ConnectionId id) { return {id, 0}; }

    ConnectionId nextId_ = 1;
    Execute::RequestHandle nextHandle_ = 1;
    std::map<ConnectionId, Connection> connections_;
    std::map<Core::DatabaseName, std::map<Borrow::Generation, ConnectionId>> pooled_;
    std::map<Core::DatabaseName, std::vector<ConnectionId>> byDatabase_;
    std::map<Execute::RequestHandle, Outstanding> outstanding_;
    Execute::AnswerMatcher matcher_;
};

} // namespace Chervilpin::Engine
