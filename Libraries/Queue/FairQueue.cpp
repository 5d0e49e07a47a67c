#include <Queue/FairQueue.h>

#include <Core/Verify.h>

#include <algorithm>
#include <utility>

namespace Chervilpin::Queue {

namespace {

constexpr std::int64_t microsecondsPerMillisecond = 1000;
constexpr std::int64_t averagingDivisor = 16; ///< A new service time counts for 1/16.

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
    if (!queue.isInRound) {
        queue.isInRound = true;
        queue.deficit = 0;
        round_.push_back(ticket.team);
    }
    queue.waiting.push_back({std::move(ticket), nextArrival_++});
    ++size_;
    return {};
}

std::optional<Ticket> FairQueue::takeNext(Core::Instant now)
{
    while (size_ > 0) {
        std::optional<Ticket> next =
            options_.order == Order::FirstInFirstOut ? takeOldest() : takeByRoundRobin();
        if (!next.has_value() || next->latestStart >= now)
            return next;
        expired_.push_back(std::move(*next));
    }
    return std::nullopt;
}

std::optional<Ticket> FairQueue::takeByRoundRobin()
{
    // NOTE: All requests cost one, since a slot's time can't be known beforehand. A turn gives a
    // team its weight in requests.
    while (!round_.empty()) {
        TeamQueue &queue = teams_[round_.front()];
        if (queue.waiting.empty()) {
            queue.isInRound = false;
            round_.pop_front();
            continue;
        }
        if (queue.deficit == 0)
            queue.deficit = queue.weight;
        --queue.deficit;
        Ticket next = popFront(queue);
        if (queue.deficit == 0 || queue.waiting.empty()) {
            queue.deficit = 0;
            round_.push_back(round_.front());
            round_.pop_front();
        }
        return next;
    }
    return std::nullopt;
}

std::optional<Ticket> FairQueue::takeOldest()
{
    TeamQueue *oldest = nullptr;
    for (auto &[team, queue] : teams_) {
        if (queue.waiting.empty())
            continue;
        if (oldest == nullptr || queue.waiting.front().arrival < oldest->waiting.front().arrival)
            oldest = &queue;
    }
    if (oldest == nullptr)
        return std::nullopt;
    return popFront(*oldest);
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
        std::deque<Waiting> kept;
        for (Waiting &waiting : queue.waiting) {
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
    serviceTimeMicroseconds_ += (measured - serviceTimeMicroseconds_) / averagingDivisor;
}

std::uint64_t FairQueue::requestsAhead(const Core::TeamName &team) const
{
    if (options_.order == Order::FirstInFirstOut)
        return size_;
    const auto own = teams_.find(team);
    const std::uint64_t ownWaiting = own == teams_.end() ? 0 : own->second.waiting.size();
    const std::uint64_t ownWeight = own == teams_.end() ? 1 : own->second.weight;
    // The request starts in this many turns from now, and each other team takes at most its weight
    // in each of them.
    const std::uint64_t turns = ownWaiting / ownWeight + 1;
    std::uint64_t ahead = ownWaiting;
    for (const auto &[other, queue] : teams_) {
        if (other != team)
            ahead += std::min<std::uint64_t>(queue.waiting.size(), turns * queue.weight);
    }
    return ahead;
}

Core::Duration FairQueue::estimatedWait(const Core::TeamName &team, std::uint32_t slots) const
{
    const std::uint64_t ahead = requestsAhead(team);
    const std::int64_t servers = std::max<std::uint32_t>(slots, 1);
    const std::int64_t microseconds =
        static_cast<std::int64_t>(ahead) * serviceTimeMicroseconds_ / servers;
    return Core::Duration(microseconds / microsecondsPerMillisecond);
}

std::size_t FairQueue::sizeOf(const Core::TeamName &team) const
{
    const auto found = teams_.find(team);
    return found == teams_.end() ? 0 : found->second.waiting.size();
}

} // namespace Chervilpin::Queue
