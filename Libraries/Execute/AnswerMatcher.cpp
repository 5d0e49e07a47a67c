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
    if (sharing == Sharing::Exclusive && owesStatement(state))
        return std::nullopt;
    const Upstream::CorrelationId correlation = ++state.lastCorrelation;
    state.unread.emplace(correlation, Unread{request, sharing, now});
    return correlation;
}

std::optional<RequestHandle> AnswerMatcher::answered(ConnectionKey connection,
                                                     Upstream::CorrelationId correlation,
                                                     Core::Instant)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end())
        return std::nullopt;
    const auto unread = found->second.unread.find(correlation);
    if (unread == found->second.unread.end())
        return std::nullopt;
    const auto request = unread->second.request;
    found->second.unread.erase(unread);
    return request;
}

void AnswerMatcher::abandon(ConnectionKey connection, Upstream::CorrelationId correlation,
                            Core::Instant)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end())
        return;
    const auto unread = found->second.unread.find(correlation);
    if (unread != found->second.unread.end())
        unread->second.request.reset();
}

std::vector<RequestHandle> AnswerMatcher::closed(ConnectionKey connection, Core::Instant)
{
    std::vector<RequestHandle> unanswered;
    const auto found = connections_.find(connection);
    if (found == connections_.end())
        return unanswered;
    for (const auto &[correlation, unread] : found->second.unread) {
        if (unread.request)
            unanswered.push_back(*unread.request);
    }
    connections_.erase(found);
    return unanswered;
}

bool AnswerMatcher::isLendable(ConnectionKey connection) const
{
    const auto found = connections_.find(connection);
    return found != connections_.end() && !owesStatement(found->second);
}

bool AnswerMatcher::owesStatement(const Connection &connection)
{
    return std::ranges::any_of(connection.unread, [](const auto &unread) {
        return unread.second.sharing == Sharing::Exclusive;
    });
}

std::optional<Core::Instant> AnswerMatcher::waitingSince(ConnectionKey connection) const
{
    const auto found = connections_.find(connection);
    if (found == connections_.end() || found->second.unread.empty())
        return std::nullopt;
    return found->second.unread.begin()->second.asked;
}

} // namespace Chervilpin::Execute
