#include <Queue/FairQueue.h>

#include <Core/Verify.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Chervilpin::Queue {

namespace {

constexpr std::int64_t microsecondsPerMillisecond = 1000;
constexpr std::int64_t smoothingDivisor = 16; ///< A new service time has a weight of 1/16.

} // namespace

FairQueue::FairQueue(FairQueueOptions options)
    : options_(options)
    , serviceTimeMicroseconds_(options.initialServiceTime.milliseconds()
                               * microsecondsPerMillisecond)
{ }

void FairQueue::setWeight(const Core::TeamName &team, std::uint32_t weight)
{
    teams_[team].weight = std::max<std::uint32_t>(weight, 1);
}

EnqueueResult FairQueue::enqueue(Ticket ticket, std::uint32_t slots, Core::Instant now)
{
    const Core::Duration wait = estimatedWait(ticket.team, slots);
    TeamQueue &queue = teams_[ticket.team];
    if (queue.waiting.size() >= options_.mostPerTeam)
        return {EnqueueVerdict::QueueFull, wait};
    if (options_.refusesUnmeetable && now + wait > ticket.latestStart)
        return {EnqueueVerdict::Unmeetable, wait};
    if (queue.waiting.empty())
        queue.virtualTime = std::max(queue.virtualTime, currentVirtualTime_);
    queue.waiting.push_back({std::move(ticket), nextArrival_++});
    ++size_;
    return {};
}

std::optional<Ticket> FairQueue::takeNext(Core::Instant now)
{
    return take(Eligibility::AllTeams, now);
}

std::optional<Ticket> FairQueue::takeNextOfIdleTeam(Core::Instant now)
{
    return take(Eligibility::IdleTeams, now);
}

void FairQueue::finished(const Core::TeamName &team)
{
    TeamQueue &queue = teams_[team];
    VERIFY(queue.running > 0);
    --queue.running;
}

std::optional<Ticket> FairQueue::take(Eligibility eligibility, Core::Instant now)
{
    while (true) {
        TeamQueue *queue = options_.order == Order::FirstInFirstOut
            ? teamWithOldestRequest(eligibility)
            : teamWithLowestVirtualTime(eligibility);
        if (queue == nullptr)
            return std::nullopt;
        Ticket next = popFront(*queue);
        if (next.latestStart < now) {
            expired_.push_back(std::move(next));
            continue;
        }
        // NOTE: All requests have a cost of one, since their service time is not known in advance.
        currentVirtualTime_ = std::max(currentVirtualTime_, queue->virtualTime);
        queue->virtualTime += 1.0 / queue->weight;
        ++queue->running;
        return next;
    }
}

FairQueue::TeamQueue *FairQueue::teamWithLowestVirtualTime(Eligibility eligibility)
{
    TeamQueue *next = nullptr;
    for (auto &[team, queue] : teams_) {
        const bool isExcluded = eligibility == Eligibility::IdleTeams && queue.running > 0;
        if (queue.waiting.empty() || isExcluded)
            continue;
        if (next == nullptr || queue.virtualTime < next->virtualTime)
            next = &queue;
    }
    return next;
}

FairQueue::TeamQueue *FairQueue::teamWithOldestRequest(Eligibility eligibility)
{
    TeamQueue *oldest = nullptr;
    for (auto &[team, queue] : teams_) {
        const bool isExcluded = eligibility == Eligibility::IdleTeams && queue.running > 0;
        if (queue.waiting.empty() || isExcluded)
            continue;
        if (oldest == nullptr || queue.waiting.front().arrival < oldest->waiting.front().arrival)
            oldest = &queue;
    }
    return oldest;
}

Ticket FairQueue::popFront(TeamQueue &queue)
{
    VERIFY(!queue.waiting.empty());
    Ticket ticket = std::move(queue.waiting.front().ticket);
    queue.waiting.pop_front();
    --size_;
    return ticket;
}

template<typename Predicate>
std::vector<Ticket> FairQueue::removeIf(Predicate predicate)
{
    std::vector<Ticket> removed;
    for (auto &[team, queue] : teams_) {
        std::deque<QueuedRequest> kept;
        for (QueuedRequest &waiting : queue.waiting) {
            if (predicate(waiting.ticket))
                removed.push_back(std::move(waiting.ticket));
            else
                kept.push_back(std::move(waiting));
        }
        queue.waiting = std::move(kept);
    }
    size_ -= removed.size();
    return removed;
}

std::vector<Ticket> FairQueue::takeExpired(Core::Instant now)
{
    std::vector<Ticket> expired = std::exchange(expired_, {});
    auto waiting = removeIf([now](const Ticket &ticket) { return ticket.latestStart < now; });
    std::move(waiting.begin(), waiting.end(), std::back_inserter(expired));
    return expired;
}

std::optional<Ticket> FairQueue::cancel(RequestId id)
{
    auto removed = removeIf([id](const Ticket &ticket) { return ticket.id == id; });
    if (removed.empty())
        return std::nullopt;
    return std::move(removed.front());
}

std::vector<Ticket> FairQueue::cancelKey(std::string_view keyId)
{
    return removeIf([keyId](const Ticket &ticket) { return ticket.keyId == keyId; });
}

std::vector<Ticket> FairQueue::cancelTeam(const Core::TeamName &team)
{
    return removeIf([&team](const Ticket &ticket) { return ticket.team == team; });
}

std::vector<Ticket> FairQueue::cancelAll()
{
    return removeIf([](const Ticket &) { return true; });
}

void FairQueue::recordServiceTime(Core::Duration time)
{
    const std::int64_t measured = time.milliseconds() * microsecondsPerMillisecond;
    serviceTimeMicroseconds_ += (measured - serviceTimeMicroseconds_) / smoothingDivisor;
}

std::uint64_t FairQueue::requestsAhead(const Core::TeamName &team) const
{
    if (options_.order == Order::FirstInFirstOut)
        return size_;
    const auto own = teams_.find(team);
    if (own == teams_.end())
        return std::min<std::uint64_t>(size_, teams_.size());
    // Requests of other teams that start at a lower virtual time than this request go first.
    const TeamQueue &queue = own->second;
    const double base = queue.waiting.empty() ? std::max(queue.virtualTime, currentVirtualTime_)
                                              : queue.virtualTime;
    const double startsAt = base + static_cast<double>(queue.waiting.size()) / queue.weight;
    std::uint64_t ahead = queue.waiting.size();
    for (const auto &[other, otherQueue] : teams_) {
        if (other == team || otherQueue.waiting.empty())
            continue;
        const double startsBefore =
            std::max((startsAt - otherQueue.virtualTime) * otherQueue.weight, 0.0);
        ahead += std::min<std::uint64_t>(otherQueue.waiting.size(), std::llround(startsBefore) + 1);
    }
    return ahead;
}

Core::Duration FairQueue::estimatedWait(const Core::TeamName &team, std::uint32_t slots) const
{
    const std::uint64_t ahead = requestsAhead(team);
    const std::int64_t slotCount = std::max<std::uint32_t>(slots, 1);
    const std::int64_t microseconds =
        static_cast<std::int64_t>(ahead) * serviceTimeMicroseconds_ / slotCount;
    return Core::Duration(microseconds / microsecondsPerMillisecond);
}

std::size_t FairQueue::sizeOf(const Core::TeamName &team) const
{
    const auto found = teams_.find(team);
    return found == teams_.end() ? 0 : found->second.waiting.size();
}

} // namespace Chervilpin::Queue
