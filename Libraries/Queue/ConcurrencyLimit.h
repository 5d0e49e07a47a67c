#pragma once

#include <Core/Milliseconds.h>

#include <cstdint>

namespace Chervilpin::Queue {

struct ConcurrencyLimitOptions
{
    std::uint32_t least = 1;
    std::uint32_t most = 30; ///< Never above the connections of one database.
    std::uint32_t initial = 2;
    std::uint32_t extra = 2; ///< How many may be in flight beyond the limit for idle teams.
    /// Waiting inside the database above this is taken as too many in flight.
    Core::Duration targetQueued{1};
    /// The limit is lowered at most once in this span, since answers lag behind the change.
    Core::Duration decreaseInterval{20};
};

/// How many statements this node may have in flight at one database.
///
/// The database queues first in, first out, for all proxies and teams alike. The limit is kept so
/// low that statements wait in the proxy's fair queue instead: it rises by one per limit's worth of
/// answers that didn't wait while the limit was in use, and falls by a quarter when answers report
/// waiting. Proxies need not talk to each other for this; they all see the same reported waits.
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(ConcurrencyLimitOptions options = {});

    [[nodiscard]] bool canStart() const { return inFlight_ < limit(); }
    /// Whether a request of a team of which nothing is running may start beyond the limit. The few
    /// more in flight wait less in the database than behind another team's here.
    [[nodiscard]] bool canStartExtra() const { return inFlight_ < limit() + options_.extra; }
    void started();

    /// Notes a statement's answer. \a queuedMicroseconds is Upstream::Answer's, \a queuedNow is
    /// Upstream::Status's count of waiting statements.
    void answered(std::uint64_t queuedMicroseconds, std::uint32_t queuedNow, Core::Instant now);

    /// Notes that a statement left without an answer.
    void abandoned();

    /// Notes that the database refused because too many wait.
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
