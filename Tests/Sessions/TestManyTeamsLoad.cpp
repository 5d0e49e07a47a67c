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
    unsigned sent = 0;
    unsigned inTime = 0;
    unsigned openings = 0;
};

/// Sends 2000 statements, a third of them writes, from callers of all teams at all proxies. One of
/// the callers is picked about every \a meanInterval milliseconds and sends a statement unless it
/// still waits for an answer. The first teams have several times as many callers as the last.
Result runLoad(const SimulatedFleet::Options &options, unsigned meanInterval, std::uint64_t seed)
{
    SimulatedFleet fleet(options);
    Core::Random random(seed);
    constexpr Core::Duration latencyObjective{60};
    struct Caller
    {
        unsigned proxy = 0;
        SessionId session = 0;
        Core::Instant sentAt;
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
    while (result.sent < statements) {
        Caller &next = callers[random.below(callers.size())];
        if (!next.isWaiting) {
            next.isWaiting = true;
            next.sentAt = fleet.now();
            ++result.sent;
            const bool isWrite = random.below(3) == 0;
            fleet.send(next.proxy, next.session,
                       isWrite ? StatementKind::Write : StatementKind::Read, "1 x");
        }
        fleet.advance(
            Core::Duration(static_cast<std::int64_t>(1 + random.below(2 * meanInterval - 1))));
        for (auto &caller : callers) {
            if (!caller.isWaiting)
                continue;
            const auto answer = fleet.takeAnswer(caller.session);
            if (!answer)
                continue;
            caller.isWaiting = false;
            const bool isInTime = fleet.now() - caller.sentAt <= latencyObjective;
            result.inTime += !answer->failure && isInTime ? 1 : 0;
        }
    }
    result.openings = fleet.counts().openings;
    return result;
}

} // namespace

TEST_GROUP(ManyTeamsLoad){};

/// Nine proxies with callers of eight teams share 16 connections per database. Without poolers, the
/// even share of a proxy is one or two connections, so it keeps closing and opening connections for
/// different teams while statements wait.
TEST(ManyTeamsLoad, FewConnectionsAreOpenedAndStatementsDoNotWaitForThem)
{
    SimulatedFleet::Options options;
    options.proxies = 9;
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        options.hasPoolers = false;
        const Result unpooled = runLoad(options, 8, seed);
        options.hasPoolers = true;
        const Result pooled = runLoad(options, 8, seed);
        CHECK_TEXT(unpooled.openings * 10 > unpooled.sent * 2,
                   "without poolers, more than two openings in ten statements");
        CHECK_TEXT(pooled.openings * 10 <= pooled.sent, "at most one opening in ten statements");
        CHECK_TEXT(pooled.inTime * 100 >= pooled.sent * 98,
                   "98 in 100 statements meet the objective");
        CHECK_TEXT(pooled.inTime > unpooled.inTime, "more statements in time than without poolers");
    }
}

/// 32 teams share 16 connections per database, one for two teams, so even a pooler has to close
/// connections of one team to open them for another. It must still open fewer, and serve more
/// statements in time, than separate proxies.
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

/// After a power loss, a database still counts the connections of the old processes for three
/// seconds. The two connections that are left of its 16 must serve all teams.
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
