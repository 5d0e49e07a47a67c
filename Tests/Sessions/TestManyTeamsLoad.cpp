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

/// Runs the callers of all teams at all proxies, with one statement about every \a gap
/// milliseconds, a third of them writes. A few teams have most of the callers.
Result runLoad(const SimulatedFleet::Options &options, unsigned gap, std::uint64_t seed)
{
    SimulatedFleet fleet(options);
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
    for (unsigned proxy = 0; proxy < options.proxies; ++proxy) {
        for (unsigned team = 0; team < options.teams; ++team) {
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

/// With nine proxies, eight teams and 16 connections per database, each proxy could have only one
/// or two.
TEST(ManyTeamsLoad, FewConnectionsAreOpenedAndStatementsDoNotWaitForThem)
{
    SimulatedFleet::Options options;
    options.proxies = 9;
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        options.hasPoolers = false;
        const Result unpooled = runLoad(options, 8, seed);
        options.hasPoolers = true;
        const Result pooled = runLoad(options, 8, seed);
        CHECK_TEXT(unpooled.openings * 10 > unpooled.asked * 2,
                   "without poolers, more than two openings in ten statements");
        CHECK_TEXT(pooled.openings * 10 <= pooled.asked, "at most one opening in ten statements");
        CHECK_TEXT(pooled.inTime * 100 >= pooled.asked * 98,
                   "98 in 100 statements meet the objective");
        CHECK_TEXT(pooled.inTime > unpooled.inTime, "more statements in time than without poolers");
    }
}

/// With 32 teams and 16 connections per database, there is one connection for two teams.
TEST(ManyTeamsLoad, TeamsThatShareTooFewConnectionsAreServed)
{
    SimulatedFleet::Options options;
    options.proxies = 9;
    options.teams = 32;
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        options.hasPoolers = false;
        const Result unpooled = runLoad(options, 4, seed);
        options.hasPoolers = true;
        const Result pooled = runLoad(options, 4, seed);
        CHECK_TEXT(pooled.openings * 3 < unpooled.openings * 2,
                   "poolers save a third of the openings");
        CHECK_TEXT(pooled.inTime > unpooled.inTime, "more statements in time than without poolers");
    }
}

/// After a power loss, a database counts the connections of the old processes for three more
/// seconds.
TEST(ManyTeamsLoad, WhileADatabaseTakesFewConnectionsTheyServeAllTeams)
{
    SimulatedFleet::Options options;
    SimulatedFleet fleet(options);
    fleet.countFailedConnections(options.connections - 2);
    constexpr unsigned rounds = 3;
    unsigned inTime = 0;
    for (unsigned i = 0; i < rounds * options.teams; ++i) {
        const unsigned proxy = i % options.proxies;
        const SessionId session = fleet.open(proxy, i % options.teams);
        fleet.send(proxy, session, StatementKind::Write, "1 x");
        fleet.advance(80_ms);
        const auto answer = fleet.takeAnswer(session);
        inTime += answer && !answer->failure ? 1 : 0;
        fleet.close(proxy, session);
    }
    CHECK_TEXT(inTime * 10 >= rounds * options.teams * 9, "nine in ten statements are in time");
}
