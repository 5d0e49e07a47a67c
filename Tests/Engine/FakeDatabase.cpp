#include <Tests/Engine/FakeDatabase.h>

#include <Core/Overloaded.h>

#include <algorithm>
#include <utility>

namespace Chervilpin::Testing {

void FakeDatabase::close(Engine::ConnectionId id)
{
    sessions_.erase(id);
    silent_.erase(id);
    std::erase_if(waiting_, [id](const Waiting &one) { return one.request.connection == id; });
}

bool FakeDatabase::isFaulty(const Upstream::Statement &statement) const
{
    return fault != StatementFault::None && statement.text.starts_with(faultyText);
}

void FakeDatabase::receive(const Engine::SendToDatabase &request, Core::Instant now)
{
    if (silent_.contains(request.connection) || !sessions_.contains(request.connection))
        return;
    Core::Duration wait;
    if (const auto *statement = std::get_if<Upstream::Statement>(&request.body)) {
        wait = statement->wait;
        wasLentWhileHeld_ = wasLentWhileHeld_
            || std::ranges::find(held_, request.connection, &DatabaseAnswer::connection)
                != held_.end();
    } else if (const auto *query = std::get_if<Upstream::StatusQuery>(&request.body)) {
        wait = query->wait;
    }
    waiting_.push_back({request, now + wait});
}

std::optional<Upstream::Answer> FakeDatabase::run(const Engine::SendToDatabase &request,
                                                  Core::Instant now, bool isWaitOver)
{
    const Core::Overloaded runBody{
        [&](const Upstream::Statement &statement) -> std::optional<Upstream::Answer> {
            const auto refused = state.refusal(statement);
            if (refused && refused->reason == Upstream::Reason::Behind && !isWaitOver)
                return std::nullopt;
            if (isFaulty(statement) && fault == StatementFault::RefuseOnce) {
                fault = StatementFault::None;
                return state.notRun(Upstream::Reason::NotPrimary, "not the primary");
            }
            if (isFaulty(statement) && fault == StatementFault::SilentUnrun)
                return state.done();
            auto answer = sessions_[request.connection].execute(state, statement, now);
            if (answer.verdict == Upstream::Verdict::Done)
                ++run_[statement.text];
            return answer;
        },
        [&](const Upstream::StatusQuery &query) -> std::optional<Upstream::Answer> {
            if (!state.holds(query.atLeast) && !isWaitOver)
                return std::nullopt;
            return state.done();
        },
        [&](const Upstream::Fence &order) -> std::optional<Upstream::Answer> {
            return state.fence(order);
        },
        [&](const Upstream::Promote &order) -> std::optional<Upstream::Answer> {
            return state.promote(order);
        },
        [&](const Upstream::Follow &order) -> std::optional<Upstream::Answer> {
            return state.follow(order);
        },
    };
    return std::visit(runBody, request.body);
}

void FakeDatabase::runStatement(const Engine::SendToDatabase &request, Upstream::Answer answer)
{
    const auto *statement = std::get_if<Upstream::Statement>(&request.body);
    const auto met = statement && isFaulty(*statement) ? fault : StatementFault::None;
    DatabaseAnswer full{request.connection, request.correlation, std::move(answer)};
    switch (met) {
    case StatementFault::RunThenSilent:
    case StatementFault::SilentUnrun:
        silent_[request.connection] = true;
        return;
    case StatementFault::HoldAnswer:
        held_.push_back(std::move(full));
        return;
    case StatementFault::RunThenBreak:
        broken_.push_back(request.connection);
        return;
    case StatementFault::None:
    case StatementFault::RefuseOnce:
        answers_.push_back(std::move(full));
        return;
    }
}

std::vector<DatabaseAnswer> FakeDatabase::takeAnswers(Core::Instant now)
{
    std::vector<Waiting> still;
    for (auto &one : std::exchange(waiting_, {})) {
        if (silent_.contains(one.request.connection))
            continue;
        if (auto answer = run(one.request, now, now >= one.until))
            runStatement(one.request, std::move(*answer));
        else
            still.push_back(std::move(one));
    }
    waiting_ = std::move(still);
    return std::exchange(answers_, {});
}

std::vector<Engine::ConnectionId> FakeDatabase::takeBroken()
{
    return std::exchange(broken_, {});
}

void FakeDatabase::releaseHeld()
{
    for (auto &one : std::exchange(held_, {}))
        answers_.push_back(std::move(one));
}

void FakeDatabase::breakConnections()
{
    for (const auto &[id, session] : sessions_)
        broken_.push_back(id);
}

std::size_t FakeDatabase::timesRun(std::string_view text) const
{
    const auto found = run_.find(text);
    return found == run_.end() ? 0 : found->second;
}

std::size_t FakeDatabase::timesKept(std::string_view text) const
{
    std::size_t count = 0;
    for (const auto &entry : state.log())
        count += static_cast<std::size_t>(std::ranges::count(entry.writes, text));
    return count;
}

bool FakeDatabase::hasOpenTransaction() const
{
    return std::ranges::any_of(sessions_,
                               [](const auto &one) { return one.second.isInTransaction(); });
}

} // namespace Chervilpin::Testing
