#include <Borrow/ConnectionPool.h>

#include <algorithm>

namespace Chervilpin::Borrow {

ConnectionPool::ConnectionPool(ConnectionPoolOptions options)
    : options_(options)
{ }

void ConnectionPool::setShare(std::uint32_t share)
{
    share_ = share;
}

void ConnectionPool::setWaiting(std::uint32_t waiting)
{
    waiting_ = waiting;
}

void ConnectionPool::enter(Connection &connection, ConnectionState state, Core::Instant now)
{
    connection.state = state;
    connection.stateSince = now;
}

std::optional<Generation> ConnectionPool::lend(Core::Instant now)
{
    if (isLeaving_)
        return std::nullopt;
    if (options_.staysWithinShare && used() >= share_)
        return std::nullopt;
    auto best = connections_.end();
    for (auto entry = connections_.begin(); entry != connections_.end(); ++entry) {
        if (entry->second.state != ConnectionState::Idle)
            continue;
        if (best == connections_.end() || entry->second.stateSince > best->second.stateSince)
            best = entry;
    }
    if (best == connections_.end())
        return std::nullopt;
    enter(best->second, ConnectionState::Busy, now);
    trackPeak(now);
    return best->first;
}

void ConnectionPool::answered(Generation generation, bool isInTransaction, Core::Instant now)
{
    const auto found = connections_.find(generation);
    if (found == connections_.end() || found->second.state != ConnectionState::Busy)
        return;
    found->second.heardAt = now;
    found->second.isProbed = false;
    enter(found->second, isInTransaction ? ConnectionState::Pinned : ConnectionState::Idle, now);
}

bool ConnectionPool::resume(Generation generation, Core::Instant now)
{
    const auto found = connections_.find(generation);
    if (found == connections_.end() || found->second.state != ConnectionState::Pinned)
        return false;
    enter(found->second, ConnectionState::Busy, now);
    return true;
}

void ConnectionPool::abandoned(Generation generation, Core::Instant now)
{
    const auto found = connections_.find(generation);
    if (found == connections_.end() || found->second.state == ConnectionState::Draining)
        return;
    const bool wasSilent = found->second.state == ConnectionState::Busy;
    enter(found->second, ConnectionState::Draining, now);
    if (wasSilent)
        suspectSiblings(found->second, now);
}

void ConnectionPool::suspectSiblings(const Connection &silent, Core::Instant now)
{
    for (auto &[generation, connection] : connections_) {
        if (&connection == &silent || connection.state != ConnectionState::Idle)
            continue;
        const bool isSibling = connection.openedAt - silent.openedAt <= options_.siblingAge
            && silent.openedAt - connection.openedAt <= options_.siblingAge;
        const bool wasHeardSince = connection.heardAt > silent.stateSince;
        if (isSibling && !wasHeardSince)
            enter(connection, ConnectionState::Suspect, now);
    }
}

void ConnectionPool::opened(Generation generation, Core::Instant now)
{
    const auto found = connections_.find(generation);
    if (found == connections_.end() || found->second.state != ConnectionState::Opening)
        return;
    found->second.openedAt = now;
    found->second.heardAt = now;
    enter(found->second, ConnectionState::Idle, now);
}

void ConnectionPool::closed(Generation generation, Core::Instant now)
{
    const auto found = connections_.find(generation);
    if (found == connections_.end())
        return;
    if (found->second.state == ConnectionState::Opening)
        mayOpenAt_ = now + options_.reopenDelay;
    connections_.erase(found);
}

void ConnectionPool::pingAnswered(Generation generation, Core::Instant now)
{
    const auto found = connections_.find(generation);
    if (found == connections_.end())
        return;
    found->second.heardAt = now;
    found->second.isProbed = false;
    if (found->second.state == ConnectionState::Suspect)
        enter(found->second, ConnectionState::Idle, now);
}

void ConnectionPool::leave()
{
    isLeaving_ = true;
}

std::uint32_t ConnectionPool::size() const
{
    return static_cast<std::uint32_t>(connections_.size());
}

std::uint32_t ConnectionPool::count(ConnectionState state) const
{
    const auto isInState = [state](const auto &entry) {
        return entry.second.state == state;
    };
    return static_cast<std::uint32_t>(
        std::count_if(connections_.begin(), connections_.end(), isInState));
}

std::optional<ConnectionState> ConnectionPool::stateOf(Generation generation) const
{
    const auto found = connections_.find(generation);
    if (found == connections_.end())
        return std::nullopt;
    return found->second.state;
}

std::uint32_t ConnectionPool::used() const
{
    return count(ConnectionState::Busy) + count(ConnectionState::Pinned);
}

std::uint32_t ConnectionPool::living() const
{
    return size() - count(ConnectionState::Draining);
}

std::uint32_t ConnectionPool::wanted() const
{
    if (isLeaving_)
        return used();
    return std::max(peak_, used() + waiting_) + options_.leastSpares;
}

std::vector<Generation> ConnectionPool::overdue() const
{
    std::vector<Generation> generations;
    if (used() <= share_ && !isLeaving_)
        return generations;
    std::uint32_t excess = isLeaving_ ? used() : used() - share_;
    // The newest ones first, whose transactions have done the least.
    for (auto entry = connections_.rbegin(); entry != connections_.rend() && excess > 0; ++entry) {
        const ConnectionState state = entry->second.state;
        if (state != ConnectionState::Busy && state != ConnectionState::Pinned)
            continue;
        generations.push_back(entry->first);
        --excess;
    }
    return generations;
}

void ConnectionPool::trackPeak(Core::Instant now)
{
    const std::uint32_t current = used() + waiting_;
    if (current < peak_ && now - peakAt_ < options_.spareHold)
        return;
    peak_ = current;
    peakAt_ = now;
}

void ConnectionPool::closeBeyondShare(Core::Instant now)
{
    const std::uint32_t target = isLeaving_ ? 0 : std::min(share_, wanted());
    std::uint32_t alive = living();
    // The oldest idle ones go first, suspects before them, since they may be dead anyway.
    for (const ConnectionState state :
         {ConnectionState::Suspect, ConnectionState::Opening, ConnectionState::Idle}) {
        for (auto &[generation, connection] : connections_) {
            if (alive <= target)
                return;
            if (connection.state != state)
                continue;
            enter(connection, ConnectionState::Draining, now);
            --alive;
        }
    }
}

void ConnectionPool::checkTimeouts(Core::Instant now)
{
    for (auto &[generation, connection] : connections_) {
        const bool isOverdueOpening = connection.state == ConnectionState::Opening
            && now - connection.stateSince >= options_.openTimeout;
        if (isOverdueOpening) {
            mayOpenAt_ = now + options_.reopenDelay;
            enter(connection, ConnectionState::Draining, now);
            continue;
        }
        const bool isIdle = connection.state == ConnectionState::Idle
            || connection.state == ConnectionState::Suspect;
        const bool isSilent =
            connection.isProbed && now - connection.probedAt >= options_.heartbeatTimeout;
        if (isIdle && isSilent) {
            suspectSiblings(connection, now);
            enter(connection, ConnectionState::Draining, now);
        }
    }
}

void ConnectionPool::probe(Core::Instant now, std::vector<Action> &actions)
{
    for (auto &[generation, connection] : connections_) {
        if (connection.isProbed)
            continue;
        const bool isDue = connection.state == ConnectionState::Idle
            && now - connection.heardAt >= options_.heartbeatInterval;
        if (!isDue && connection.state != ConnectionState::Suspect)
            continue;
        connection.isProbed = true;
        connection.probedAt = now;
        actions.emplace_back(Ping{generation});
    }
}

void ConnectionPool::openSpares(Core::Instant now, std::vector<Action> &actions)
{
    if (isLeaving_ || now < mayOpenAt_)
        return;
    // NOTE: Draining connections still count here, as the database still has them.
    while (living() < wanted() && (size() < share_ || !options_.staysWithinShare)) {
        const Generation generation = nextGeneration_++;
        Connection &connection = connections_[generation];
        enter(connection, ConnectionState::Opening, now);
        connection.openedAt = now;
        actions.emplace_back(Open{generation});
    }
}

void ConnectionPool::emitCloses(std::vector<Action> &actions)
{
    for (auto &[generation, connection] : connections_) {
        if (connection.state != ConnectionState::Draining || connection.isCloseSent)
            continue;
        connection.isCloseSent = true;
        actions.emplace_back(Close{generation});
    }
}

std::vector<Action> ConnectionPool::tick(Core::Instant now)
{
    std::vector<Action> actions;
    trackPeak(now);
    checkTimeouts(now);
    closeBeyondShare(now);
    emitCloses(actions);
    openSpares(now, actions);
    probe(now, actions);
    return actions;
}

} // namespace Chervilpin::Borrow
