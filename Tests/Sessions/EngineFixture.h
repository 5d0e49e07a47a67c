#pragma once

#include <Core/Verify.h>
#include <Sessions/SessionEngine.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Chervilpin::Sessions::Testing {

/// A session engine with one group of three databases, whose replies are given by the test.
class EngineFixture
{
public:
    static inline const Core::GroupName group{"g"};
    static inline const Core::DatabaseName primary{"db-1"};
    static inline const Core::DatabaseName replica{"db-2"};
    static inline const Core::DatabaseName otherReplica{"db-3"};
    static inline const Core::DataCentreName dataCentre{"dc-1"};

    EngineFixture()
        : engine(Core::NodeName("self"), dataCentre, now)
    {
        engine.configure(table(1), now);
        engine.directoryChanged(entries(), now);

        grantLease(1, primary, true);
        (void)takeActions();
    }

    static std::shared_ptr<RoutingTable> table(std::uint64_t version)
    {
        auto result = std::make_shared<RoutingTable>();
        result->version = version;
        result->keys["key"] = Core::TeamName("team");
        result->teams[Core::TeamName("team")] = {};
        result->groups[group] = {30, 0};
        addRoute(*result, "latest", Consistency::Latest);
        addRoute(*result, "aged", Consistency::BoundedAge);
        addRoute(*result, "own", Consistency::ReadOwnWrites);
        return result;
    }

    static std::vector<DatabaseEntry> entries()
    {
        std::vector<DatabaseEntry> result;
        for (const auto &name : {primary, replica, otherReplica}) {
            DatabaseEntry entry;
            entry.id = name;
            entry.group = group;
            entry.address = "10.0.0.1:1";
            entry.dataCentre = dataCentre;
            entry.slots = 5;
            entry.role = name == primary ? DatabaseRole::Primary : DatabaseRole::Replica;
            result.push_back(entry);
        }
        return result;
    }

    void grantLease(std::uint64_t revision, const Core::DatabaseName &database, bool isActive,
                    Core::Duration leaseDuration = Core::Duration(100'000))
    {
        engine.setPrimaryLease({group, revision, database, isActive, now + leaseDuration}, now);
    }

    void advance(Core::Duration span)
    {
        now = now + span;
        engine.advance(now);
    }

    /// Opens a session on a route.
    SessionId open(std::string_view database, std::string_view key = "key")
    {
        const SessionId id = nextSession_++;
        engine.sessionOpened(id, database, key, now);
        return id;
    }

    void send(SessionId session, StatementKind kind, std::string arguments = {},
              std::string name = {}, Access access = Access::Read)
    {
        engine.statement(session,
                         {"id-" + std::to_string(nextStatement_++), kind, std::move(name), access,
                          std::move(arguments)},
                         now);
    }

    /// Takes the pending actions. Opens requested connections and admits operations at once, unless
    /// opensConnections or admitsOperations is off.
    std::vector<Action> takeActions()
    {
        std::vector<Action> all;
        for (;;) {
            auto actions = engine.takeActions();
            if (actions.empty())
                return all;
            for (auto &action : actions) {
                const auto *request = std::get_if<RequestAdmission>(&action);
                if (request && admitsOperations)
                    engine.admitted(request->session, now);
                if (const auto *opened = std::get_if<OpenConnection>(&action)) {
                    databaseByConnection[opened->connection] = opened->database;
                    if (opensConnections && !unreachable.contains(opened->database))
                        engine.connectionOpened(opened->connection, marks[opened->database], now);
                }
                all.push_back(std::move(action));
            }
        }
    }

    template<typename T>
    static std::vector<T> actionsOf(const std::vector<Action> &actions)
    {
        std::vector<T> result;
        for (const auto &action : actions) {
            if (const auto *found = std::get_if<T>(&action))
                result.push_back(*found);
        }
        return result;
    }

    /// Takes the pending actions and returns the statements sent to databases among them.
    std::vector<SendStatement> sent() { return actionsOf<SendStatement>(takeActions()); }
    /// Takes the pending actions and returns the answers to sessions among them.
    std::vector<AnswerSession> answers() { return actionsOf<AnswerSession>(takeActions()); }

    void replySuccess(ConnectionId connection, Core::LogMark mark,
                      TransactionState state = TransactionState::None)
    {
        DatabaseReply reply;
        reply.body = "rows";
        reply.mark = mark;
        reply.state = state;
        engine.reply(connection, reply, now);
    }

    void replyFailure(ConnectionId connection, Failure failure,
                      TransactionState state = TransactionState::None)
    {
        DatabaseReply reply;
        reply.failure = failure;
        reply.mark = Core::LogMark{1, 1};
        reply.state = state;
        engine.reply(connection, reply, now);
    }

    /// Begins a transaction and completes its first write; returns its connection.
    ConnectionId openTransaction(SessionId session)
    {
        send(session, StatementKind::Begin);
        send(session, StatementKind::Write, "1 x");
        const ConnectionId connection = sent().back().connection;
        replySuccess(connection, {1, 1}, TransactionState::Open);
        (void)takeActions();
        replySuccess(connection, {1, 1}, TransactionState::Open);
        (void)takeActions();
        return connection;
    }

    /// Makes the primary report a log position, so that reads can be proved fresh.
    void showPrimaryMark(Core::LogMark mark)
    {
        const SessionId session = open("latest");
        send(session, StatementKind::Read, "1");
        const auto statements = sent();
        VERIFY(!statements.empty());
        // The usual service time of a statement, which enters the estimate of the primary's load.
        advance(Core::Duration(12));
        replySuccess(statements.back().connection, mark);
        (void)takeActions();
        engine.sessionClosed(session, now);
    }

    Core::Instant now{1'000'000};
    SessionEngine engine;
    std::map<ConnectionId, Core::DatabaseName> databaseByConnection;
    std::map<Core::DatabaseName, Core::LogMark> marks;
    bool opensConnections = true;
    std::set<Core::DatabaseName> unreachable; ///< Connections to them stay in opening.
    bool admitsOperations = true;

private:
    static void addRoute(RoutingTable &table, const char *name, Consistency consistency)
    {
        auto route = std::make_shared<Route>();
        route->name = Core::RouteName(name);
        route->group = group;
        route->consistency = consistency;
        route->statementTimeout = Core::Duration(800);
        route->latencyObjective = Core::Duration(400);
        route->maximumAge = Core::Duration(1'500);
        table.routes[name] = route;
    }

    SessionId nextSession_ = 1;
    unsigned nextStatement_ = 1;
};

} // namespace Chervilpin::Sessions::Testing
