#pragma once

#include <Core/Milliseconds.h>

#include <cstdint>

namespace Chervilpin::Queue {

struct ConcurrencyLimitOptions
{
    std::uint32_t least = 1;
    std::uint32_t most = 30; ///< Must not exceed the number of connections to one database.
    std::uint32_t initial = 2;
    std::uint32_t extra = 2; ///< Requests of idle teams that may be in flight beyond the limit.
    /// A longer wait in the database's own queue lowers the limit.
    Core::Duration targetQueued{1};
    /// Minimum time between two decreases: answers to statements sent before a decrease still
    /// report the longer queue.
    Core::Duration decreaseInterval{20};
};

/// Adaptive limit on the statements that this node has in flight at one database.
///
/// The database has a single first-in-first-out queue for all proxies and teams. The limit is kept
/// low enough that statements wait in the proxy's fair queue instead. It uses additive increase and
/// multiplicative decrease: it rises by 1 / limit with each answer that neither waited above
/// the target nor reports waiting statements while the limit was fully used, so by about one per
/// limit's worth of answers, and falls by a quarter when an answer waited above the target or the
/// database refused a statement as overloaded. Proxies need no coordination for this, since they
/// all see the same reported waits.
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(ConcurrencyLimitOptions options = {});

    [[nodiscard]] bool canStart() const { return inFlight_ < limit(); }
    /// Whether a request of a team with no running requests may start beyond the limit. It waits
    /// less in the database's queue than it would here behind another team's requests.
    [[nodiscard]] bool canStartExtra() const { return inFlight_ < limit() + options_.extra; }
    void started();

    /// Records a statement's answer. \a queuedMicroseconds is the wait that Upstream::Answer
    /// reports, \a queuedNow the number of waiting statements that Upstream::Status reports.
    void answered(std::uint64_t queuedMicroseconds, std::uint32_t queuedNow, Core::Instant now);

    /// Records that a statement ended without an answer.
    void abandoned();

    /// Records that the database refused a statement because its queue is full. The statement stays
    /// in flight until answered() or abandoned() is called for it.
    void overloaded(Core::Instant now);

    [[nodiscard]] std::uint32_t limit() const;
    [[nodiscard]] std::uint32_t inFlight() const { return inFlight_; }

private:
    void decrease(Core::Instant now);
    void increase();

    ConcurrencyLimitOptions options_;
    double limit_;
    std::uint32_t inFlight_ = 0;
    Core::Instant nextDecreaseAt_;
};

} // namespace Chervilpin::Queue
