#include "FairnessExperiment.h"

#include <Core/Random.h>
#include <Queue/ConcurrencyLimit.h>
#include <Queue/FairQueue.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Chervilpin::BenchLimits {

using Queue::ConcurrencyLimit;
using Queue::FairQueue;

namespace {

constexpr std::array<double, 8> teamParts = {0.30, 0.22, 0.16, 0.10, 0.08, 0.06, 0.05, 0.03};
constexpr std::size_t aggressor = 2;
constexpr double meanService = 5'000; ///< Microseconds.
constexpr std::int64_t step = 100;    ///< Microseconds.
constexpr std::int64_t microsecondsPerMillisecond = 1'000;
constexpr std::int64_t microsecondsPerSecond = 1'000'000;
constexpr std::int64_t hop = 500;      ///< Microseconds one way between proxy and database.
constexpr std::int64_t deadline = 500; ///< Milliseconds.

Core::Instant instant(std::int64_t microseconds)
{
    return Core::Instant(microseconds / microsecondsPerMillisecond);
}

Core::TeamName nameOf(std::size_t team)
{
    return Core::TeamName("team-" + std::to_string(team));
}

struct Request
{
    std::size_t team = 0;
    std::size_t proxy = 0;
    std::int64_t arrivedAt = 0;
    std::int64_t service = 0;
};

/// A statement at the database, or on its way there or back.
struct Running
{
    Queue::RequestId id = 0;
    std::int64_t reachesAt = 0;
    std::int64_t startedAt = 0;
    std::int64_t endsAt = 0;
};

struct Proxy
{
    Proxy(Queue::FairQueueOptions queueOptions, Queue::ConcurrencyLimitOptions limitOptions)
        : queue(queueOptions)
        , limit(limitOptions)
    { }

    FairQueue queue;
    ConcurrencyLimit limit;
};

struct Tokens
{
    double level = 0;
    std::int64_t at = 0;
};

class Experiment
{
public:
    Experiment(const FairnessSettings &settings, Queue::Order order, double aggressorFactor)
        : settings_(settings)
        , aggressorFactor_(aggressorFactor)
        , random_(settings.seed)
        , latencies_(teamParts.size())
        , refused_(teamParts.size())
        , arrived_(teamParts.size())
    {
        Queue::FairQueueOptions queueOptions;
        queueOptions.order = order;
        Queue::ConcurrencyLimitOptions limitOptions;
        if (order == Queue::Order::FirstInFirstOut) {
            // The baseline sends all it may at once and lets the database queue.
            limitOptions.initial = limitOptions.most;
            limitOptions.least = limitOptions.most;
        }
        for (std::size_t i = 0; i < settings.proxies; ++i) {
            proxies_.emplace_back(queueOptions, limitOptions);
        }
    }

    void run()
    {
        const std::int64_t end = settings_.seconds * microsecondsPerSecond;
        for (now_ = 0; now_ < end; now_ += step) {
            arrive();
            answerDone();
            runDatabase();
            for (std::size_t proxy = 0; proxy < proxies_.size(); ++proxy)
                startNext(proxy);
        }
    }

    [[nodiscard]] double p99(std::size_t team)
    {
        std::vector<std::int64_t> &sorted = latencies_[team];
        if (sorted.empty())
            return 0;
        std::sort(sorted.begin(), sorted.end());
        const std::size_t index = sorted.size() * 99 / 100;
        return static_cast<double>(sorted[std::min(index, sorted.size() - 1)])
            / microsecondsPerMillisecond;
    }

    [[nodiscard]] double refusedShare(std::size_t team) const
    {
        return static_cast<double>(refused_[team])
            / static_cast<double>(std::max<std::int64_t>(arrived_[team], 1));
    }

    [[nodiscard]] double slotUse() const
    {
        const double whole =
            static_cast<double>(settings_.seconds * microsecondsPerSecond) * settings_.slots;
        return static_cast<double>(busy_) / whole;
    }

private:
    void arrive()
    {
        const double capacity = settings_.slots / meanService; // Requests per microsecond.
        for (std::size_t team = 0; team < teamParts.size(); ++team) {
            double mean = capacity * settings_.load * teamParts[team] * step;
            if (team == aggressor)
                mean *= aggressorFactor_;
            double product = random_.fraction();
            while (product > std::exp(-mean)) {
                enqueue(team);
                product *= random_.fraction();
            }
        }
    }

    void enqueue(std::size_t team)
    {
        if (settings_.isRateLimited && !takeToken(team))
            return;
        const auto proxy = static_cast<std::size_t>(random_.below(proxies_.size()));
        // Between half and one and a half of the mean.
        const double service = meanService * (0.5 + random_.fraction());
        const Queue::RequestId id = requests_.size();
        requests_.push_back({team, proxy, now_, static_cast<std::int64_t>(service)});
        ++arrived_[team];
        const Core::Instant latest = instant(now_) + Core::Duration(deadline);
        const Queue::Ticket ticket{id, nameOf(team), "", latest};
        const auto slots = std::max<std::uint32_t>(proxies_[proxy].limit.limit(), 1);
        const auto result = proxies_[proxy].queue.enqueue(ticket, slots, instant(now_));
        if (result.verdict != Queue::EnqueueVerdict::Queued)
            ++refused_[team];
    }

    /// The fleet's limit, as the allotment keeps it: the rate has some room over the usual demand.
    bool takeToken(std::size_t team)
    {
        constexpr double roomOverDemand = 1.25;
        const double capacity = settings_.slots / meanService;
        const double rate = capacity * settings_.load * teamParts[team] * roomOverDemand;
        const double burst = std::max(rate * microsecondsPerSecond * settings_.burstSeconds, 1.0);
        Tokens &tokens = tokens_[team];
        const double created = rate * static_cast<double>(now_ - tokens.at);
        tokens.level = std::min(burst, tokens.level + created);
        tokens.at = now_;
        if (tokens.level < 1.0)
            return false;
        tokens.level -= 1.0;
        return true;
    }

    void startNext(std::size_t index)
    {
        Proxy &proxy = proxies_[index];
        while (proxy.limit.canStart()) {
            const auto next = proxy.queue.takeNext(instant(now_));
            if (!next.has_value())
                break;
            start(proxy, *next);
        }
        while (proxy.limit.canStartExtra()) {
            const auto next = proxy.queue.takeNextOfIdleTeam(instant(now_));
            if (!next.has_value())
                break;
            start(proxy, *next);
        }
        if (now_ % microsecondsPerMillisecond != 0)
            return;
        for (const Queue::Ticket &ticket : proxy.queue.takeExpired(instant(now_)))
            ++refused_[requests_[ticket.id].team];
    }

    void start(Proxy &proxy, const Queue::Ticket &ticket)
    {
        proxy.limit.started();
        waiting_.push_back({ticket.id, now_ + hop, 0, 0});
    }

    void runDatabase()
    {
        while (running_.size() < settings_.slots && !waiting_.empty()
               && waiting_.front().reachesAt <= now_) {
            Running next = waiting_.front();
            waiting_.pop_front();
            next.startedAt = now_;
            next.endsAt = now_ + requests_[next.id].service;
            running_.push_back(next);
        }
        busy_ += static_cast<std::int64_t>(running_.size()) * step;
        std::erase_if(running_, [this](const Running &one) {
            if (one.endsAt > now_)
                return false;
            answers_.push_back(one);
            return true;
        });
    }

    void answerDone()
    {
        std::erase_if(answers_, [this](const Running &one) {
            if (one.endsAt + hop > now_)
                return false;
            const Request &request = requests_[one.id];
            Proxy &proxy = proxies_[request.proxy];
            const auto queued = static_cast<std::uint64_t>(one.startedAt - one.reachesAt);
            const auto queuedNow = static_cast<std::uint32_t>(waiting_.size());
            proxy.limit.answered(queued, queuedNow, instant(now_));
            const std::int64_t held = one.endsAt - one.startedAt + 2 * hop;
            proxy.queue.recordServiceTime(Core::Duration(held / microsecondsPerMillisecond));
            proxy.queue.finished(nameOf(request.team));
            latencies_[request.team].push_back(now_ - request.arrivedAt);
            return true;
        });
    }

    FairnessSettings settings_;
    double aggressorFactor_;
    Core::Random random_;
    std::vector<Proxy> proxies_;
    std::vector<Request> requests_;
    std::deque<Running> waiting_;
    std::vector<Running> running_;
    std::vector<Running> answers_;
    std::vector<std::vector<std::int64_t>> latencies_;
    std::array<Tokens, teamParts.size()> tokens_{};
    std::vector<std::int64_t> refused_;
    std::vector<std::int64_t> arrived_;
    std::int64_t busy_ = 0;
    std::int64_t now_ = 0;
};

FairnessResult compare(const FairnessSettings &settings, Queue::Order order)
{
    Experiment calm(settings, order, 1.0);
    Experiment loaded(settings, order, settings.aggressorFactor);
    calm.run();
    loaded.run();
    FairnessResult result;
    std::vector<double> p99s;
    for (std::size_t team = 0; team < teamParts.size(); ++team) {
        if (team == aggressor)
            continue;
        const double p99 = loaded.p99(team);
        p99s.push_back(p99);
        result.othersP99Shift = std::max(result.othersP99Shift, p99 / calm.p99(team) - 1.0);
        result.othersRefusedShare = std::max(result.othersRefusedShare, loaded.refusedShare(team));
    }
    std::sort(p99s.begin(), p99s.end());
    result.medianTeamP99 = p99s[p99s.size() / 2];
    result.worstTeamP99Ratio = p99s.back() / result.medianTeamP99;
    result.slotUse = loaded.slotUse();
    return result;
}

} // namespace

FairnessReport runFairnessExperiment(const FairnessSettings &settings)
{
    FairnessSettings unlimited = settings;
    unlimited.isRateLimited = false;
    return {compare(settings, Queue::Order::WeightedFair),
            compare(unlimited, Queue::Order::WeightedFair),
            compare(unlimited, Queue::Order::FirstInFirstOut)};
}

} // namespace Chervilpin::BenchLimits
