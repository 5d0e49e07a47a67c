#include <Execute/AnswerMatcher.h>

#include <algorithm>

namespace Chervilpin::Execute {

void AnswerMatcher::opened(ConnectionKey connection, Core::Instant)
{
    connections_.try_emplace(connection);
}

std::optional<Upstream::CorrelationId> AnswerMatcher::ask(ConnectionKey connection,
                                                          RequestHandle request, Sharing sharing,
                                                          Core::Instant now)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end())
        return std::nullopt;
    Connection &state = found->second;
    if (sharing == Sharing::Exclusive && hasPendingStatement(state))
        return std::nullopt;
    const Upstream::CorrelationId correlation = ++state.lastCorrelation;
    state.pending.emplace(correlation, PendingAnswer{request, sharing, now});
    return correlation;
}

std::optional<RequestHandle> AnswerMatcher::answered(ConnectionKey connection,
                                                     Upstream::CorrelationId correlation,
                                                     Core::Instant)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end())
        return std::nullopt;
    const auto pending = found->second.pending.find(correlation);
    if (pending == found->second.pending.end())
        return std::nullopt;
    const auto request = pending->second.request;
    found->second.pending.erase(pending);
    return request;
}

void AnswerMatcher::abandon(ConnectionKey connection, Upstream::CorrelationId correlation,
                            Core::Instant)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end())
        return;
    const auto pending = found->second.pending.find(correlation);
    if (pending != found->second.pending.end())
        pending->second.request.reset();
}

std::vector<RequestHandle> AnswerMatcher::closed(ConnectionKey connection, Core::Instant)
{
    std::vector<RequestHandle> unanswered;
    const auto found = connections_.find(connection);
    if (found == connections_.end())
        return unanswered;
    for (const auto &[correlation, pending] : found->second.pending) {
        if (pending.request)
            unanswered.push_back(*pending.request);
    }
    connections_.erase(found);
    return unanswered;
}

bool AnswerMatcher::isLendable(ConnectionKey connection) const
{
    const auto found = connections_.find(connection);
    return found != connections_.end() && !hasPendingStatement(found->second);
}

bool AnswerMatcher::hasPendingStatement(const Connection &connection)
{
    return std::ranges::any_of(connection.pending, [](const auto &pending) {
        return pending.second.sharing == Sharing::Exclusive;
    });
}

std::optional<Core::Instant> AnswerMatcher::waitingSince(ConnectionKey connection) const
{
    const auto found = connections_.find(connection);
    if (found == connections_.end() || found->second.pending.empty())
        return std::nullopt;
    return found->second.pending.begin()->second.requestedAt;
}

} // namespace Chervilpin::Execute
