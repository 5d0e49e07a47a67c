#include "SimulatedFleet.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <vector>

using namespace Chervilpin;
using namespace Chervilpin::Sessions;
using namespace Chervilpin::Core::Literals;
using Testing::SimulatedFleet;

namespace {

struct Outcome
{
    std::vector<std::int64_t> waitsOfRefused; ///< In milliseconds.
    unsigned served = 0;
};

std::int64_t medianOf(std::vector<std::int64_t> values)
{
    std::ranges::sort(values);
    return values.empty() ? 0 : values[values.size() / 2];
}

/// Callers of several teams at all proxies write to a primary, each team at its rate, for a second.
class WriteLoad
{
public:
    explicit WriteLoad(const SimulatedFleet::Options &options)
        : options_(options)
        , fleet_(options)
        , outcomes_(options.teams)
    { }

    /// Sends one write of the team in each of \a everyMs milliseconds, for \a span.
    void play(const std::vector<std::int64_t> &everyMs, Core::Duration span)
    {
        const Core::Instant end = fleet_.now() + span;
        for (std::int64_t ms = 0; fleet_.now() < end; ++ms) {
            for (unsigned team = 0; team < everyMs.size(); ++team) {
                if (everyMs[team] > 0 && ms % everyMs[team] == 0)
                    send(team);
            }
            fleet_.advance(1_ms);
            collect();
        }
        fleet_.advance(1_s);
        collect();
    }

    [[nodiscard]] const Outcome &outcomeOf(unsigned team) const { return outcomes_[team]; }

private:
    struct Waiting
    {
        unsigned team = 0;
        unsigned proxy = 0;
        SessionId session = 0;
        Core::Instant sentAt;
    };

    void send(unsigned team)
    {
        const unsigned proxy = sent_++ % options_.proxies;
        const SessionId session = fleet_.open(proxy, team);
        fleet_.send(proxy, session, StatementKind::Write, "1 x");
        waiting_.push_back({team, proxy, session, fleet_.now()});
    }

    void collect()
    {
        std::erase_if(waiting_, [&](const Waiting &caller) {
            const auto answer = fleet_.takeAnswer(caller.session);
            if (!answer)
                return false;
            Outcome &outcome = outcomes_[caller.team];
            if (answer->failure)
                outcome.waitsOfRefused.push_back((fleet_.now() - caller.sentAt).milliseconds());
            else
                ++outcome.served;
            fleet_.close(caller.proxy, caller.session);
            return true;
        });
    }

    SimulatedFleet::Options options_;
    SimulatedFleet fleet_;
    std::vector<Waiting> waiting_;
    std::vector<Outcome> outcomes_;
    unsigned sent_ = 0;
};

SimulatedFleet::Options manyProxies()
{
    SimulatedFleet::Options options;
    options.proxies = 60;
    options.teams = 3;
    return options;
}

} // namespace

TEST_GROUP(Overload){};

/// Three times as many writes as the primary's two slots can run. Guards against statements that
/// wait until their time is up although it is known that they won't start.
TEST(Overload, WhatCannotBeServedIsRefusedAtOnce)
{
    WriteLoad load(manyProxies());
    load.play({3, 3, 3}, 3_s);
    std::vector<std::int64_t> waits;
    unsigned served = 0;
    for (unsigned team = 0; team < 3; ++team) {
        const Outcome &outcome = load.outcomeOf(team);
        waits.insert(waits.end(), outcome.waitsOfRefused.begin(), outcome.waitsOfRefused.end());
        served += outcome.served;
    }
    CHECK(!waits.empty());
    // The users want half of the refusals within 20 ms.
    CHECK(medianOf(waits) <= 20);
    // Two slots, 9 ms a write: 222 writes a second, and none is lost by refusing too early.
    CHECK(served >= 3 * 222 * 9 / 10);
}

/// A team that surges costs a team within its share nothing.
TEST(Overload, SurgeOfOneTeamLeavesTheOthersServed)
{
    WriteLoad load(manyProxies());
    load.play({2, 40, 40}, 3_s);
    for (const unsigned team : {1U, 2U}) {
        const Outcome &outcome = load.outcomeOf(team);
        CHECK(outcome.served >= 72);
    }
    CHECK(load.outcomeOf(0).waitsOfRefused.size() > 100);
}
