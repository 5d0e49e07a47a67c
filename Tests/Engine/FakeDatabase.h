#pragma once

#include <Engine/Actions.h>
#include <StandIn/DatabaseSession.h>
#include <StandIn/DatabaseState.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Chervilpin::Testing {

/// What a fake database does with callers' statements.
enum class StatementFault {
    None,
    RunThenSilent, ///< Runs the statement; the connection says nothing more, heartbeats included.
    SilentUnrun,   ///< Doesn't run it, and the connection says nothing more.
    HoldAnswer,    ///< Runs it, and keeps the answer until releaseHeld().
    RunThenBreak,  ///< Runs it, and the connection ends without an answer.
    RefuseOnce,    ///< Answers NotPrimary to the first one, then serves.
};

/// One answer that is on its way to the engine.
struct DatabaseAnswer
{
    Engine::ConnectionId connection = 0;
    Upstream::CorrelationId correlation = 0;
    Upstream::Answer answer;
};

/// A database of the fake group, with its connections and faults.
class FakeDatabase
{
public:
    explicit FakeDatabase(StandIn::DatabaseState::Settings settings)
        : state(std::move(settings))
    { }

    /// Takes a request; the answers come with takeAnswers().
    void receive(const Engine::SendToDatabase &, Core::Instant now);
    void open(Engine::ConnectionId id) { sessions_[id]; }
    void close(Engine::ConnectionId);
    [[nodiscard]] std::vector<DatabaseAnswer> takeAnswers(Core::Instant now);
    [[nodiscard]] std::vector<Engine::ConnectionId> takeBroken();
    void releaseHeld();
    void breakConnections();
    /// How often a text was run with success, in a transaction or not.
    [[nodiscard]] std::size_t timesRun(std::string_view text) const;
    /// How often a text is in the log.
    [[nodiscard]] std::size_t timesKept(std::string_view text) const;
    [[nodiscard]] bool hasOpenTransaction() const;
    /// Whether any statement was sent on a connection while an answer on it was held back.
    [[nodiscard]] bool wasLentWhileHeld() const { return wasLentWhileHeld_; }

    StandIn::DatabaseState state;
    bool isReplicationStalled = false;
    StatementFault fault = StatementFault::None;
    /// Statements whose text starts with this meet the fault; an empty text: all.
    std::string faultyText;

private:
    struct Waiting
    {
        Engine::SendToDatabase request;
        Core::Instant until;
    };

    [[nodiscard]] std::optional<Upstream::Answer> run(const Engine::SendToDatabase &,
                                                      Core::Instant now, bool isWaitOver);
    void runStatement(const Engine::SendToDatabase &, Upstream::Answer);
    [[nodiscard]] bool isFaulty(const Upstream::Statement &) const;

    std::map<Engine::ConnectionId, StandIn::DatabaseSession> sessions_;
    std::map<Engine::ConnectionId, bool> silent_;
    std::vector<Waiting> waiting_;
    std::vector<DatabaseAnswer> answers_;
    std::vector<DatabaseAnswer> held_;
    std::vector<Engine::ConnectionId> broken_;
    std::map<std::string, std::size_t, std::less<>> run_;
    bool wasLentWhileHeld_ = false;
};

} // namespace Chervilpin::Testing
