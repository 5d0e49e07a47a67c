#include "RefusalExperiment.h"

#include <Tests/Allotment/FakeFleet.h>

#include <array>
#include <cmath>
#include <numbers>
#include <set>

namespace Chervilpin::BenchLimits {

using Allotment::FakeFleet;
using Allotment::microUnitsPerUnit;
using Allotment::ResourceLimit;

namespace {

constexpr std::int64_t millisecondsPerSecond = 1000;
constexpr std::int64_t warmUp = 3'000;            ///< Milliseconds without demand.
constexpr std::int64_t shiftInterval = 10'000;    ///< The skew over nodes changes this often.
constexpr std::int64_t membersLearnAfter = 3'000; ///< The list of nodes lags behind a death.
constexpr std::int64_t lossWindow = 10'000;
constexpr double swing = 0.15; ///< Demand swings around its mean by this part.

struct Team
{
    const char *name;
    std::int64_t rate;
    std::int64_t burst;
};

constexpr std::array<Team, 8> teams = {{
    {"registry", 400, 400},
    {"booking", 300, 300},
    {"brokers", 200, 200},
    {"clerks", 50, 50},
    {"inspectors", 40, 40},
    {"importers", 30, 30},
    {"kitchens", 20, 20},
    {"audit", 2, 5},
}};
constexpr std::size_t aggressor = 4;

/// A bucket with a rate and a burst, in whole milliseconds.
class Bucket
{
public:
    Bucket(double ratePerSecond, double burst)
        : rate_(ratePerSecond / static_cast<double>(millisecondsPerSecond))
        , burst_(burst)
        , level_(burst)
    { }

    bool take(std::int64_t now)
    {
        level_ = std::min(burst_, level_ + rate_ * static_cast<double>(now - at_));
        at_ = now;
        if (level_ < 1.0)
            return false;
        level_ -= 1.0;
        return true;
    }

private:
    double rate_;
    double burst_;
    double level_;
    std::int64_t at_ = 0;
};

struct Request
{
    std::size_t team = 0;
    std::int64_t at = 0;
};

/// Counts what was admitted for each team and second.
class Tally
{
public:
    explicit Tally(std::int64_t seconds)
        : counts_(teams.size(), std::vector<std::int64_t>(static_cast<std::size_t>(seconds) + 10))
    { }

    void admit(const Request &request) { ++at(request.team, request.at / millisecondsPerSecond); }

    std::int64_t &at(std::size_t team, std::int64_t second)
    {
        return counts_[team][static_cast<std::size_t>(second)];
    }

    [[nodiscard]] std::int64_t seconds() const
    {
        return static_cast<std::int64_t>(counts_.front().size());
    }

private:
    std::vector<std::vector<std::int64_t>> counts_;
};

class Experiment
{
public:
    explicit Experiment(const RefusalSettings &settings)
        : settings_(settings)
        , random_(settings.seed)
        , fleet_(settings.nodes, Allotment::Options(), settings.seed + 1)
        , ideal_(settings.seconds + warmUp / millisecondsPerSecond)
        , ours_(settings.seconds + warmUp / millisecondsPerSecond)
        , fixed_(settings.seconds + warmUp / millisecondsPerSecond)
    {
        std::vector<ResourceLimit> limits;
        for (const Team &team : teams) {
            limits.push_back(ResourceLimit::tokens(Core::TeamName(team.name),
                                                   team.rate * microUnitsPerUnit, team.burst));
            const auto rate = static_cast<double>(team.rate);
            const auto burst = static_cast<double>(team.burst);
            idealBuckets_.emplace_back(rate, burst);
            checks_.emplace_back(team.rate * microUnitsPerUnit, team.burst);
            fixedChecks_.emplace_back(team.rate * microUnitsPerUnit, team.burst);
        }
        limits_ = limits;
        fleet_.setLimits(std::move(limits));
        makeFixedBuckets();
        fleet_.decided = [this](std::size_t, std::size_t request, bool isTaken) {
            decided(requests_[request], isTaken);
        };
    }

    RefusalReport run()
    {
        fleet_.run(Core::Duration(warmUp));
        const std::int64_t callsBefore = fleet_.platformCalls;
        const std::int64_t writesBefore = fleet_.platformWrites;
        const std::int64_t end = settings_.seconds * millisecondsPerSecond;
        for (now_ = 0; now_ < end; ++now_) {
            fleet_.step();
            applyEvents();
            if (now_ % shiftInterval == 0)
                shiftSkew();
            for (std::size_t team = 0; team < teams.size(); ++team)
                arrive(team);
        }
        constexpr Core::Duration settle{500};
        fleet_.run(settle);
        return report(fleet_.platformCalls - callsBefore, fleet_.platformWrites - writesBefore);
    }

private:
    void makeFixedBuckets()
    {
        const auto nodes = static_cast<double>(living());
        fixedBuckets_.clear();
        for (std::size_t node = 0; node < fleet_.size(); ++node) {
            std::vector<Bucket> ofNode;
            ofNode.reserve(teams.size());
            for (const Team &team : teams) {
                ofNode.emplace_back(static_cast<double>(team.rate) / nodes,
                                    static_cast<double>(team.burst) / nodes);
            }
            fixedBuckets_.push_back(std::move(ofNode));
        }
    }

    [[nodiscard]] std::size_t living() const
    {
        std::size_t count = 0;
        for (std::size_t node = 0; node < fleet_.size(); ++node)
            count += fleet_.isUp(node) ? 1 : 0;
        return count;
    }

    void applyEvents()
    {
        const std::int64_t lostAt = settings_.loseNodeAt * millisecondsPerSecond;
        if (settings_.loseNodeAt >= 0 && now_ == lostAt) {
            // The worst one to lose: the owner of the largest team's pool.
            const Allotment::ShareTable table((Allotment::Options()));
            const auto owner = fleet_.ownerOf({table.shardOf(limits_.front().name), 0});
            fleet_.kill(owner.value_or(0));
            shiftSkew();
        }
        if (settings_.loseNodeAt >= 0 && now_ == lostAt + membersLearnAfter) {
            fleet_.announceMembers();
            makeFixedBuckets();
        }
        const std::int64_t outFrom = settings_.platformOutFrom * millisecondsPerSecond;
        const std::int64_t outUntil =
            outFrom + settings_.platformOutSeconds * millisecondsPerSecond;
        if (settings_.platformOutFrom >= 0)
            fleet_.faults.isPlatformUnavailable = now_ >= outFrom && now_ < outUntil;
    }

    /// Gives each team a new favourite node, which takes half of its requests, and a second, which
    /// takes a quarter, and so on.
    void shiftSkew()
    {
        std::vector<std::size_t> up;
        for (std::size_t node = 0; node < fleet_.size(); ++node) {
            if (fleet_.isUp(node))
                up.push_back(node);
        }
        order_.assign(teams.size(), up);
        for (auto &order : order_) {
            for (std::size_t i = order.size(); i > 1; --i)
                std::swap(order[i - 1], order[random_.below(i)]);
        }
    }

    std::size_t nodeFor(std::size_t team)
    {
        const std::vector<std::size_t> &order = order_[team];
        for (const std::size_t node : order) {
            if (random_.below(2) == 0)
                return node;
        }
        return order.back();
    }

    double demand(std::size_t team) const
    {
        const double second =
            static_cast<double>(now_) / static_cast<double>(millisecondsPerSecond);
        constexpr double period = 20.0;
        const double phase =
            2.0 * std::numbers::pi * (second / period + static_cast<double>(team) / 8.0);
        const double factor = team == aggressor && settings_.aggressorFactor > 0
            ? settings_.aggressorFactor
            : settings_.utilisation * (1.0 + swing * std::sin(phase));
        return static_cast<double>(teams[team].rate) * factor;
    }

    void arrive(std::size_t team)
    {
        // A Poisson process, cut into milliseconds.
        const double mean = demand(team) / static_cast<double>(millisecondsPerSecond);
        double product = random_.fraction();
        const double floor = std::exp(-mean);
        while (product > floor) {
            request(team);
            product *= random_.fraction();
        }
    }

    void request(std::size_t team)
    {
        const std::size_t node = nodeFor(team);
        const std::size_t index = requests_.size();
        requests_.push_back({team, now_});
        if (idealBuckets_[team].take(now_))
            ideal_.admit(requests_[index]);
        if (fixedBuckets_[node][team].take(now_)) {
            fixed_.admit(requests_[index]);
            fixedChecks_[team].admit(Core::Instant(now_));
            ++report_.fixedShares.admitted;
        }
        switch (fleet_.request(node, index, limits_[team].name)) {
        case FakeFleet::Attempt::Taken:
            admit(requests_[index]);
            break;
        case FakeFleet::Attempt::Refused:
            ++report_.allotment.refused;
            break;
        case FakeFleet::Attempt::Pending:
            ++waited_;
            break;
        }
    }

    void admit(const Request &request)
    {
        ours_.admit(request);
        checks_[request.team].admit(fleet_.now());
        ++report_.allotment.admitted;
    }

    void decided(const Request &request, bool isTaken)
    {
        report_.longestWait = std::max(report_.longestWait, now_ - request.at);
        if (isTaken)
            admit(request);
        else
            ++report_.allotment.refused;
    }

    void countTeams()
    {
        for (std::size_t team = 0; team < teams.size(); ++team) {
            TeamRefusals refusals{teams[team].name, 0, 0};
            for (const Request &request : requests_)
                refusals.requests += request.team == team ? 1 : 0;
            for (std::int64_t second = 0; second < ours_.seconds(); ++second) {
                const std::int64_t missing = ideal_.at(team, second) - ours_.at(team, second);
                refusals.wrongful += std::max<std::int64_t>(missing, 0);
            }
            report_.teams.push_back(refusals);
        }
    }

    void countWrongful(Tally &tally, RefusalResult &result)
    {
        for (std::size_t team = 0; team < teams.size(); ++team) {
            for (std::int64_t second = 0; second < tally.seconds(); ++second) {
                const std::int64_t missing = ideal_.at(team, second) - tally.at(team, second);
                if (missing <= 0)
                    continue;
                result.wrongful += missing;
                const std::int64_t sinceLoss =
                    (second - settings_.loseNodeAt) * millisecondsPerSecond;
                if (settings_.loseNodeAt >= 0 && sinceLoss >= 0 && sinceLoss < lossWindow)
                    result.wrongfulInLossWindow += missing;
            }
        }
    }

    RefusalReport report(std::int64_t calls, std::int64_t writes)
    {
        const auto requests = static_cast<std::int64_t>(requests_.size());
        report_.allotment.requests = requests;
        report_.fixedShares.requests = requests;
        report_.fixedShares.refused = requests - report_.fixedShares.admitted;
        countTeams();
        countWrongful(ours_, report_.allotment);
        countWrongful(fixed_, report_.fixedShares);
        for (std::size_t team = 0; team < teams.size(); ++team) {
            report_.allotment.overshoots += checks_[team].overshoots();
            report_.fixedShares.overshoots += fixedChecks_[team].overshoots();
        }
        const auto seconds = static_cast<double>(settings_.seconds);
        const double nodeSeconds = seconds * static_cast<double>(settings_.nodes);
        report_.platformCallsPerSecond = static_cast<double>(calls) / seconds;
        report_.platformWritesPerSecond = static_cast<double>(writes) / seconds;
        report_.peerBytesPerNodeSecond = static_cast<double>(fleet_.peerBytes) / nodeSeconds;
        report_.peerMessagesPerNodeSecond = static_cast<double>(fleet_.peerMessages) / nodeSeconds;
        report_.waitedShare = static_cast<double>(waited_) / static_cast<double>(requests);
        return report_;
    }

    RefusalSettings settings_;
    Core::Random random_;
    FakeFleet fleet_;
    std::vector<ResourceLimit> limits_;
    std::vector<Bucket> idealBuckets_;
    std::vector<std::vector<Bucket>> fixedBuckets_;
    std::vector<Allotment::WindowCheck> checks_;
    std::vector<Allotment::WindowCheck> fixedChecks_;
    Tally ideal_;
    Tally ours_;
    Tally fixed_;
    std::vector<Request> requests_;
    std::vector<std::vector<std::size_t>> order_;
    RefusalReport report_;
    std::int64_t now_ = 0;
    std::int64_t waited_ = 0;
};

} // namespace

RefusalReport runRefusalExperiment(const RefusalSettings &settings)
{
    return Experiment(settings).run();
}

} // namespace Chervilpin::BenchLimits
