#include "SimulatedFleet.h"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace Chervilpin;
using namespace Chervilpin::Sessions;
using namespace Chervilpin::Core::Literals;
using Testing::SimulatedFleet;

namespace {

struct Result
{
    unsigned asked = 0;
    unsigned inTime = 0;
    unsigned openings = 0;
};

/// The callers of all teams at all proxies, one statement in about \a gap milliseconds, a third of
/// them writes. A few teams have most of the callers.
Result runLoad(const SimulatedFleet::Shape &shape, unsigned gap, std::uint64_t seed)
{
    SimulatedFleet fleet(shape);
    Core::Random random(seed);
    constexpr Core::Duration latencyObjective{60};
    struct Caller
    {
        unsigned proxy = 0;
        SessionId session = 0;
        Core::Instant askedAt;
        bool isWaiting = false;
    };
    std::vector<Caller> callers;
    for (unsigned proxy = 0; proxy < shape.proxies; ++proxy) {
        for (unsigned team = 0; team < shape.teams; ++team) {
            for (unsigned i = 0; i < 1 + 6 / (team + 1); ++i)
                callers.push_back({proxy, fleet.open(proxy, team), {}, false});
        }
    }
    Result result;
    constexpr unsigned statements = 2'000;
    while (result.asked < statements) {
        Caller &next = callers[random.below(callers.size())];
        if (!next.isWaiting) {
            next.isWaiting = true;
            next.askedAt = fleet.now();
            ++result.asked;
            const bool isWrite = random.below(3) == 0;
            fleet.send(next.proxy, next.session,
                       isWrite ? StatementKind::Write : StatementKind::Read, "1 x");
        }
        fleet.advance(Core::Duration(static_cast<std::int64_t>(1 + random.below(2 * gap - 1))));
        for (auto &caller : callers) {
            if (!caller.isWaiting)
                continue;
            const auto answer = fleet.takeAnswer(caller.session);
            if (!answer)
                continue;
            caller.isWaiting = false;
            const bool isInTime = fleet.now() - caller.askedAt <= latencyObjective;
            result.inTime += !answer->failure && isInTime ? 1 : 0;
        }
    }
    result.openings = fleet.counts().openings;
    return result;
}

} // namespace

TEST_GROUP(ManyTeamsLoad){};

/// Nine proxies, eight teams and 16 connections a database: each proxy could have one or two.
TEST(ManyTeamsLoad, FewConnectionsAreOpenedAndStatementsDoNotWaitForThem)
{
    SimulatedFleet::Shape shape;
    shape.proxies = 9;
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        shape.hasPoolers = false;
        const Result alone = runLoad(shape, 8, seed);
        shape.hasPoolers = true;
        const Result pooled = runLoad(shape, 8, seed);
        CHECK_TEXT(alone.openings * 10 > alone.asked * 2, "the load asks for poolers");
        CHECK_TEXT(pooled.openings * 10 <= pooled.asked, "at most one opening in ten statements");
        CHECK_TEXT(pooled.inTime * 100 >= pooled.asked * 98, "98 in 100 are in their objective");
        CHECK_TEXT(pooled.inTime > alone.inTime, "more than without");
    }
}

/// One connection for two teams.
TEST(ManyTeamsLoad, TeamsThatShareTooFewConnectionsAreServed)
{
    SimulatedFleet::Shape shape;
    shape.proxies = 9;
    shape.teams = 32;
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        shape.hasPoolers = false;
        const Result alone = runLoad(shape, 4, seed);
        shape.hasPoolers = true;
        const Result pooled = runLoad(shape, 4, seed);
        CHECK_TEXT(pooled.openings * 3 < alone.openings * 2, "a third of the openings is saved");
        CHECK_TEXT(pooled.inTime > alone.inTime, "more are served in time");
    }
}

/// After a loss of power the old processes' connections count for three more seconds.
TEST(ManyTeamsLoad, WhileADatabaseTakesFewConnectionsTheyServeAllTeams)
{
    SimulatedFleet::Shape shape;
    SimulatedFleet fleet(shape);
    fleet.holdConnections(shape.connections - 2);
    constexpr unsigned rounds = 3;
    unsigned inTime = 0;
    for (unsigned i = 0; i < rounds * shape.teams; ++i) {
        const unsigned proxy = i % shape.proxies;
        const SessionId session = fleet.open(proxy, i % shape.teams);
        fleet.send(proxy, session, StatementKind::Write, "1 x");
        fleet.advance(80_ms);
        const auto answer = fleet.takeAnswer(session);
        inTime += answer && !answer->failure ? 1 : 0;
        fleet.close(proxy, session);
    }
    CHECK_TEXT(inTime * 10 >= rounds * shape.teams * 9, "nine in ten are in time");
}
