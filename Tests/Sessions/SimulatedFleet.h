#pragma once

#include <Core/Overloaded.h>
#include <Core/Random.h>
#include <Sessions/SessionEngine.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace Chervilpin::Sessions::Testing {

/// Simulates several session engines in front of one group of databases, with links, network delays
/// and database slots in simulated time. Every proxy holds a lease of the primary unless a test
/// revokes it.
class SimulatedFleet
{
public:
    struct Options
    {
        unsigned proxies = 3; ///< Spread evenly over the data centres, as are the databases.
        unsigned dataCentres = 3;
        unsigned databases = 3; ///< The first is the primary.
        unsigned teams = 8;
        std::uint32_t slots = 2;
        std::uint32_t connections = 16; ///< Connection limit of a database.
        Core::Duration serviceTime{9};
        Core::Duration openTime{12};
        Core::Duration nearDelay{0};
        Core::Duration farDelay{1};
        bool hasPoolers = true; ///< If false, each proxy uses only its own connections.
    };

    struct Counts
    {
        unsigned openings = 0;
        unsigned connectionsRefused = 0;
    };

    static inline const Core::GroupName group{"g"};

    explicit SimulatedFleet(const Options &options)
        : options_(options)
    {
        for (unsigned i = 0; i < options.proxies; ++i)
            proxies_.emplace_back(nodeName(i), dataCentreOf(i), now_);
        for (unsigned i = 0; i < options.databases; ++i)
            databases_[databaseName(i)].dataCentre = dataCentreOf(i);
        for (unsigned i = 0; i < options.proxies; ++i)
            configureProxy(i);
    }

    static Core::NodeName nodeName(unsigned index)
    {
        return Core::NodeName("proxy-" + std::to_string(index));
    }
    static Core::DatabaseName databaseName(unsigned index)
    {
        return Core::DatabaseName("db-" + std::to_string(index));
    }
    static std::string keyOf(unsigned team) { return "key-" + std::to_string(team); }

    SessionEngine &proxy(unsigned index) { return proxies_[index].engine; }
    [[nodiscard]] Core::Instant now() const { return now_; }
    [[nodiscard]] Counts counts() const { return counts_; }

    /// The proxies that have connections to the database.
    [[nodiscard]] std::set<unsigned> proxiesConnectedTo(unsigned database) const
    {
        std::set<unsigned> result;
        for (const auto &[key, connection] : connections_) {
            if (connection.database == databaseName(database))
                result.insert(key.first);
        }
        return result;
    }
    [[nodiscard]] std::size_t openTransactions() const
    {
        std::size_t count = 0;
        for (const auto &[key, connection] : connections_)
            count += connection.isInTransaction ? 1 : 0;
        return count;
    }

    /// Opens a session at a proxy.
    SessionId open(unsigned proxy, unsigned team, const std::string &route = "own")
    {
        const SessionId id = nextSession_++;
        proxies_[proxy].engine.sessionOpened(id, route, keyOf(team), now_);
        drain(proxy);
        return id;
    }
    void close(unsigned proxy, SessionId session)
    {
        proxies_[proxy].engine.sessionClosed(session, now_);
        drain(proxy);
    }
    void send(unsigned proxy, SessionId session, StatementKind kind, std::string arguments = {})
    {
        Statement statement;
        statement.id = "id-" + std::to_string(nextStatement_++);
        statement.kind = kind;
        statement.arguments = std::move(arguments);
        proxies_[proxy].engine.statement(session, std::move(statement), now_);
        drain(proxy);
    }
    [[nodiscard]] std::optional<AnswerSession> takeAnswer(SessionId session)
    {
        auto found = answers_.find(session);
        if (found == answers_.end() || found->second.empty())
            return {};
        AnswerSession answer = std::move(found->second.front());
        found->second.pop_front();
        return answer;
    }

    void schedule(Core::Instant when, std::function<void()> what)
    {
        events_.push({when, nextEventOrder_++, std::move(what)});
    }
    void advance(Core::Duration span)
    {
        const Core::Instant until = now_ + span;
        for (;;) {
            Core::Instant next = events_.empty() ? Core::Instant::never() : events_.top().at;
            for (auto &proxy : proxies_)
                next = std::min(
                    next, proxy.isDown ? Core::Instant::never() : proxy.engine.nextDeadline());
            if (next > until)
                break;
            now_ = std::max(now_, next);
            while (!events_.empty() && events_.top().at <= now_) {
                const auto what = events_.top().what;
                events_.pop();
                what();
            }
            for (unsigned i = 0; i < proxies_.size(); ++i) {
                proxies_[i].engine.advance(now_);
                drain(i);
            }
        }
        now_ = until;
    }

    // Fault injection.
    /// Freezes the process: its connections stay open, but it neither reads nor writes.
    void freeze(unsigned proxy) { proxies_[proxy].isDown = true; }
    void thaw(unsigned proxy) { proxies_[proxy].isDown = false; }
    /// Kills the process: the peers of all its connections are notified at once.
    void kill(unsigned proxy)
    {
        proxies_[proxy].isDown = true;
        std::erase_if(connections_, [&](const auto &entry) { return entry.first.first == proxy; });
        for (unsigned i = 0; i < proxies_.size(); ++i) {
            if (i == proxy)
                continue;
            proxies_[i].engine.linkLost(nodeName(proxy), now_);
            drain(i);
        }
    }
    /// Loses all messages between the proxy and the database from now on.
    void cutFromDatabase(unsigned proxy, unsigned database)
    {
        cuts_.insert({proxy, databaseName(database)});
    }
    void healCuts() { cuts_.clear(); }
    /// Makes each database count this many connections of failed proxies towards its limit.
    void countFailedConnections(unsigned count) { failedConnections_ = count; }
    /// Gives the proxy a refusal of the statement that it forwarded last, as from a pooler that has
    /// already closed the channel.
    void refuseLastForwarded(unsigned proxy, ForwardedProgress progress)
    {
        ForwardedReply refusal;
        refusal.progress = progress;
        refusal.reply.failure = Failure::Busy;
        // The forwarded statement is still in transit; dropping all events keeps it from the
        // pooler.
        events_ = {};
        proxies_[proxy].engine.forwardedReply(lastForwarded_, refusal, now_);
        drain(proxy);
        advance(Core::Duration(100));
    }
    /// How many log lines with this event name all proxies wrote.
    [[nodiscard]] unsigned linesLogged(const std::string &name) const
    {
        const auto found = loggedLines_.find(name);
        return found == loggedLines_.end() ? 0 : found->second;
    }
    /// How many statements of a kind reached a database on a connection without an open
    /// transaction.
    [[nodiscard]] unsigned statementsOutsideTransactions(StatementKind kind) const
    {
        const auto found = statementsOutsideTransactions_.find(kind);
        return found == statementsOutsideTransactions_.end() ? 0 : found->second;
    }
    void stop(unsigned proxy)
    {
        proxies_[proxy].engine.shutDown(now_ + Core::Duration(3'000), now_);
        drain(proxy);
    }
    void grantLease(unsigned proxy, std::uint64_t revision, bool isActive)
    {
        proxies_[proxy].engine.setPrimaryLease(
            {group, revision, databaseName(0), isActive, now_ + Core::Duration(1'000'000)}, now_);
        drain(proxy);
    }
    [[nodiscard]] std::uint64_t releasedBy(unsigned proxy) const
    {
        return proxies_[proxy].released;
    }

private:
    struct Proxy
    {
        Proxy(Core::NodeName node, Core::DataCentreName dataCentre, Core::Instant now)
            : dataCentre(dataCentre)
            , engine(std::move(node), std::move(dataCentre), now)
        { }
        Core::DataCentreName dataCentre;
        SessionEngine engine;
        bool isDown = false;
        std::uint64_t released = 0;
    };
    struct Event
    {
        Core::Instant at;
        std::uint64_t order = 0;
        std::function<void()> what;
        bool operator<(const Event &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };
    struct Database
    {
        Core::DataCentreName dataCentre;
        unsigned busySlots = 0;
        std::deque<std::pair<Core::Duration, std::function<void()>>> waiting;
        std::uint64_t position = 1;
    };
    using Key = std::pair<unsigned, ConnectionId>; ///< The proxy and its connection id.
    struct DatabaseConnection
    {
        Core::DatabaseName database;
        bool isInTransaction = false;
    };
    struct Channel
    {
        unsigned from = 0;
        ConnectionId id = 0;
    };

    [[nodiscard]] Core::DataCentreName dataCentreOf(unsigned index) const
    {
        return Core::DataCentreName("dc-" + std::to_string(index % options_.dataCentres));
    }

    void configureProxy(unsigned index)
    {
        auto table = std::make_shared<RoutingTable>();
        table->version = 1;
        for (unsigned i = 0; i < options_.teams; ++i) {
            const Core::TeamName team("team-" + std::to_string(i));
            table->keys[keyOf(i)] = team;
            table->teams[team] = {};
        }
        table->groups[group] = {options_.connections, 0};
        auto route = std::make_shared<Route>();
        route->name = Core::RouteName("own");
        route->group = group;
        route->consistency = Consistency::ReadOwnWrites;
        route->statementTimeout = Core::Duration(800);
        route->latencyObjective = Core::Duration(200);
        route->maximumAge = Core::Duration(2'500);
        table->routes["own"] = route;
        std::vector<DatabaseEntry> entries;
        for (unsigned i = 0; i < options_.databases; ++i) {
            DatabaseEntry entry;
            entry.id = databaseName(i);
            entry.group = group;
            entry.address = "10.0.0." + std::to_string(i + 1) + ":1";
            entry.dataCentre = dataCentreOf(i);
            entry.slots = options_.slots;
            entry.role = i == 0 ? DatabaseRole::Primary : DatabaseRole::Replica;
            entries.push_back(entry);
        }
        std::vector<PoolerCandidate> members;
        for (unsigned i = 0; i < options_.proxies && options_.hasPoolers; ++i)
            members.push_back({nodeName(i), dataCentreOf(i), "10.1.0.1:1", 250});
        SessionEngine &engine = proxies_[index].engine;
        engine.configure(table, now_);
        engine.directoryChanged(entries, now_);
        engine.setMemberCount(options_.proxies, now_);
        engine.setPoolMembers(members, now_);
        grantLease(index, 1, true);
    }

    [[nodiscard]] Core::Duration delay(const Core::DataCentreName &a,
                                       const Core::DataCentreName &b) const
    {
        return a == b ? options_.nearDelay : options_.farDelay;
    }
    [[nodiscard]] Core::Duration delay(unsigned from, unsigned to) const
    {
        return delay(proxies_[from].dataCentre, proxies_[to].dataCentre);
    }
    [[nodiscard]] unsigned indexOf(const Core::NodeName &node) const
    {
        for (unsigned i = 0; i < proxies_.size(); ++i) {
            if (nodeName(i) == node)
                return i;
        }
        return 0;
    }

    void scheduleOn(unsigned proxy, Core::Duration after, std::function<void()> what)
    {
        schedule(now_ + after, [this, proxy, what = std::move(what)] {
            if (proxies_[proxy].isDown)
                return;
            what();
            drain(proxy);
        });
    }

    void drain(unsigned proxy)
    {
        if (proxies_[proxy].isDown)
            return;
        for (;;) {
            auto actions = proxies_[proxy].engine.takeActions();
            if (actions.empty())
                return;
            for (auto &action : actions)
                perform(proxy, action);
        }
    }

    void perform(unsigned proxy, Action &action)
    {
        SessionEngine &engine = proxies_[proxy].engine;
        std::visit(
            Core::Overloaded{
                [&](const RequestAdmission &request) { engine.admitted(request.session, now_); },
                [&](const AnswerSession &answer) { answers_[answer.session].push_back(answer); },
                [&](const OpenConnection &open) { openConnection(proxy, open); },
                [&](const CloseConnection &close) {
                    connections_.erase({proxy, close.connection});
                },
                [&](const SendStatement &send) { runStatement(proxy, send); },
                [&](const OpenLink &open) { openLink(proxy, open); },
                [&](const PingLink &ping) {
                    const unsigned other = indexOf(ping.node);
                    if (!proxies_[other].isDown)
                        scheduleOn(proxy, delay(proxy, other) * 2, [this, proxy, node = ping.node] {
                            proxies_[proxy].engine.linkHeard(node, now_);
                        });
                },
                [&](const ForwardStatement &forward) { sendForward(proxy, forward); },
                [&](const CloseChannel &close) { closeChannel(proxy, close); },
                [&](const AnswerForwarded &answer) { sendAnswer(proxy, answer); },
                [&](const EndSession &end) { endSession(proxy, end); },
                [&](const ReportReleased &report) { proxies_[proxy].released = report.revision; },
                [&](const LogLine &line) { ++loggedLines_[line.name]; },
                [](const auto &) {},
            },
            action);
    }

    void openLink(unsigned proxy, const OpenLink &open)
    {
        const unsigned other = indexOf(open.node);
        if (proxies_[other].isDown)
            return;
        scheduleOn(proxy, delay(proxy, other) * 2, [this, proxy, node = open.node] {
            proxies_[proxy].engine.linkOpened(node, now_);
        });
    }

    void sendForward(unsigned proxy, const ForwardStatement &forward)
    {
        const unsigned other = indexOf(forward.node);
        const Key channel{proxy, forward.channel};
        lastForwarded_ = forward.channel;
        scheduleOn(other, delay(proxy, other), [this, other, channel, message = forward.statement] {
            auto session = forwardedSessions_.find(channel);
            if (session == forwardedSessions_.end()) {
                session = forwardedSessions_.emplace(channel, nextSession_++).first;
                channels_[session->second] = {channel.first, channel.second};
            }
            proxies_[other].engine.forwardedStatement(session->second, message, now_);
        });
    }

    void closeChannel(unsigned proxy, const CloseChannel &close)
    {
        const unsigned other = indexOf(close.node);
        const Key channel{proxy, close.channel};
        scheduleOn(other, delay(proxy, other),
                   [this, other, channel] { forgetChannel(other, channel); });
    }

    void forgetChannel(unsigned pooler, const Key &channel)
    {
        const auto session = forwardedSessions_.find(channel);
        if (session == forwardedSessions_.end())
            return;
        const SessionId id = session->second;
        channels_.erase(id);
        forwardedSessions_.erase(session);
        proxies_[pooler].engine.sessionClosed(id, now_);
    }

    void sendAnswer(unsigned pooler, const AnswerForwarded &answer)
    {
        const auto found = channels_.find(answer.session);
        if (found == channels_.end())
            return;
        const Channel channel = found->second;
        const bool isLast = answer.answer.reply.state == TransactionState::None
            || answer.answer.progress != ForwardedProgress::Sent;
        if (isLast)
            forgetChannel(pooler, {channel.from, channel.id});
        scheduleOn(channel.from, delay(pooler, channel.from), [this, channel, answer, pooler] {
            SessionEngine &engine = proxies_[channel.from].engine;
            engine.linkHeard(nodeName(pooler), now_);
            engine.forwardedReply(channel.id, answer.answer, now_);
        });
    }

    void endSession(unsigned proxy, const EndSession &end)
    {
        const auto found = channels_.find(end.session);
        if (found == channels_.end()) {
            ended_.insert(end.session);
            return;
        }
        const Channel channel = found->second;
        forgetChannel(proxy, {channel.from, channel.id});
        scheduleOn(channel.from, delay(proxy, channel.from), [this, channel] {
            proxies_[channel.from].engine.channelClosed(channel.id, now_);
        });
    }

    void openConnection(unsigned proxy, const OpenConnection &open)
    {
        const Key key{proxy, open.connection};
        if (cuts_.contains({proxy, open.database}))
            return;
        const Core::Duration networkDelay =
            delay(proxies_[proxy].dataCentre, databases_.at(open.database).dataCentre);
        std::size_t counted = failedConnections_;
        for (const auto &[other, connection] : connections_)
            counted += connection.database == open.database ? 1 : 0;
        if (counted >= options_.connections) {
            ++counts_.connectionsRefused;
            scheduleOn(proxy, networkDelay * 2, [this, key] {
                proxies_[key.first].engine.connectionEnded(key.second, Failure::ConnectionLimit,
                                                           now_);
            });
            return;
        }
        ++counts_.openings;
        connections_[key] = {open.database, false};
        schedule(now_ + networkDelay, [this, key, networkDelay, database = open.database] {
            runInSlot(database, options_.openTime, [this, key, networkDelay, database] {
                scheduleOn(key.first, networkDelay, [this, key, database] {
                    if (connections_.contains(key))
                        proxies_[key.first].engine.connectionOpened(
                            key.second, Core::LogMark{1, databases_[database].position}, now_);
                });
            });
        });
    }

    void runStatement(unsigned proxy, const SendStatement &send)
    {
        const Key key{proxy, send.connection};
        const auto found = connections_.find(key);
        if (found == connections_.end())
            return;
        const Core::DatabaseName database = found->second.database;
        if (cuts_.contains({proxy, database}))
            return;
        const Core::Duration networkDelay =
            delay(proxies_[proxy].dataCentre, databases_.at(database).dataCentre);
        const StatementKind kind = send.statement.kind;
        if (!found->second.isInTransaction)
            ++statementsOutsideTransactions_[kind];
        const bool isSlotNeeded = kind == StatementKind::Read || kind == StatementKind::Write
            || kind == StatementKind::Execute || kind == StatementKind::Commit;
        const auto answer = [this, key, networkDelay, database, kind] {
            scheduleOn(key.first, networkDelay,
                       [this, key, database, kind] { reply(key, database, kind); });
        };
        schedule(now_ + networkDelay, [this, database, isSlotNeeded, answer] {
            if (isSlotNeeded)
                runInSlot(database, options_.serviceTime, answer);
            else
                answer();
        });
    }

    void reply(const Key &key, const Core::DatabaseName &database, StatementKind kind)
    {
        const auto found = connections_.find(key);
        if (found == connections_.end())
            return;
        bool &isInTransaction = found->second.isInTransaction;
        if (kind == StatementKind::Begin || kind == StatementKind::BeginRead)
            isInTransaction = true;
        if (kind == StatementKind::Commit || kind == StatementKind::Rollback)
            isInTransaction = false;
        DatabaseReply answer;
        answer.body = "rows";
        answer.state = isInTransaction ? TransactionState::Open : TransactionState::None;
        answer.mark = Core::LogMark{1, databases_[database].position};
        proxies_[key.first].engine.reply(key.second, std::move(answer), now_);
    }

    /// Occupies a slot for \a time and then calls \a done. Waiting requests are served in order of
    /// arrival.
    void runInSlot(const Core::DatabaseName &name, Core::Duration time, std::function<void()> done)
    {
        Database &database = databases_.at(name);
        if (database.busySlots >= options_.slots) {
            database.waiting.emplace_back(time, std::move(done));
            return;
        }
        ++database.busySlots;
        schedule(now_ + time, [this, name, done = std::move(done)] {
            done();
            Database &freed = databases_.at(name);
            --freed.busySlots;
            if (freed.waiting.empty())
                return;
            auto next = std::move(freed.waiting.front());
            freed.waiting.pop_front();
            runInSlot(name, next.first, std::move(next.second));
        });
    }

    Options options_;
    Core::Instant now_{1'000'000};
    std::deque<Proxy> proxies_;
    std::map<Core::DatabaseName, Database> databases_;
    std::map<Key, DatabaseConnection> connections_;
    std::map<Key, SessionId> forwardedSessions_; ///< By forwarding proxy and channel id.
    std::map<SessionId, Channel> channels_;
    std::map<SessionId, std::deque<AnswerSession>> answers_;
    std::set<SessionId> ended_;
    std::priority_queue<Event> events_;
    std::uint64_t nextEventOrder_ = 1;
    SessionId nextSession_ = 1;
    unsigned nextStatement_ = 1;
    Counts counts_;
    ConnectionId lastForwarded_ = 0;
    std::map<std::string, unsigned> loggedLines_;
    std::map<StatementKind, unsigned> statementsOutsideTransactions_;
    std::set<std::pair<unsigned, Core::DatabaseName>> cuts_; ///< Proxies and databases.
    std::size_t failedConnections_ = 0;
};

} // namespace Chervilpin::Sessions::Testing
