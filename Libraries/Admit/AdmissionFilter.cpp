#include <Admit/AdmissionFilter.h>

#include <algorithm>

namespace Chervilpin::Admit {

namespace {

constexpr std::int64_t tokensPerRequest = 1;

} // namespace

AdmissionFilter::AdmissionFilter(Allotment::Manager &allotment)
    : allotment_(allotment)
{ }

Admission AdmissionFilter::admit(Engine::RequestId request, const Core::TeamName &team,
                                 Core::Instant deadline, Core::Duration estimatedWait,
                                 Core::Instant now)
{
    if (deadline <= now)
        return Refused{Engine::RefusalReason::DeadlinePassed, Core::Duration()};
    if (now + estimatedWait > deadline)
        return Refused{Engine::RefusalReason::QueueFull, estimatedWait};
    const auto resource = Allotment::ResourceLimit::tokensOf(team);
    const Core::Instant latestStart = deadline - estimatedWait;
    const auto result = allotment_.tryTake(resource, tokensPerRequest, latestStart, now);
    if (std::holds_alternative<Allotment::Taken>(result))
        return Admitted{};
    if (const auto *refused = std::get_if<Allotment::Refused>(&result))
        return Refused{Engine::RefusalReason::RateExceeded, refused->retryAfter};
    pending_[std::get<Allotment::Pending>(result).ticket] = {request, deadline};
    return Waiting{};
}

std::optional<Verdict> AdmissionFilter::decided(const Allotment::Decision &decision,
                                                Core::Instant now)
{
    const auto found = pending_.find(decision.ticket);
    if (found == pending_.end())
        return std::nullopt;
    const Pending pending = found->second;
    pending_.erase(found);
    if (const auto *refused = std::get_if<Allotment::Refused>(&decision.result))
        return Verdict{pending.request,
                       Refused{Engine::RefusalReason::RateExceeded, refused->retryAfter}};
    if (now > pending.deadline)
        return Verdict{pending.request,
                       Refused{Engine::RefusalReason::DeadlinePassed, Core::Duration()}};
    return Verdict{pending.request, Admitted{}};
}

bool AdmissionFilter::cancel(Engine::RequestId request)
{
    const auto found = std::find_if(pending_.begin(), pending_.end(), [request](const auto &entry) {
        return entry.second.request == request;
    });
    if (found == pending_.end())
        return false;
    allotment_.cancel(found->first);
    pending_.erase(found);
    return true;
}

} // namespace Chervilpin::Admit
