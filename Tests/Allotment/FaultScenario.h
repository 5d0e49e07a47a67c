#pragma once

#include <Tests/Allotment/FakeFleet.h>

#include <functional>
#include <vector>

namespace Chervilpin::Allotment {

/// How often the limits were exceeded in a scenario.
struct Violations
{
    std::int64_t tokens = 0;      ///< Admissions above rate × t + burst in some time window.
    std::int64_t connections = 0; ///< Milliseconds with more connections than the limit.
    std::int64_t admitted = 0;
    std::int64_t mostConnections = 0;
};

struct Limit
{
    std::int64_t ratePerSecond = 100;
    std::int64_t burst = 60;
};

/// A few nodes under varying load; the limits are checked after each millisecond.
class FaultScenario
{
public:
    static constexpr std::size_t nodeCount = 5;
    static constexpr std::int64_t connectionLimit = 30;

    FaultScenario(const Options &options, std::uint64_t seed, Limit limit = {})
        : fleet(nodeCount, options, seed)
        , tokens(ResourceLimit::tokens(Core::TeamName("clerks"),
                                       limit.ratePerSecond * microUnitsPerUnit, limit.burst))
        , random_(seed + 1)
    {
        fleet.setLimits({tokens, connections});
        fleet.decided = [this](std::size_t, std::size_t, bool isTaken) {
            if (isTaken)
                check_.admit(fleet.now());
        };
    }

    FakeFleet fleet;
    ResourceLimit tokens;
    ResourceLimit connections =
        ResourceLimit::connections(Core::DatabaseName("registry-1a"), connectionLimit);

    /// The first share of the shard that the tokens belong to.
    [[nodiscard]] ShareId firstTokenShare() const
    {
        return {ShareTable(Options()).shardOf(tokens.name), 0};
    }

    /// Runs under load, which varies by node and over time between none and several times the rate.
    void run(Core::Duration span)
    {
        for (std::int64_t i = 0; i < span.milliseconds(); ++i) {
            fleet.step();
            shiftLoad();
            for (std::size_t index = 0; index < fleet.size(); ++index) {
                if (fleet.isUp(index))
                    load(index);
            }
            observe();
        }
    }

    [[nodiscard]] Violations violations() const
    {
        Violations found = violations_;
        found.tokens = check_.overshoots();
        found.admitted = check_.admitted();
        return found;
    }

private:
    void shiftLoad()
    {
        constexpr std::int64_t shiftInterval = 400;
        if (fleet.now().millisecondsSinceOrigin() % shiftInterval != 0)
            return;
        static constexpr std::uint64_t milliRequestsPerMillisecond[] = {0, 50, 90, 300, 2000};
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            const std::size_t choice = random_.below(std::size(milliRequestsPerMillisecond));
            if (load_.size() <= index)
                load_.resize(index + 1);
            load_[index].perMille = milliRequestsPerMillisecond[choice] / 2;
            load_[index].wanted = static_cast<std::int64_t>(random_.below(24));
        }
    }

    void load(std::size_t index)
    {
        if (load_.size() <= index)
            return;
        const Load &load = load_[index];
        constexpr std::uint64_t whole = 1000;
        std::uint64_t due = load.perMille / whole;
        due += random_.below(whole) < load.perMille % whole ? 1 : 0;
        for (; due > 0; --due) {
            if (fleet.request(index, 0, tokens.name) == FakeFleet::Attempt::Taken)
                check_.admit(fleet.now());
        }
        constexpr std::int64_t usageInterval = 10;
        if (fleet.now().millisecondsSinceOrigin() % usageInterval != 0)
            return;
        FakeNode &node = fleet.node(index);
        const std::int64_t share = node.manager->usableUnits(connections.name, fleet.local(node));
        node.manager->setUsage(connections.name, load.wanted, std::min(load.wanted, share));
    }

    void observe()
    {
        const std::int64_t open = fleet.sharesOf(connections.name);
        violations_.mostConnections = std::max(violations_.mostConnections, open);
        if (open > connectionLimit)
            ++violations_.connections;
    }

    struct Load
    {
        std::uint64_t perMille = 0;
        std::int64_t wanted = 0;
    };

    Core::Random random_;
    WindowCheck check_{tokens.ratePerSecond, tokens.capacity};
    std::vector<Load> load_;
    Violations violations_;
};

} // namespace Chervilpin::Allotment
