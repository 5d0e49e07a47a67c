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

/// The properties of a waiting request that the queue uses.
struct Ticket
{
    RequestId id = 0;
    Core::TeamName team;
    std::string keyId;         ///< Empty on routes without authentication.
    Core::Instant latestStart; ///< After this the request expires and is not started.
};

enum class Order {
    WeightedFair,
    FirstInFirstOut, ///< Baseline of the benchmark, without isolation between teams.
};

struct FairQueueOptions
{
    Order order = Order::WeightedFair;
    /// Disabled only in tests, which show that requests then wait although they cannot start in
    /// time.
    bool refusesUnmeetable = true;
    /// Maximum number of waiting requests per team; bounds the memory used.
    std::size_t mostPerTeam = 1024;
    /// Initial value of the moving average of service times.
    Core::Duration initialServiceTime{5};
};

enum class EnqueueVerdict {
    Queued,
    QueueFull,  ///< The team already has the maximum number of requests waiting.
    Unmeetable, ///< The estimated wait ends after its latest start.
};

struct EnqueueResult
{
    EnqueueVerdict verdict = EnqueueVerdict::Queued;
    /// For a refusal: the estimated time until the requests ahead have been served.
    Core::Duration retryAfter;
};

/// Weighted fair queueing over teams for the slots of one database or group.
///
/// Each started request advances its team's virtual time by 1 / weight, and the team with the
/// lowest virtual time goes next. A team that was idle joins at the current virtual time, so it
/// neither accumulates credit nor waits for the backlogs of others. The queue is work-conserving:
/// while any unexpired request waits, takeNext() returns one. Every queued request is returned
/// exactly once, by a take function or a cancel function.
class FairQueue
{
public:
    explicit FairQueue(FairQueueOptions options = {});

    /// The default weight is 1. Weights below 1 count as 1.
    void setWeight(const Core::TeamName &team, std::uint32_t weight);

    /// \a slots is the number of requests served concurrently now; the wait is estimated from it.
    EnqueueResult enqueue(Ticket ticket, std::uint32_t slots, Core::Instant now);

    /// Removes and returns the next request to start. Requests past their latest start are skipped;
    /// takeExpired() returns them.
    [[nodiscard]] std::optional<Ticket> takeNext(Core::Instant now);

    /// Like takeNext(), but only for teams with no running requests. Such a team need not wait
    /// until other teams release one of this proxy's slots; see ConcurrencyLimit::canStartExtra().
    [[nodiscard]] std::optional<Ticket> takeNextOfIdleTeam(Core::Instant now);

    /// Records that a request returned by takeNext() or takeNextOfIdleTeam() has ended.
    void finished(const Core::TeamName &team);

    /// Removes and returns the requests whose latest start has passed. The caller refuses each as
    /// "not run".
    [[nodiscard]] std::vector<Ticket> takeExpired(Core::Instant now);

    [[nodiscard]] std::optional<Ticket> cancel(RequestId id);
    [[nodiscard]] std::vector<Ticket> cancelKey(std::string_view keyId);
    [[nodiscard]] std::vector<Ticket> cancelTeam(const Core::TeamName &team);
    [[nodiscard]] std::vector<Ticket> cancelAll();

    /// Updates the moving average of service times with the time that a request held its slot.
    void recordServiceTime(Core::Duration time);

    /// The estimated wait of a request of the team that arrives now.
    [[nodiscard]] Core::Duration estimatedWait(const Core::TeamName &team,
                                               std::uint32_t slots) const;

    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] bool isEmpty() const { return size_ == 0; }
    [[nodiscard]] std::size_t sizeOf(const Core::TeamName &team) const;

private:
    struct QueuedRequest
    {
        Ticket ticket;
        std::uint64_t arrival = 0; ///< Sequence number over all teams.
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
    double currentVirtualTime_ = 0; ///< Highest virtual time at which a request was started.
    std::size_t size_ = 0;
    std::uint64_t nextArrival_ = 0;
    std::int64_t serviceTimeMicroseconds_;
    /// Skipped by takeNext() or takeNextOfIdleTeam(), not yet returned by takeExpired().
    std::vector<Ticket> expired_;
};

} // namespace Chervilpin::Queue
