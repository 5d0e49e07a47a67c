#include <Sessions/SessionEngine.h>

#include <algorithm>
#include <cmath>
#include <string>

/// The order of waiting statements, and the refusal of those that cannot start in time.
namespace Chervilpin::Sessions {

void SessionEngine::insertByOrder(Group &group, const Session &session)
{
    const auto isAfter = [&](SessionId id) {
        const Session &other = sessions_.at(id);
        if (other.route->priority != session.route->priority)
            return other.route->priority > session.route->priority;
        return other.running && other.running->fairPosition > session.running->fairPosition;
    };
    group.queue.insert(std::ranges::find_if(group.queue, isAfter), session.id);
}

bool SessionEngine::hasUntriedReplica(const Session &session, const Group &group)
{
    if (!session.running)
        return true;
    const auto &tried = session.running->excludedDatabases;
    return std::ranges::any_of(group.databases, [&](const Core::DatabaseName &database) {
        return database != group.primary && std::ranges::find(tried, database) == tried.end();
    });
}

WaitEstimate::SlotLoad SessionEngine::loadAhead(const Session &session, const Group &group)
{
    WaitEstimate::SlotLoad load;
    const Database *database = findDatabase(session.forwarded->database);
    if (!database)
        return load;
    load.slots = database->entry.slots;
    load.outstanding = database->outstanding;
    load.serviceMilliseconds = database->serviceMilliseconds;
    for (const SessionId id : group.queue) {
        if (id == session.id)
            break;
        const Session *other = findSession(id);
        if (other && other->forwarded && other->forwarded->database == session.forwarded->database)
            ++load.ahead;
    }
    return load;
}

std::optional<PoolerLoad> SessionEngine::poolerLoad(const Session &session)
{
    const Database *database = findDatabase(session.forwarded->database);
    if (!database)
        return {};
    WaitEstimate::SlotLoad load;
    load.slots = database->entry.slots;
    load.outstanding = database->outstanding;
    load.serviceMilliseconds = database->serviceMilliseconds;
    const auto priority = session.route->priority;
    for (const SessionId id : groupOf(session).queue) {
        const Session *other = findSession(id);
        if (other && other->forwarded && other->route->priority <= priority
            && other->forwarded->database == session.forwarded->database)
            ++load.ahead;
    }
    return PoolerLoad{WaitEstimate::expectedWait(load),
                      Core::Duration(std::llround(database->serviceMilliseconds))};
}

void SessionEngine::refuseIfUnmeetable(Session &session, Group &group, Core::Instant now)
{
    // Only the pooler knows who waits for the database. A proxy's own callers can use any database
    // of the group.
    if (!session.forwarded)
        return;
    const WaitEstimate::SlotLoad load = loadAhead(session, group);
    const Core::Duration expected = WaitEstimate::expectedWait(load);
    const Core::Duration allowed = session.running->queueDeadline - now;
    if (!WaitEstimate::isUnmeetable(expected, allowed))
        return;
    log(Importance::Always, "refused_unmeetable",
        {{"id", session.running->statement.id},
         {"team", session.team.value()},
         {"route", session.route->name.value()},
         {"database", session.forwarded->database.value()},
         {"ahead", std::to_string(load.ahead)},
         {"outstanding", std::to_string(load.outstanding)},
         {"service_ms", std::to_string(load.serviceMilliseconds)},
         {"expected_ms", std::to_string(expected.milliseconds())},
         {"allowed_ms", std::to_string(allowed.milliseconds())}});
    refuseForLackOfRoom(session, WaitEstimate::retryDelay(load, allowed, session.id), now);
}

void SessionEngine::refuseForLackOfRoom(Session &session, Core::Duration retryAfter,
                                        Core::Instant now)
{
    returnAdmission(session);
    fail(session, Failure::Busy,
         "no database had room in time; try again in " + std::to_string(retryAfter.milliseconds())
             + " ms",
         now);
}

} // namespace Chervilpin::Sessions
