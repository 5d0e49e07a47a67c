#pragma once

#include <Core/Milliseconds.h>
#include <Core/Name.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Chervilpin::Queue {

using RequestId = std::uint64_t;

/// What the queue needs to know of a waiting request.
struct Ticket
{
    RequestId id = 0;
    Core::TeamName team;
    std::string keyId;         ///< Empty on routes open to all.
    Core::Instant latestStart; ///< After this the request is refused rather than started.
};

enum class Order {
    WeightedFair,
    FirstInFirstOut, ///< The baseline of the bench; it has no isolation between teams.
};

struct FairQueueOptions
{
    Order order = Order::WeightedFair;
    /// Switched off only by tests, which show that late requests then wait for nothing.
    bool refusesUnmeetable = true;
    /// Bounds the memory of one team.
    std::size_t mostPerTeam = 1024;
    /// The service time assumed before the first measurement.
    Core::Duration initialServiceTime{5};
};

enum class EnqueueVerdict {
    Queued,
    QueueFull,  ///< The team already has the most requests waiting.
    Unmeetable, ///< It could not start before its latest start.
};

struct EnqueueResult
{
    EnqueueVerdict verdict = EnqueueVerdict::Queued;
    /// For a refusal: when the queue ahead is expected to have drained.
    Core::Duration retryAfter;
};

/// Weighted fair queueing over teams for the slots of one database or group.
///
/// Each request advances its team's virtual time by one over the team's weight, and the team that
/// is furthest behind goes next; a team that was idle joins at the present virtual time, so it
/// neither saves up turns nor waits for others' backlogs. It is work-conserving: whenever anything
/// waits, takeNext() gives a request. Nothing leaves silently: a request leaves by takeNext(), by
/// one of the cancel functions, or by takeExpired(), and each returns it.
class FairQueue
{
public:
    explicit FairQueue(FairQueueOptions options = {});

    /// Teams without a weight have 1. Weights below 1 count as 1.
    void setWeight(const Core::TeamName &team, std::uint32_t weight);

    /// \a slots is how many requests are served at a time now; it is used to estimate the wait.
    EnqueueResult enqueue(Ticket ticket, std::uint32_t slots, Core::Instant now);

    /// The next request to start, passing over none that is still in time.
    [[nodiscard]] std::optional<Ticket> takeNext(Core::Instant now);

    /// As takeNext(), but only for teams of which nothing is running. With it a team within its
    /// share needn't wait for a slot of this proxy that others have filled; see
    /// ConcurrencyLimit::canStartExtra().
    [[nodiscard]] std::optional<Ticket> takeNextOfIdleTeam(Core::Instant now);

    /// Notes that a request given by one of the take functions has ended.
    void finished(const Core::TeamName &team);

    /// Requests whose latest start has passed; each is to be refused as "not run".
    [[nodiscard]] std::vector<Ticket> takeExpired(Core::Instant now);

    [[nodiscard]] std::optional<Ticket> cancel(RequestId id);
    [[nodiscard]] std::vector<Ticket> cancelKey(std::string_view keyId);
    [[nodiscard]] std::vector<Ticket> cancelTeam(const Core::TeamName &team);
    [[nodiscard]] std::vector<Ticket> cancelAll();

    /// Notes how long a request held its slot.
    void recordServiceTime(Core::Duration time);

    /// How long a request of the team that comes now would wait.
    [[nodiscard]] Core::Duration estimatedWait(const Core::TeamName &team,
                                               std::uint32_t slots) const;

    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] bool isEmpty() const { return size_ == 0; }
    [[nodiscard]] std::size_t sizeOf(const Core::TeamName &team) const;

private:
    struct QueuedRequest
    {
        Ticket ticket;
        std::uint64_t arrival = 0;
    };

    struct TeamQueue
    {
        std::uint32_t weight = 1;
        double virtualTime = 0; ///< Advances by 1 / weight with each request that is started.
        std::deque<QueuedRequest> waiting;
        std::uint32_t running = 0;
    };

    enum class Eligibility {
        AllTeams,
        IdleTeams,
    };

    template<typename Predicate>
    std::vector<Ticket> removeIf(Predicate predicate);
    std::optional<Ticket> take(Eligibility eligibility, Core::Instant now);
    TeamQueue *teamWithLowestVirtualTime(Eligibility eligibility);
    TeamQueue *teamWithOldestRequest(Eligibility eligibility);
    Ticket popFront(TeamQueue &queue);
    std::uint64_t requestsAhead(const Core::TeamName &team) const;

    FairQueueOptions options_;
    std::map<Core::TeamName, TeamQueue> teams_;
    double currentVirtualTime_ = 0; ///< The virtual time at which the last request was started.
    std::size_t size_ = 0;
    std::uint64_t nextArrival_ = 0;
    std::int64_t serviceTimeMicroseconds_;
    std::vector<Ticket> expired_; ///< Found late by takeNext(), given out by takeExpired().
};

} // namespace Chervilpin::Queue
